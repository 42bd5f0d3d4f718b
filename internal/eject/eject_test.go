package eject_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// TestEjectionsKeepTheFloor guards against an ejection that brings a service
// below its floor although the servers that are not gone reach it.
func TestEjectionsKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := fleet.Service{Name: "s", FloorSlots: rapid.IntRange(0, 60).Draw(t, "floor")}
		members := rapid.SliceOfN(memberGenerator(), 0, 20).Draw(t, "members")
		available := 0
		for _, member := range members {
			if !member.Gone {
				available += int(float64(member.Slots) * member.Warmth)
			}
		}
		decision := eject.Decide(service, members)
		if decision.RoutableSlots < min(service.FloorSlots, available) {
			t.Fatalf("routable %d slots, floor %d, available %d", decision.RoutableSlots, service.FloorSlots, available)
		}
	})
}

func memberGenerator() *rapid.Generator[eject.Member] {
	return rapid.Custom(func(t *rapid.T) eject.Member {
		return eject.Member{
			ID:      rapid.StringMatching(`[a-z]{4}`).Draw(t, "id"),
			Slots:   rapid.IntRange(1, 8).Draw(t, "slots"),
			Warmth:  rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "warmth"),
			Health:  rapid.SampledFrom([]fleet.Health{fleet.Healthy, fleet.Suspect, fleet.Ejected, fleet.Probation}).Draw(t, "health"),
			AskedAt: time.Unix(rapid.Int64Range(0, 10).Draw(t, "asked"), 0),
			Gone:    rapid.Bool().Draw(t, "gone"),
		}
	})
}
