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
