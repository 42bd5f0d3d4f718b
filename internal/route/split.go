package route

import (
	"sync"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Splitter distributes the requests of split routes over services by smooth
// weighted round robin: after any number of requests, each service has its share
// to within one request. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// NewSplitter returns a splitter. The sequence of each route starts at a random
// point, so that entries with few requests do not all start with the same service.
func NewSplitter() *Splitter { return &Splitter{routes: map[string]map[string]float64{}} }

// Choose returns the service for the next request of a route. random yields
// uniform numbers from 0 to 1; it is called for the first request of a route only.
func (s *Splitter) Choose(route *fleet.Route, random func() float64) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits, ok := s.routes[route.ID]
	if !ok {
		credits = map[string]float64{}
		for _, share := range route.Split {
			credits[share.Service] = random() * totalWeight(route)
		}
		s.routes[route.ID] = credits
	}
	best := ""
	for _, share := range route.Split {
		credits[share.Service] += share.Weight
		if best == "" || credits[share.Service] > credits[best] {
			best = share.Service
		}
	}
	credits[best] -= totalWeight(route)
	return best
}

// Reset restarts all sequences. It must be called after the weights change.
func (s *Splitter) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.routes)
}

func totalWeight(route *fleet.Route) float64 {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	return total
}
