package blackboard

import (
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// InvariantFloor is violated by a snapshot in which the routable capacity of a service is below
// its floor although enough capacity is available.
const InvariantFloor = "floor"

// warmthUpdateInterval is the longest time between two updates of the warmth of a cold server.
const warmthUpdateInterval = time.Second

// snapshot returns a new view if anything changed since the last one.
func (e *Entries) snapshot(now time.Time) (*fleet.View, bool) {
	e.markTimedChanges(now)
	if !e.changed {
		return nil, false
	}
	e.rebuildDirty(now)
	e.changed = false
	return &fleet.View{
		At:        now,
		Self:      e.self,
		Config:    e.config,
		Nodes:     copyMap(e.nodes),
		DownNodes: copyMap(e.downNodes),
		Services:  copyMap(e.services),
		Ready:     e.Ready(),
	}, true
}

// markTimedChanges marks every service as dirty once nextTimedChange has come: the warmth of a
// server, the settling of an ejection, or a maintenance window changes without a new record.
func (e *Entries) markTimedChanges(now time.Time) {
	if !e.nextTimedChange.IsZero() && !now.Before(e.nextTimedChange) {
		e.nextTimedChange = time.Time{}
		e.markAllDirty()
	}
}

func (e *Entries) rebuildDirty(now time.Time) {
	if len(e.dirtyServices) == 0 {
		return
	}
	members := map[string][]fleet.Candidate{}
	for _, node := range e.nodes {
		for i := range node.Servers {
			server := &node.Servers[i]
			if e.dirtyServices[server.Service] {
				members[server.Service] = append(members[server.Service], e.candidate(now, node, server))
			}
		}
	}
	for name := range e.dirtyServices {
		e.rebuildService(now, name, members[name])
	}
	e.dirtyServices = map[string]bool{}
	e.scheduleMaintenanceWindows(now)
}

func (e *Entries) candidate(now time.Time, node *fleet.NodeRecord, server *fleet.ServerRecord) fleet.Candidate {
	return fleet.Candidate{
		Server:   server,
		Host:     node,
		Warmth:   e.warmth(now, server),
		PathDown: e.isPathDown(node.ID),
	}
}

// warmth returns the share of its slots that a server may use. It rises linearly to 1 over the
// last minute before WarmUntil and is at least one fifth.
func (e *Entries) warmth(now time.Time, server *fleet.ServerRecord) float64 {
	left := server.WarmUntil.Sub(now)
	if server.WarmUntil.IsZero() || left <= 0 {
		return 1
	}
	e.scheduleSnapshot(now.Add(min(left, warmthUpdateInterval)))
	share := 1 - left.Seconds()/time.Minute.Seconds()
	return max(share, 0.2)
}

// scheduleSnapshot makes a snapshot rebuild every service at time t, or earlier.
func (e *Entries) scheduleSnapshot(t time.Time) {
	if e.nextTimedChange.IsZero() || t.Before(e.nextTimedChange) {
		e.nextTimedChange = t
	}
}

// scheduleMaintenanceWindows schedules a snapshot for the next start or end of a maintenance
// window.
func (e *Entries) scheduleMaintenanceWindows(now time.Time) {
	for _, withdrawal := range e.config.Withdrawals {
		for _, edge := range []time.Time{withdrawal.NotBefore, withdrawal.NotAfter} {
			if edge.After(now) {
				e.scheduleSnapshot(edge)
			}
		}
	}
}

func (e *Entries) rebuildService(now time.Time, name string, candidates []fleet.Candidate) {
	service, configured := e.config.Services[name]
	if !configured && len(candidates) == 0 {
		delete(e.services, name)
		return
	}
	if !configured {
		service = fleet.Service{Name: name}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Server.ID < candidates[j].Server.ID })
	decision := eject.Decide(service, e.ejectionMembers(now, candidates))
	for i := range candidates {
		candidates[i].Standing = decision.Standings[i]
	}
	if decision.RoutableSlots < min(service.FloorSlots, decision.AvailableSlots) {
		e.InvariantViolations[InvariantFloor]++
	}
	e.services[name] = &fleet.ServiceView{
		Service:        service,
		Candidates:     candidates,
		AnnouncedSlots: decision.AnnouncedSlots,
		RoutableSlots:  decision.RoutableSlots,
	}
}

func (e *Entries) ejectionMembers(now time.Time, candidates []fleet.Candidate) []eject.Member {
	members := make([]eject.Member, len(candidates))
	for i, candidate := range candidates {
		members[i] = eject.Member{
			ID:          candidate.Server.ID,
			Slots:       candidate.Server.Slots,
			Warmth:      candidate.Warmth,
			Health:      candidate.Server.Health,
			RequestedAt: candidate.Server.EjectionRequestedAt,
			Settled:     e.hasSettled(now, candidate.Server.EjectionRequestedAt),
			Unavailable: e.isUnavailable(now, candidate),
		}
	}
	return members
}

// hasSettled reports whether an ejection requested at askedAt may take effect. If it may not yet,
// hasSettled schedules a snapshot for the time at which it may.
func (e *Entries) hasSettled(now, askedAt time.Time) bool {
	if askedAt.IsZero() || eject.HasSettled(now, askedAt) {
		return !askedAt.IsZero()
	}
	e.scheduleSnapshot(askedAt.Add(eject.SettleTime))
	return false
}

// isUnavailable reports whether a server is leaving, unreachable or withdrawn.
func (e *Entries) isUnavailable(now time.Time, candidate fleet.Candidate) bool {
	if candidate.Server.Leaving || candidate.Host.Leaving || e.downNodes[candidate.Host.ID] {
		return true
	}
	for _, withdrawal := range e.config.Withdrawals {
		if withdrawal.ActiveAt(now) && withdrawal.Covers(candidate.Host, candidate.Server) {
			return true
		}
	}
	return false
}

func copyMap[T any](values map[string]T) map[string]T {
	result := make(map[string]T, len(values))
	for key, value := range values {
		result[key] = value
	}
	return result
}
