package eject_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// BenchmarkDecide measures one decision for a service of the given number of servers, one in ten
// of which has requested its ejection.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{21, 500, 5300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			members := make([]eject.Member, servers)
			for i := range members {
				members[i] = eject.Member{ID: fmt.Sprintf("s%04d", i), Slots: 6, Warmth: 1, Health: fleet.Healthy}
				if i%10 == 0 {
					members[i].Health, members[i].RequestedAt, members[i].Settled = fleet.Ejected, time.Unix(int64(i*7919%1000+1), 0), true
				}
			}
			service := fleet.Service{Name: "s", FloorSlots: servers * 4}
			b.ReportAllocs()
			for b.Loop() {
				eject.Decide(service, members)
			}
		})
	}
}
