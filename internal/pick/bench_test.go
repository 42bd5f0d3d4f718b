package pick

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// BenchmarkChoose measures one choice between servers in four data centres with reports of
// different ages.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{20, 47, 500} {
		for name, policy := range map[string]Policy{"water filling": WaterFilling, "least cost": LeastCost} {
			b.Run(fmt.Sprintf("%d servers, %s", servers, name), func(b *testing.B) {
				random := rand.New(rand.NewSource(1))
				p := NewWithPolicy("a", "r", policy)
				candidates := make([]Candidate, servers)
				now := start.Add(time.Second)
				for i := range candidates {
					candidates[i] = Candidate{ID: fmt.Sprint(i), DataCentre: string(rune('a' + i%4)), Region: "r"}
					p.Report(start.Add(time.Duration(random.Intn(1000))*time.Millisecond), candidates[i].ID, healthy(random.Intn(5)))
				}
				q := Query{Objective: 2 * time.Second}
				b.ReportAllocs()
				for range b.N {
					if choice, ok := p.Choose(now, random.Float64, candidates, q); ok {
						s := p.state(candidates[choice.Index].ID)
						s.sent = s.sent[:0]
					}
				}
			})
		}
	}
}
