package eject

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Member is a backend server as input of a decision.
type Member struct {
	// ID names the server.
	ID string
	// Slots is its full capacity.
	Slots int
	// Warmth is the share of its capacity that it has, from 0 to 1.
	Warmth float64
	// Health is the state that its host assigned.
	Health fleet.Health
	// AskedAt is the time at which its host asked for the ejection.
	AskedAt time.Time
	// Gone is set for servers that take no work whatever the floor says:
	// withdrawn, leaving, or unreachable.
	Gone bool
}

// Decision is the result for the members of one service.
type Decision struct {
	// Standings are in the order of the members.
	Standings []fleet.Standing
	// AnnouncedSlots is the capacity of all members.
	AnnouncedSlots int
	// RoutableSlots is the capacity that takes work, cold servers in part.
	RoutableSlots int
	// Granted is the number of ejections in effect.
	Granted int
	// Held is the number of asked ejections that the floor holds back.
	Held int
}

// Decide grants or holds the asked ejections of one service.
func Decide(service fleet.Service, members []Member) Decision {
	decision := Decision{Standings: make([]fleet.Standing, len(members))}
	remaining := 0
	var asked []int
	for i, member := range members {
		decision.AnnouncedSlots += member.Slots
		if member.Gone {
			decision.Standings[i] = fleet.SetAside
			continue
		}
		remaining += effectiveSlots(member)
		switch member.Health {
		case fleet.Suspect:
			decision.Standings[i] = fleet.Reduced
		case fleet.Probation:
			decision.Standings[i] = fleet.OnProbation
			asked = append(asked, i)
		case fleet.Ejected:
			asked = append(asked, i)
		}
	}
	sortByAsking(asked, members)
	for _, i := range asked {
		slots := effectiveSlots(members[i])
		if remaining-slots < service.FloorSlots {
			decision.Standings[i] = fleet.Reduced
			decision.Held++
			continue
		}
		remaining -= slots
		decision.Granted++
		if members[i].Health == fleet.Ejected {
			decision.Standings[i] = fleet.SetAside
		}
	}
	decision.RoutableSlots = remaining
	return decision
}

func effectiveSlots(member Member) int {
	return int(math.Floor(float64(member.Slots) * member.Warmth))
}

func sortByAsking(indices []int, members []Member) {
	sort.Slice(indices, func(a, b int) bool {
		first, second := members[indices[a]], members[indices[b]]
		if !first.AskedAt.Equal(second.AskedAt) {
			return first.AskedAt.Before(second.AskedAt)
		}
		return first.ID < second.ID
	})
}
