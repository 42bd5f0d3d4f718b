package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// HedgeQuantile is the fraction of attempts that end before the hedge delay.
	HedgeQuantile = 0.95
	// MinHedgeDelay is the lower bound of the delay. A shorter wait costs less
	// than a second attempt.
	MinHedgeDelay = time.Millisecond
	// hedgeWarmUp is the number of attempts observed before the estimate is used.
	hedgeWarmUp = 50
	// hedgeStep is the step of the estimate in log space. The estimate follows a
	// service that becomes 4 times slower within ln(4)/(0.05 x 0.95) = 30 attempts.
	hedgeStep = 0.05
	// hedgeFirstStep is the step during warm-up.
	hedgeFirstStep = 0.3
)

// Hedge estimates the p95 latency of a service's attempts by stochastic
// approximation of the logarithm: an attempt above the estimate raises it by
// step x 0.95, any other lowers it by step x 0.05. It stores no samples, takes
// no lock and is safe for concurrent use. The zero value is ready to use.
type Hedge struct {
	// logSeconds holds the float64 bits of the logarithm of the estimate in seconds.
	logSeconds atomic.Uint64
	attempts   atomic.Int64
}

// Observe records the latency of a finished attempt, or the time after which a
// hedged attempt was cancelled, which is longer than the estimate.
func (h *Hedge) Observe(latency time.Duration) {
	value := math.Log(max(latency, time.Microsecond).Seconds())
	count := h.attempts.Add(1)
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
// false until enough attempts were observed. A hedge also requires that
// Budget.TakeHedge returns true.
func (h *Hedge) Delay() (time.Duration, bool) {
	if h.attempts.Load() < hedgeWarmUp {
		return 0, false
	}
	seconds := math.Exp(math.Float64frombits(h.logSeconds.Load()))
	return max(time.Duration(seconds*float64(time.Second)), MinHedgeDelay), true
}
