package gate

import "time"

// minSoloTime is the time for which a kind must have run without others before the absence of calls
// shows that it makes none.
const minSoloTime = 300 * time.Millisecond

// callMakers learns which kinds of requests make calls, from the calls that the server makes while
// it runs requests of one kind only.
type callMakers struct {
	since time.Time
	kinds map[uint32]*soloRuns
}

// soloRuns is what was seen while only one kind ran.
type soloRuns struct {
	time  time.Duration
	calls int
}

// solo returns what is known of the kind that alone runs; nil if there is none.
func (c *callMakers) solo(runs map[uint32]runCount) *soloRuns {
	if len(runs) != 1 {
		return nil
	}
	for kind := range runs {
		known := c.kinds[kind]
		if known == nil && len(c.kinds) < maxKinds {
			known = &soloRuns{}
			c.kinds[kind] = known
		}
		return known
	}
	return nil
}

// advance counts the time since the last change of the running requests.
func (c *callMakers) advance(now time.Time, runs map[uint32]runCount) {
	if !now.After(c.since) {
		return
	}
	if known := c.solo(runs); known != nil {
		known.time += now.Sub(c.since)
	}
	c.since = now
}

// mayMakeCalls reports whether a kind makes calls, or has not been seen alone for long enough.
func (c *callMakers) mayMakeCalls(kind uint32) bool {
	known := c.kinds[kind]
	return known == nil || known.calls > 0 || known.time < minSoloTime
}

// CallMade records a call of the server.
func (g *Gate) CallMade(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.makers.advance(now, g.runs)
	if known := g.makers.solo(g.runs); known != nil {
		known.calls++
	}
}

// MayMakeCalls reports whether requests of a kind make calls, as far as is known.
func (g *Gate) MayMakeCalls(kind uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.makers.mayMakeCalls(kind)
}
