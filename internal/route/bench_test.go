package route_test

import (
	"fmt"
	"testing"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/route"
)

var benchSizes = []int{21, 500, 5300}

// BenchmarkChoose measures Choose with an unchanged view.
func BenchmarkChoose(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view, router, rng := newView(n, 4, n), route.New(route.NewLoads()), newRand(1)
			q := route.Query{Service: "s", Idempotent: true}
			for i := range n {
				router.Loads().Server(fmt.Sprintf("server-%04d", i)).Report(start, i%5, 0)
			}
			router.Choose(rng, start, view, q)
			b.ReportAllocs()
			for b.Loop() {
				c, _ := router.Choose(rng, start, view, q)
				load := router.Loads().Server(c.Server.ID)
				load.Begin()
				load.End()
			}
		})
	}
}

// BenchmarkChooseNewView measures the first Choose after a change of the view.
func BenchmarkChooseNewView(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			view, router, rng := newView(n, 4, n), route.New(route.NewLoads()), newRand(1)
			b.ReportAllocs()
			for b.Loop() {
				copied := *view.Services["s"]
				view.Services = map[string]*fleet.ServiceView{"s": &copied}
				router.Choose(rng, start, view, route.Query{Service: "s"})
			}
		})
	}
}
