package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBucket measures the decision of a home.
func BenchmarkBucket(b *testing.B) {
	home := NewHome(0, 7)
	limit := Limit{Rate: 100, Burst: 100, Window: 5 * time.Second, Over: 0.1, Extra: 20}
	b.ReportAllocs()
	now := time.Minute
	for b.Loop() {
		now += time.Millisecond
		home.Ask(now, "account", limit, 3, false, Ask{Waiting: 1, Demand: 2})
	}
}

// BenchmarkPurse measures the decision of an entry: with credit, and with a call to a home.
func BenchmarkPurse(b *testing.B) {
	for _, share := range []int{1, 8} {
		b.Run(fmt.Sprintf("%d requests a call", share), func(b *testing.B) {
			var p Purse
			p.SetHomes([]Node{1, 2, 3})
			b.ReportAllocs()
			now := time.Minute
			for b.Loop() {
				now += time.Millisecond
				p.Arrive(now)
				if _, ok := p.Take(now); ok {
					continue
				}
				home, _, _ := p.NextAsk(now, 1)
				p.Granted(now, now, home, Reply{Home: true, Granted: share})
				p.Take(now)
				p.Ended(now, func(Node, Return) {})
			}
		})
	}
}

// BenchmarkHomes measures the choice of homes, which an entry keeps until the members change.
func BenchmarkHomes(b *testing.B) {
	for _, nodes := range []int{69, 500} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			members := make([]Node, nodes)
			for i := range members {
				members[i] = HashNode(fmt.Sprintf("node-%d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				Homes("account-12345", members, MaxHomes)
			}
		})
	}
}
