package route

import (
	"maps"
	"slices"
	"sync"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// startSteps is the number of steps among which a sequence starts. The first request goes to each service with
// its share to within 1 in startSteps.
const startSteps = 1000

// Splitter distributes the requests of split routes over services by smooth
// weighted round robin: after any number of requests, each service has its share
// to within one request, and a service without weight gets none. It is safe for
// concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*sequence
}

// NewSplitter returns a splitter. The sequence of each route starts at a random
// step, so that entries with few requests do not all start with the same service.
func NewSplitter() *Splitter { return &Splitter{routes: map[string]*sequence{}} }

// Choose returns the service for the next request of a route. The sequence of a
// route starts anew when the weights of its services change. random yields uniform
// numbers from 0 to 1; it is called at each start of a sequence.
func (s *Splitter) Choose(route *fleet.Route, random func() float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.routes[route.ID]
	if q == nil || !q.serves(route.Split) {
		q = newSequence(route.Split)
		q.skip(int(random() * startSteps))
		s.routes[route.ID] = q
	}
	if len(q.parts) == 0 {
		return route.Service
	}
	return q.next()
}

// Retain forgets the sequences of routes that known does not report.
func (s *Splitter) Retain(known func(route string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.routes, func(route string, _ *sequence) bool { return !known(route) })
}

// sequence is the order in which the requests of a route go to its services.
type sequence struct {
	// split is the list of services as it was last seen, and weights the sum for each service.
	split   []fleet.Share
	weights map[string]float64
	// parts are the services with a weight, and total is the sum of their weights.
	parts []part
	total float64
}

type part struct {
	service        string
	weight, credit float64
}

func newSequence(split []fleet.Share) *sequence {
	q := &sequence{split: split, weights: serviceWeights(split)}
	for _, service := range slices.Sorted(maps.Keys(q.weights)) {
		q.parts = append(q.parts, part{service: service, weight: q.weights[service]})
		q.total += q.weights[service]
	}
	return q
}

// serviceWeights returns the weight of each service that has one.
func serviceWeights(split []fleet.Share) map[string]float64 {
	weights := map[string]float64{}
	for _, share := range split {
		if share.Weight > 0 {
			weights[share.Service] += share.Weight
		}
	}
	return weights
}

// serves reports whether the sequence gives each service the weight that a split does, in any order.
func (q *sequence) serves(split []fleet.Share) bool {
	if slices.Equal(q.split, split) {
		return true
	}
	if !maps.Equal(q.weights, serviceWeights(split)) {
		return false
	}
	q.split = split
	return true
}

// skip passes over a number of steps.
func (q *sequence) skip(steps int) {
	if len(q.parts) == 0 {
		return
	}
	for range steps {
		q.next()
	}
}

// next returns the service of the next step.
func (q *sequence) next() string {
	best := &q.parts[0]
	for i := range q.parts {
		p := &q.parts[i]
		if p.credit += p.weight; p.credit > best.credit {
			best = p
		}
	}
	best.credit -= q.total
	return best.service
}
