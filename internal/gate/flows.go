package gate

import (
	"math"
	"time"
)

const (
	// maxCallShare is the largest share of the time of a server that calls are expected to take, so
	// that the expected wait of other requests stays finite.
	maxCallShare = 0.8
	// callMemory is the time within which calls lose most of their weight in the mean.
	callMemory = 2 * time.Second
	// floorShare is the part of the time of the server that waiting flows divide evenly, whatever
	// the ranks of their requests. The rest follows the ranks.
	floorShare = 0.25
	// maxKinds bounds the memory for service times by kind, and maxFlows that for credit.
	maxKinds = 256
	maxFlows = 256
)

// Flow identifies the requests that share a floor.
type Flow struct {
	// Kind stands for the route.
	Kind uint32
	// Account is the client account; empty without one.
	Account string
}

// flows keeps the credit of the flows that wait, by deficit round robin: the time of each run
// gives all waiting flows an even part of floorShare of it, and a flow whose credit pays for one of its
// runs goes next.
type flows struct {
	// credit is in seconds of server time.
	credit map[Flow]float64
	// service holds the mean service time of each kind in seconds.
	service map[uint32]float64
}

func newFlows() flows {
	return flows{credit: map[Flow]float64{}, service: map[uint32]float64{}}
}

// observe records the service time of a run.
func (f *flows) observe(kind uint32, took time.Duration) {
	mean, known := f.service[kind]
	if !known && len(f.service) >= maxKinds {
		return
	}
	if !known {
		mean = took.Seconds()
	}
	f.service[kind] = mean + serviceTimeWeight*(took.Seconds()-mean)
}

// cost returns the expected service time of a kind in seconds.
func (f *flows) cost(kind uint32) float64 {
	if mean, known := f.service[kind]; known {
		return mean
	}
	return initialServiceTime.Seconds()
}

// next returns the index of the request that runs next: the first one of the flow whose credit
// exceeds the cost of a run by most, or the first of all if no credit pays for a run.
func (f *flows) next(waiting []*Ticket) int {
	best, most := 0, 0.0
	seen := map[Flow]bool{}
	for i, ticket := range waiting {
		flow := ticket.request.Flow
		if seen[flow] {
			continue
		}
		seen[flow] = true
		if excess := f.credit[flow] - f.cost(flow.Kind); excess > most {
			best, most = i, excess
		}
	}
	return best
}

// charge divides the floor's part of the run of a flow between the waiting flows, and takes the
// cost of the run from its own credit.
func (f *flows) charge(waiting []*Ticket, started Flow) {
	cost := f.cost(started.Kind)
	seen := map[Flow]bool{}
	for _, ticket := range waiting {
		seen[ticket.request.Flow] = true
	}
	if len(f.credit) > maxFlows {
		f.forgetExcept(seen)
	}
	for flow := range seen {
		f.credit[flow] += floorShare * cost / float64(len(seen))
	}
	if rest := f.credit[started] - cost; rest > 0 {
		f.credit[started] = rest
	} else {
		delete(f.credit, started)
	}
}

// forgetExcept drops the credit of the flows of which no request waits.
func (f *flows) forgetExcept(waiting map[Flow]bool) {
	for flow := range f.credit {
		if !waiting[flow] {
			delete(f.credit, flow)
		}
	}
}

// decayingMean is the mean number of slots that some runs have taken lately.
type decayingMean struct {
	value     float64
	updatedAt time.Time
}

// add records the end of a run.
func (m *decayingMean) add(now time.Time, took time.Duration) {
	m.value = m.at(now) + took.Seconds()/callMemory.Seconds()
	m.updatedAt = now
}

func (m *decayingMean) at(now time.Time) float64 {
	return m.value * math.Exp(-max(now.Sub(m.updatedAt), 0).Seconds()/callMemory.Seconds())
}
