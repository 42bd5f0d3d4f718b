package origin

import (
	"sync"
	"time"
)

const (
	// settleTime is the time after the end of its last request within which a server may still
	// make calls for it.
	settleTime = 50 * time.Millisecond
	// minIdleArrivals is the number of arrivals at an idle server that prove that callers send the
	// kind; more than one, because a server may go on with a request that was given up.
	minIdleArrivals = 2
	// halfLife is the time after which counts weigh half.
	halfLife = 30 * time.Second
	// maxKinds bounds the memory for kinds.
	maxKinds = 1024
)

// Classifier estimates whether requests come from the local server. It is safe for concurrent use.
type Classifier struct {
	mu sync.Mutex
	// running tells whether the server runs a request, and since when it does or does not.
	running bool
	since   time.Time
	// idle and busy are the times in both states.
	idle, busy time.Duration
	halvedAt   time.Time
	kinds      map[uint32]*arrivals
}

// arrivals counts the requests of one kind.
type arrivals struct {
	idle, busy float64
}

// New returns a classifier for a server that runs nothing yet.
func New(now time.Time) *Classifier {
	return &Classifier{since: now, halvedAt: now, kinds: map[uint32]*arrivals{}}
}

// SetRunning records whether the server runs any request.
func (c *Classifier) SetRunning(now time.Time, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running == c.running {
		return
	}
	c.account(now)
	c.running, c.since = running, now
}

// account adds the time since the last change of state.
func (c *Classifier) account(now time.Time) {
	elapsed := max(now.Sub(c.since), 0)
	if c.running {
		c.busy += elapsed
	} else {
		c.busy += min(elapsed, settleTime)
		c.idle += max(elapsed-settleTime, 0)
	}
}

// isIdle reports whether the server has run nothing for settleTime.
func (c *Classifier) isIdle(now time.Time) bool { return !c.running && now.Sub(c.since) > settleTime }

// Observe records a request of a kind and returns the probability that the server made it.
func (c *Classifier) Observe(now time.Time, kind uint32) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halve(now)
	known := c.kinds[kind]
	if known == nil {
		if len(c.kinds) >= maxKinds {
			return 1
		}
		known = &arrivals{}
		c.kinds[kind] = known
	}
	if c.isIdle(now) {
		known.idle++
		return 0
	}
	known.busy++
	return c.probability(now, known)
}

// probability returns the share of the arrivals at the busy server that callers do not explain.
func (c *Classifier) probability(now time.Time, known *arrivals) float64 {
	if known.idle < minIdleArrivals {
		return 1
	}
	idle, busy := c.idle, c.busy
	if c.running {
		busy += now.Sub(c.since)
	}
	if idle <= 0 {
		return 1
	}
	callers := known.idle / idle.Seconds() * busy.Seconds()
	return max(1-callers/known.busy, 0)
}

// halve lets old counts weigh less. Evidence that callers send a kind stays.
func (c *Classifier) halve(now time.Time) {
	if now.Sub(c.halvedAt) < halfLife {
		return
	}
	c.halvedAt = now
	c.idle /= 2
	c.busy /= 2
	for _, known := range c.kinds {
		if known.idle > minIdleArrivals {
			known.idle = max(known.idle/2, minIdleArrivals)
		}
		known.busy /= 2
	}
}
