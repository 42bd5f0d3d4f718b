package pick

import (
	"math"

	"github.com/tarragonford/tarragonford/internal/gate"
)

const (
	// levelSteps is the number of bisections of a level, which bring its error below a thousandth.
	levelSteps = 10
	// maxLevelDoublings bounds the search for an upper bound of a level.
	maxLevelDoublings = 12
	// maxBaseDifference is the cost above that of the cheapest server up to which others take part in
	// the draw, apart from load. A refusal by a server that turns out to be full costs the time of a
	// hop, so that avoiding it is not worth a higher risk of a failure.
	maxBaseDifference = 0.03
	// negligibleArrivals is the number of unseen arrivals below which reports count as fresh.
	negligibleArrivals = 0.01
)

// curve is the cost of a server over the number of requests that it holds.
type curve struct {
	// index is the index of the candidate.
	index int
	// base is the part of the cost that does not depend on the load, and lastSlot the cost of taking
	// the last free slot.
	base, lastSlot float64
	// held is the estimated number of requests that run there or wait ahead.
	held float64
	// slots is the number of requests that run at once.
	slots float64
	// waitPerRequest is the cost of the wait caused by each request beyond the slots; rateWait that
	// of the wait for the rate limit.
	waitPerRequest, rateWait float64
}

// cost is the cost of one more request if the server holds a number of others.
func (c *curve) cost(held float64) float64 {
	used := min((held+1)/c.slots, 1)
	wait := max((held+1-c.slots)*c.waitPerRequest, c.rateWait)
	return c.base + c.lastSlot*used*used + wait
}

// free is the number of slots that are expected to be free.
func (c *curve) free() float64 { return max(c.slots-c.held, 0) }

// room returns how many more requests the server takes until one more costs the level.
func (c *curve) room(level float64) float64 {
	left := level - c.base - c.rateWait
	if left <= 0 {
		return 0
	}
	if left < c.lastSlot {
		return max(c.slots*math.Sqrt(left/c.lastSlot)-1-c.held, 0)
	}
	upTo := c.slots - 1
	if c.waitPerRequest > 0 {
		upTo += max(level-c.base-c.lastSlot, 0) / c.waitPerRequest
	}
	return max(upTo-c.held, 0)
}

// group is the candidates of one data centre that accept a request.
type group struct {
	dataCentre string
	transfer   float64
	curves     []curve
	// running and slots are the sums over the healthy servers of the data centre that have reported,
	// with room or not, and replaced that of the slots whose requests others replace during the life of
	// the report.
	running, slots int
	replaced       float64
	// ownSent is the number of requests that this picker has sent there since the reports.
	ownSent int
}

// observe counts a server for the estimate of the unseen arrivals. Unhealthy servers get few requests
// and would lower the utilization.
func (g *group) observe(k *knowledge) {
	if k.state.reported.IsZero() || !k.state.load.Open || !k.state.load.Healthy() {
		return
	}
	g.running += k.state.load.Running
	g.slots += k.state.load.Slots
	// All choosers use a report until the next one, on average for twice the age that it has now.
	g.replaced += float64(k.state.load.Slots) * (1 - k.stillRunning*k.stillRunning)
	g.ownSent += len(k.state.sent)
}

// utilization is the mean number of requests that the servers run in a slot.
func (g *group) utilization() float64 { return float64(g.running) / float64(max(g.slots, 1)) }

// runningNow is the number of requests that a server is expected to run if it gets as many as the
// mean since its report. Requests that waited have taken the slots that became free.
func (g *group) runningNow(k *knowledge) float64 {
	load := &k.state.load
	if load.Ahead(gate.PriorityLevels) > 0 {
		return float64(load.Running)
	}
	return float64(load.Running)*k.stillRunning + g.utilization()*float64(load.Slots)*(1-k.stillRunning)
}

// unseenArrivals is the expected number of requests that other choosers send to the servers while
// these reports are in use, less those that end meanwhile. In a steady state as many begin as end.
// No more than the free slots are expected to find a place.
func (g *group) unseenArrivals() float64 {
	arrivals := g.utilization() * g.replaced
	free := 0.0
	for i := range g.curves {
		free += g.curves[i].free()
	}
	return max(min(arrivals-float64(g.ownSent), free), 0)
}

// cheapest returns the curve with the lowest cost of one more request, and that cost.
func (g *group) cheapest() (*curve, float64) {
	var best *curve
	lowest := math.Inf(1)
	for i := range g.curves {
		c := &g.curves[i]
		if cost := c.cost(c.held); cost < lowest {
			best, lowest = c, cost
		}
	}
	return best, lowest
}

func (g *group) room(level float64) float64 {
	total := 0.0
	for i := range g.curves {
		total += g.curves[i].room(level)
	}
	return total
}

// level returns the cost up to which the servers are filled by a number of requests that each go
// to the cheapest server.
func (g *group) level(requests, lowest float64) float64 {
	low, step := lowest, tieBreakRange
	for range maxLevelDoublings {
		if g.room(lowest+step) >= requests {
			break
		}
		low, step = lowest+step, 2*step
	}
	high := lowest + step
	for range levelSteps {
		middle := (low + high) / 2
		if g.room(middle) >= requests {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// draw returns a curve at random in proportion to the room below a level; nil if there is none.
func (g *group) draw(level, random float64) *curve {
	rest := random * g.room(level)
	var last *curve
	for i := range g.curves {
		c := &g.curves[i]
		room := c.room(level)
		if room <= 0 {
			continue
		}
		if last = c; rest < room {
			return c
		}
		rest -= room
	}
	return last
}

// keepSimilar drops the servers whose cost apart from their load is clearly above base.
func (g *group) keepSimilar(base float64) {
	kept := g.curves[:0]
	for _, c := range g.curves {
		if c.base <= base+maxBaseDifference {
			kept = append(kept, c)
		}
	}
	g.curves = kept
}

// choose draws the server for a request among those that are the cheapest ones after the unseen
// arrivals; best is the cheapest one by the reports.
func (g *group) choose(best curve, lowest float64, random func() float64) curve {
	g.keepSimilar(best.base)
	arrivals := g.unseenArrivals()
	if arrivals < negligibleArrivals {
		return best
	}
	if drawn := g.draw(g.level(arrivals, lowest), random()); drawn != nil {
		return *drawn
	}
	return best
}
