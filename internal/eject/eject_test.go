package eject_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// TestEjectionsKeepTheFloor guards against an ejection that brings a service below its floor
// although the capacity of the available servers reaches it.
func TestEjectionsKeepTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, members := drawService(t)
		available := 0
		for _, member := range members {
			if !member.Unavailable {
				available += int(float64(member.Slots) * member.Warmth)
			}
		}
		decision := eject.Decide(service, members)
		if decision.RoutableSlots < min(service.FloorSlots, available) {
			t.Fatalf("%d routable slots, floor %d, available %d", decision.RoutableSlots, service.FloorSlots, available)
		}
		if full := fullShareSlots(members, decision); full < min(service.FloorSlots, available) {
			t.Fatalf("%d slots take a full or reduced share, floor %d, available %d", full, service.FloorSlots, available)
		}
	})
}

// fullShareSlots sums the slots of the members that take a full or a reduced share of the work.
func fullShareSlots(members []eject.Member, decision eject.Decision) int {
	sum := 0
	for i, member := range members {
		if decision.Standings[i] == fleet.Routable || decision.Standings[i] == fleet.Reduced {
			sum += int(float64(member.Slots) * member.Warmth)
		}
	}
	return sum
}

// TestDecisionIsPure guards against different decisions by nodes with the same records, either
// because the records arrive in another order or because a decision modifies its input.
func TestDecisionIsPure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, members := drawService(t)
		first := standings(members, eject.Decide(service, members))
		shuffled := append([]eject.Member(nil), members...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		before := append([]eject.Member(nil), shuffled...)
		for range 2 {
			if again := standings(shuffled, eject.Decide(service, shuffled)); !reflect.DeepEqual(first, again) {
				t.Fatalf("decisions differ: %v and %v", first, again)
			}
		}
		if !reflect.DeepEqual(before, shuffled) {
			t.Fatal("Decide modified its input")
		}
	})
}

func standings(members []eject.Member, decision eject.Decision) map[string]fleet.Standing {
	out := map[string]fleet.Standing{}
	for i, member := range members {
		out[member.ID] = decision.Standings[i]
	}
	return out
}

// TestUnsettledEjectionHasNoEffect guards against an ejection that takes effect before every
// node has learned of the earlier requests.
func TestUnsettledEjectionHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, members := drawService(t)
		decision := eject.Decide(service, members)
		for i, member := range members {
			if !member.Unavailable && !member.Settled && decision.Standings[i] == fleet.SetAside {
				t.Fatalf("%s is set aside before its ejection settled", member.ID)
			}
		}
	})
}

// TestUnionOfViewsKeepsTheLargestBudget guards against nodes that count different capacities and
// together set aside more slots than the largest of their budgets.
func TestUnionOfViewsKeepsTheLargestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, members := drawService(t)
		for i := range members {
			members[i].Unavailable = false
		}
		budget, union := 0, map[string]int{}
		for range rapid.IntRange(1, 6).Draw(t, "views") {
			view := service
			view.FloorSlots += rapid.IntRange(0, 8).Draw(t, "slots missing in view")
			decision := eject.Decide(view, members)
			budget = max(budget, decision.AvailableSlots-view.FloorSlots)
			for i, member := range members {
				if decision.Standings[i] == fleet.SetAside {
					union[member.ID] = int(float64(member.Slots) * member.Warmth)
				}
			}
		}
		sum := 0
		for _, slots := range union {
			sum += slots
		}
		if sum > max(budget, 0) {
			t.Fatalf("the views together set aside %d slots, more than the largest budget, %d", sum, budget)
		}
	})
}

func drawService(t *rapid.T) (fleet.Service, []eject.Member) {
	service := fleet.Service{Name: "s", FloorSlots: rapid.IntRange(0, 60).Draw(t, "floor")}
	count := rapid.IntRange(0, 20).Draw(t, "count")
	members := rapid.SliceOfNDistinct(memberGenerator(), count, count, func(m eject.Member) string { return m.ID }).Draw(t, "members")
	return service, members
}

func memberGenerator() *rapid.Generator[eject.Member] {
	return rapid.Custom(func(t *rapid.T) eject.Member {
		member := eject.Member{
			ID:          rapid.StringMatching(`[a-z]{4}`).Draw(t, "id"),
			Slots:       rapid.IntRange(1, 8).Draw(t, "slots"),
			Warmth:      rapid.SampledFrom([]float64{0.2, 0.5, 1}).Draw(t, "warmth"),
			Health:      rapid.SampledFrom([]fleet.Health{fleet.Healthy, fleet.Suspect, fleet.Ejected, fleet.Ejected, fleet.Probation}).Draw(t, "health"),
			Unavailable: rapid.IntRange(0, 4).Draw(t, "unavailable") == 0,
		}
		if member.Health == fleet.Ejected || rapid.Bool().Draw(t, "claims reservation") {
			member.RequestedAt = time.Unix(rapid.Int64Range(1, 100).Draw(t, "requested at"), 0)
			member.Settled = rapid.IntRange(0, 3).Draw(t, "settled") > 0
		}
		return member
	})
}
