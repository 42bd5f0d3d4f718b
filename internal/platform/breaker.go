package platform

import (
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after a number of failures in a row
// and lets one trial call through after each pause, so that an outage of the
// store costs each caller microseconds and not a timeout.
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

// allow reports whether a call may be sent. After a pause it allows one call
// and refuses others until the result of that call is known.
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

// record stores the result of an allowed call. The pause has a jitter of half
// its length, so that the nodes of a fleet do not try at the same moment.
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

// abandon returns the trial without a result. A call that its own caller
// cancelled says nothing about the store.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
}

// open reports whether calls are refused at the moment.
func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= b.threshold
}
