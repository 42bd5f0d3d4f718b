package eject

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// SettleTime is the time between the request for an ejection and its effect.
// It is longer than gossip needs to tell every node, so that all nodes know the
// same requests by the time one takes effect. With exchanges every 500 ms,
// docs/detection.md gives the measured time for 500 nodes. The clocks of nodes
// must agree to within the difference.
const SettleTime = 5 * time.Second

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
	// RequestedAt is the time at which its host asked for the ejection. A server
	// holds its place in the budget while it is set.
	RequestedAt time.Time
	// Settled is set when SettleTime has passed since AskedAt.
	Settled bool
	// Unavailable is set for servers that take no work whatever the floor says:
	// withdrawn, leaving, or unreachable.
	Unavailable bool
}

// Decision is the result for the members of one service.
type Decision struct {
	// Standings are in the order of the members.
	Standings []fleet.Standing
	// AnnouncedSlots is the capacity of all members.
	AnnouncedSlots int
	// AvailableSlots is the capacity of the members that are not gone, cold
	// servers in part.
	AvailableSlots int
	// RoutableSlots is the capacity that takes a full or a reduced share of
	// the work, cold servers in part.
	RoutableSlots int
	// ReservedEjections is the number of places in the ejection budget that are taken.
	ReservedEjections int
	// HeldEjections is the number of asked ejections that the floor holds back.
	HeldEjections int
}

// HasSettled reports whether an ejection asked for at askedAt may take effect.
func HasSettled(now, askedAt time.Time) bool {
	return !askedAt.IsZero() && !now.Before(askedAt.Add(SettleTime))
}

// Decide grants or holds the asked ejections of one service. Places are given
// strictly by age: once one ejection is held, all younger ones are. Nodes
// whose views differ in capacity then set aside prefixes of one list, whose
// union is not more than the largest budget among them.
func Decide(service fleet.Service, members []Member) Decision {
	decision := Decision{Standings: make([]fleet.Standing, len(members))}
	var asked []int
	for i := range members {
		decision.AnnouncedSlots += members[i].Slots
		if members[i].Unavailable {
			decision.Standings[i] = fleet.SetAside
			continue
		}
		decision.AvailableSlots += effectiveSlots(members[i])
		if members[i].holdsPlace() {
			asked = append(asked, i)
		} else if members[i].Health == fleet.Suspect {
			decision.Standings[i] = fleet.Reduced
		}
	}
	sortByAsking(asked, members)
	decision.grant(asked, members, decision.AvailableSlots-service.FloorSlots)
	for i := range members {
		if decision.Standings[i] <= fleet.Reduced {
			decision.RoutableSlots += effectiveSlots(members[i])
		}
	}
	return decision
}

// grant gives places in order until the budget, in slots, is used.
func (d *Decision) grant(asked []int, members []Member, budget int) {
	for n, i := range asked {
		slots := effectiveSlots(members[i])
		if slots > budget {
			d.hold(asked[n:], members)
			return
		}
		budget -= slots
		d.ReservedEjections++
		d.Standings[i] = members[i].placed()
	}
}

// hold leaves the members that need a place at a reduced share.
func (d *Decision) hold(asked []int, members []Member) {
	for _, i := range asked {
		if members[i].Health == fleet.Healthy {
			continue
		}
		d.HeldEjections++
		d.Standings[i] = fleet.Reduced
	}
}

func (m Member) holdsPlace() bool {
	return !m.RequestedAt.IsZero() || m.Health == fleet.Ejected || m.Health == fleet.Probation
}

// placed returns the standing of a member that has a place in the budget.
func (m Member) placed() fleet.Standing {
	switch m.Health {
	case fleet.Ejected:
		if m.Settled {
			return fleet.SetAside
		}
		return fleet.Reduced
	case fleet.Probation:
		return fleet.OnProbation
	case fleet.Suspect:
		return fleet.Reduced
	}
	return fleet.Routable
}

func effectiveSlots(member Member) int {
	return int(math.Floor(float64(member.Slots) * member.Warmth))
}

func sortByAsking(indices []int, members []Member) {
	sort.Slice(indices, func(a, b int) bool {
		first, second := &members[indices[a]], &members[indices[b]]
		if !first.RequestedAt.Equal(second.RequestedAt) {
			return first.RequestedAt.Before(second.RequestedAt)
		}
		return first.ID < second.ID
	})
}
