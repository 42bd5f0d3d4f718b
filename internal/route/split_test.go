package route

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against a split that drifts from its weights: after any number of
// requests, each service must have its share to within two requests.
func TestSplitsKeepTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 5).Draw(t, "weights")
		split := &fleet.Route{ID: "r"}
		total := 0
		for i, weight := range weights {
			split.Split = append(split.Split, fleet.Share{Service: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		start := rapid.Float64Range(0, 1).Draw(t, "start")
		s := NewSplitter()
		chosen := map[string]int{}
		n := rapid.IntRange(1, 400).Draw(t, "requests")
		for range n {
			chosen[s.Choose(split, func() float64 { return start })]++
		}
		for _, share := range split.Split {
			want := share.Weight * float64(n) / float64(total)
			if got := float64(chosen[share.Service]); got < want-2 || got > want+2 {
				t.Fatalf("service %s got %.0f of %d, its share is %.1f", share.Service, got, n, want)
			}
		}
	})
}

func TestARouteWithoutASplitKeepsItsService(t *testing.T) {
	g := NewWithT(t)
	g.Expect(NewSplitter().Choose(&fleet.Route{Service: "s"}, nil)).To(Equal("s"))
}

// splitRoute returns a route whose requests go to the services "a", "b" and so on with the given weights.
func splitRoute(id string, weights ...float64) *fleet.Route {
	r := &fleet.Route{ID: id}
	for i, weight := range weights {
		r.Split = append(r.Split, fleet.Share{Service: string(rune('a' + i)), Weight: weight})
	}
	return r
}

// Guards against requests to a service that the operator has taken out of a split by the weight 0 (review case 10): at
// the first request after a start, after any change of the weights, and while requests that still have the previous
// configuration are being served.
func TestServicesWithoutWeightGetNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0, 1, 20, 50}), 2, 4)
		random := rapid.SliceOfN(rapid.Float64Range(0, 0.9999), 1, 20).Draw(t, "random")
		draws := 0
		s := NewSplitter()
		last := splitRoute("r", weights.Draw(t, "weights")...)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			r := last
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r = splitRoute("r", weights.Draw(t, "weights")...)
				last = r
			case 1:
				r = splitRoute("r", weights.Draw(t, "previous")...)
			}
			r.Service = "other"
			chosen := s.Choose(r, func() float64 { draws++; return random[draws%len(random)] })
			total := 0.0
			for _, share := range r.Split {
				total += share.Weight
				if share.Service == chosen && share.Weight == 0 {
					t.Fatalf("%s has no weight in %v", chosen, r.Split)
				}
			}
			if total > 0 && chosen == "other" {
				t.Fatalf("no service of %v was chosen", r.Split)
			}
		}
	})
}

// Guards against first requests that do not follow the weights: nodes with few requests on a route, or with
// a new configuration every few seconds, seldom get past them.
func TestFirstRequestsFollowTheWeights(t *testing.T) {
	g := NewWithT(t)
	r := splitRoute("r", 90, 10)
	const starts = 1000
	for _, requests := range []int{1, 3} {
		toB := 0
		for start := range starts {
			s := NewSplitter()
			for range requests {
				if s.Choose(r, func() float64 { return float64(start) / starts }) == "b" {
					toB++
				}
			}
		}
		g.Expect(float64(toB)/float64(starts*requests)).To(BeNumerically("~", 0.1, 0.01), "%d requests each", requests)
	}
}

// Guards against a change of other routes that restarts the sequence of a route, and with it the deviation from the
// weights: so do a new order of its services and an added service without weight.
func TestSequencesGoOnWhenTheirWeightsDoNotChange(t *testing.T) {
	g := NewWithT(t)
	s := NewSplitter()
	starts := 0
	random := func() float64 { starts++; return 0 }
	reordered := &fleet.Route{ID: "r", Split: []fleet.Share{{Service: "b", Weight: 1}, {Service: "a", Weight: 3}}}
	chosen := map[string]int{}
	for _, r := range []*fleet.Route{splitRoute("r", 3, 1), reordered, splitRoute("r", 3, 1, 0), splitRoute("r", 3, 1)} {
		s.Retain(func(id string) bool { return id == "r" })
		s.Choose(splitRoute("another", 1, 1), func() float64 { return 0 })
		chosen[s.Choose(r, random)]++
	}
	g.Expect(chosen).To(Equal(map[string]int{"a": 3, "b": 1}))
	g.Expect(starts).To(Equal(1))
	s.Choose(splitRoute("r", 1, 3), random)
	g.Expect(starts).To(Equal(2), "the weights have changed")
	s.Retain(func(string) bool { return false })
	s.Choose(splitRoute("r", 1, 3), random)
	g.Expect(starts).To(Equal(3), "the route was removed in between")
}
