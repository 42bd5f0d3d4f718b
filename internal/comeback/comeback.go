package comeback

import "time"

const (
	// expectedReturns is the number of returns that callers are taken to make.
	expectedReturns = 3
	// honouredShare is the share of its remaining time for which a caller waits as told.
	honouredShare = 1.0 / 3
	// minDelay leaves time for servers to change their state, and bounds the load by returns.
	minDelay = 100 * time.Millisecond
	// maxDelay bounds the delay of callers with long deadlines.
	maxDelay = 2 * time.Second
	// jitter is the half width of the range of delays, relative to its middle.
	jitter = 0.3
)

// Refused describes a request that ends refused.
type Refused struct {
	// Objective and Remaining are the times left of the latency objective and until the deadline.
	Objective, Remaining time.Duration
	// Service is the mean service time.
	Service time.Duration
	// Room is the expected time until a server has room; 0 if servers refuse with room free.
	Room time.Duration
}

// Delay returns the time after which the caller should return. random yields uniform numbers from 0
// to 1. It is 0 if no return can be answered before the deadline.
func Delay(r Refused, random func() float64) time.Duration {
	honoured := time.Duration(honouredShare * float64(r.Remaining))
	if honoured < minDelay {
		return 0
	}
	useful := r.Objective - r.Service
	if useful < expectedReturns*minDelay {
		// The objective can't be met any more; an answer before the deadline is worth less.
		useful = r.Remaining - r.Service
	}
	spread := 2*random() - 1
	delay := time.Duration(float64(useful) / expectedReturns * (1 + jitter*spread))
	if r.Room > 0 {
		delay = max(delay, time.Duration(float64(r.Room)*(1+jitter+jitter*spread)))
	}
	return min(max(delay, minDelay), maxDelay, honoured)
}
