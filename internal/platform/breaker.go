package platform

import (
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after threshold consecutive failures and
// then allows one trial call after each interval, so that during an outage of the
// store a call fails within microseconds instead of after a timeout.
type breaker struct {
	mu        sync.Mutex
	threshold int
	pause     time.Duration
	now       func() time.Time
	random    func() float64
	failures  int
	openUntil time.Time
	trial     bool
}

// allow reports whether a call may be sent. While the breaker is open, it
// allows one trial call after each interval and refuses all others until the
// result of the trial is known.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.threshold {
		return true
	}
	if b.trial || b.now().Before(b.openUntil) {
		return false
	}
	b.trial = true
	return true
}

// record records the result of an allowed call. The interval has a jitter of half
// its length, so that the nodes of a fleet do not send their trial calls at the
// same moment.
func (b *breaker) record(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= b.threshold {
		jitter := 0.75 + b.random()/2
		b.openUntil = b.now().Add(time.Duration(float64(b.pause) * jitter))
	}
}

// cancelTrial ends a trial call without a result. A call that its caller cancelled
// says nothing about the state of the store.
func (b *breaker) cancelTrial() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
}

// open reports whether the breaker is open.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold
}
