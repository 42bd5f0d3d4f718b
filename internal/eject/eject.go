package eject

import (
	"math"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// SettleTime is the time between the request for an ejection and its effect. It is longer than
// gossip needs to reach every node, so all nodes know the same requests by the time one of them
// takes effect. Gossip exchanges take place every 500 ms; docs/detection.md gives the measured
// time for 500 nodes. The clocks of the nodes must agree to within the difference between the
// two times.
const SettleTime = 5 * time.Second

// Member is one backend server in the input of Decide.
type Member struct {
	// ID identifies the server.
	ID string
	// Slots is the full capacity.
	Slots int
	// Warmth is the available fraction of the full capacity, from 0 to 1; below 1 while warming up.
	Warmth float64
	// Health is the health state assigned by the host of the server.
	Health fleet.Health
	// RequestedAt is when the host requested the ejection. While it is set, the server claims a
	// reservation in the ejection budget.
	RequestedAt time.Time
	// Settled is true once SettleTime has passed since RequestedAt.
	Settled bool
	// Unavailable marks a server that takes no work whatever the floor says, because it is
	// withdrawn, leaving or unreachable.
	Unavailable bool
}

// Decision is the result of Decide for the members of one service.
type Decision struct {
	// Standings holds one standing per member, in the order of the members.
	Standings []fleet.Standing
	// AnnouncedSlots is the full capacity of all members.
	AnnouncedSlots int
	// AvailableSlots is the capacity of the members that are not Unavailable. A cold server
	// counts by its Warmth.
	AvailableSlots int
	// RoutableSlots is the capacity of the members that take a full or a reduced share of the
	// work. A cold server counts by its Warmth.
	RoutableSlots int
	// ReservedEjections is the number of granted reservations in the ejection budget.
	ReservedEjections int
	// HeldEjections is the number of requested ejections that the floor holds back.
	HeldEjections int
}

// HasSettled reports whether an ejection requested at requestedAt may take effect at time now.
func HasSettled(now, requestedAt time.Time) bool {
	return !requestedAt.IsZero() && !now.Before(requestedAt.Add(SettleTime))
}

// Decide grants or holds back the requested ejections of one service. Reservations are granted
// strictly in the order of the requests: once one ejection is held back, so are all later ones.
// Nodes that count different capacities then set aside prefixes of the same list, so the union
// of what they set aside never exceeds the largest budget among them.
func Decide(service fleet.Service, members []Member) Decision {
	decision := Decision{Standings: make([]fleet.Standing, len(members))}
	var requested []int
	for i := range members {
		decision.AnnouncedSlots += members[i].Slots
		if members[i].Unavailable {
			decision.Standings[i] = fleet.SetAside
			continue
		}
		decision.AvailableSlots += effectiveSlots(members[i])
		if members[i].claimsReservation() {
			requested = append(requested, i)
		} else if members[i].Health == fleet.Suspect {
			decision.Standings[i] = fleet.Reduced
		}
	}
	sortByRequestTime(requested, members)
	decision.grantInOrder(requested, members, decision.AvailableSlots-service.FloorSlots)
	for i := range members {
		if decision.Standings[i] <= fleet.Reduced {
			decision.RoutableSlots += effectiveSlots(members[i])
		}
	}
	return decision
}

// grantInOrder grants reservations in order until the next member needs more slots than remain
// in the budget.
func (d *Decision) grantInOrder(requested []int, members []Member, budget int) {
	for n, i := range requested {
		slots := effectiveSlots(members[i])
		if slots > budget {
			d.holdAll(requested[n:], members)
			return
		}
		budget -= slots
		d.ReservedEjections++
		d.Standings[i] = members[i].grantedStanding()
	}
}

// holdAll gives a reduced share of the work to members whose ejection the floor holds back.
func (d *Decision) holdAll(held []int, members []Member) {
	for _, i := range held {
		if members[i].Health == fleet.Healthy {
			continue
		}
		d.HeldEjections++
		d.Standings[i] = fleet.Reduced
	}
}

func (m Member) claimsReservation() bool {
	return !m.RequestedAt.IsZero() || m.Health == fleet.Ejected || m.Health == fleet.Probation
}

// grantedStanding returns the standing of a member that has a reservation in the ejection
// budget.
func (m Member) grantedStanding() fleet.Standing {
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

func sortByRequestTime(indices []int, members []Member) {
	sort.Slice(indices, func(a, b int) bool {
		first, second := &members[indices[a]], &members[indices[b]]
		if !first.RequestedAt.Equal(second.RequestedAt) {
			return first.RequestedAt.Before(second.RequestedAt)
		}
		return first.ID < second.ID
	})
}
