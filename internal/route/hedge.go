package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// HedgeQuantile is the part of attempts that end before they are hedged.
	HedgeQuantile = 0.95
	// MinHedgeDelay is the least delay. Below it, waiting costs less than a
	// second attempt.
	MinHedgeDelay = time.Millisecond
	// hedgeWarmUp is the number of attempts before the estimate is used.
	hedgeWarmUp = 50
	// hedgeStep is the relative step of the estimate. A service that becomes 4
	// times slower is followed within ln(4)/(0.05 x 0.95) = 30 attempts.
	hedgeStep = 0.05
	// hedgeFirstStep applies during warm-up.
	hedgeFirstStep = 0.3
)

// Hedge estimates the p95 of the latency of a service from its attempts, by
// stochastic approximation in the logarithm: a longer attempt raises the
// estimate by step x 0.95, any other lowers it by step x 0.05. It needs no
// memory of attempts, takes no lock and is safe for concurrent use. The zero
// value is ready.
type Hedge struct {
	// logSeconds holds the bits of the estimate's logarithm.
	logSeconds atomic.Uint64
	seen       atomic.Int64
}

// Observe records the latency of a finished attempt, or the time until a
// hedged attempt was cancelled, which is longer than the estimate.
func (h *Hedge) Observe(latency time.Duration) {
	value := math.Log(max(latency, time.Microsecond).Seconds())
	count := h.seen.Add(1)
	if count == 1 {
		h.logSeconds.Store(math.Float64bits(value))
		return
	}
	step := hedgeStep
	if count <= hedgeWarmUp {
		step = hedgeFirstStep
	}
	for {
		old := h.logSeconds.Load()
		estimate := math.Float64frombits(old)
		next := estimate - step*(1-HedgeQuantile)
		if value > estimate {
			next = estimate + step*HedgeQuantile
		}
		if h.logSeconds.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Delay returns the time after which a read without an answer is hedged, and
// false while there are too few attempts to tell. A hedge also needs a
// successful Budget.TakeHedge.
func (h *Hedge) Delay() (time.Duration, bool) {
	if h.seen.Load() < hedgeWarmUp {
		return 0, false
	}
	seconds := math.Exp(math.Float64frombits(h.logSeconds.Load()))
	return max(time.Duration(seconds*float64(time.Second)), MinHedgeDelay), true
}
