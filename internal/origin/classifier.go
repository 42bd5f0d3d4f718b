package origin

import (
	"sync"
	"time"
)

const (
	// settleTime is the time after the end of its last request within which a server may still
	// make calls for it.
	settleTime = 50 * time.Millisecond
	// startTime is the time after the start of the node for which the server may still run requests
	// of an earlier process.
	startTime = 5 * time.Second
	// minIdleArrivals is the number of arrivals at an idle server that prove that callers send the
	// kind; more than one, because a server may go on with a request that was given up.
	minIdleArrivals = 2
	// expectedIdleArrivals is the number of arrivals at an idle server that callers would have sent
	// before their absence proves that the server makes the requests.
	expectedIdleArrivals = 3
	// halfLife is the time after which counts weigh half.
	halfLife = 30 * time.Second
	// maxKinds bounds the memory for kinds.
	maxKinds = 1024
)

// Classifier estimates whether requests come from the local server. It is safe for concurrent use.
type Classifier struct {
	mu      sync.Mutex
	running bool
	// since is the time up to which times are counted, and settled the one up to which an idle server
	// counts as running.
	since, settled time.Time
	// idle and busy are the times that the server has spent in both states.
	idle, busy time.Duration
	halvedAt   time.Time
	kinds      map[uint32]*arrivals
}

// arrivals counts the requests of one kind.
type arrivals struct {
	idle, busy float64
	// idleFrom and busyFrom are the times in both states before the first request.
	idleFrom, busyFrom time.Duration
	// sentByCallers is set once the kind has had minIdleArrivals.
	sentByCallers bool
}

// Estimate tells where a request comes from.
type Estimate struct {
	// CallProbability is the probability that the server made the request; 1 while nothing is known
	// of its kind.
	CallProbability float64
	// Call is set if the arrivals of the kind show that the server makes them.
	Call bool
}

// New returns a classifier at the start of a node.
func New(now time.Time) *Classifier {
	return &Classifier{since: now, settled: now.Add(startTime), halvedAt: now, kinds: map[uint32]*arrivals{}}
}

// SetRunning records whether the server runs any request.
func (c *Classifier) SetRunning(now time.Time, running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running != c.running {
		c.account(now)
		c.running = running
	}
}

// account adds the time since the last event.
func (c *Classifier) account(now time.Time) {
	elapsed := now.Sub(c.since)
	if elapsed <= 0 {
		return
	}
	settling := min(elapsed, max(c.settled.Sub(c.since), 0))
	if c.running {
		settling = elapsed
		c.settled = now.Add(settleTime)
	}
	c.busy += settling
	c.idle += elapsed - settling
	c.since = now
}

// Observe records a request of a kind and returns the estimate of its origin.
func (c *Classifier) Observe(now time.Time, kind uint32) Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(now)
	c.halve(now)
	known := c.kinds[kind]
	if known == nil {
		if len(c.kinds) >= maxKinds {
			return Estimate{CallProbability: 1}
		}
		known = &arrivals{idleFrom: c.idle, busyFrom: c.busy}
		c.kinds[kind] = known
	}
	if !c.running && now.After(c.settled) {
		known.idle++
		known.sentByCallers = known.sentByCallers || known.idle >= minIdleArrivals
		return Estimate{}
	}
	known.busy++
	return known.estimate(c.idle-known.idleFrom, c.busy-known.busyFrom)
}

// estimate compares the arrivals at the busy server with those that callers explain, for the times
// that the server has spent in both states since the first arrival.
func (a *arrivals) estimate(idle, busy time.Duration) Estimate {
	if !a.sentByCallers {
		expected := a.busy / max(busy, settleTime).Seconds() * idle.Seconds()
		return Estimate{CallProbability: 1, Call: a.idle == 0 && expected >= expectedIdleArrivals}
	}
	if idle <= 0 {
		return Estimate{CallProbability: 1}
	}
	callers := a.idle / idle.Seconds() * busy.Seconds()
	return Estimate{CallProbability: max(1-callers/a.busy, 0)}
}

// halve lets old counts weigh less.
func (c *Classifier) halve(now time.Time) {
	if now.Sub(c.halvedAt) < halfLife {
		return
	}
	c.halvedAt = now
	for _, known := range c.kinds {
		known.idle /= 2
		known.busy /= 2
		known.idleFrom += (c.idle - known.idleFrom) / 2
		known.busyFrom += (c.busy - known.busyFrom) / 2
	}
}
