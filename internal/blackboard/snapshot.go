package blackboard

import (
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// InvariantFloor counts snapshots in which less capacity is routable than the
// floor although that much is available.
const InvariantFloor = "floor"

// warmStep is the time between two updates of the warmth of a cold server.
const warmStep = time.Second

// snapshot returns a new view if anything changed since the last one.
func (e *Entries) snapshot(now time.Time) (*fleet.View, bool) {
	e.expireTimed(now)
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
		DownNodes: copyMap(e.down),
		Services:  copyMap(e.services),
		Ready:     e.Ready(),
	}, true
}

// expireTimed marks every service dirty when a warmth or a window changes by
// the passing of time alone.
func (e *Entries) expireTimed(now time.Time) {
	if !e.nextWarm.IsZero() && !now.Before(e.nextWarm) {
		e.nextWarm = time.Time{}
		e.markAllDirty()
	}
}

func (e *Entries) rebuildDirty(now time.Time) {
	if len(e.dirty) == 0 {
		return
	}
	members := map[string][]fleet.Candidate{}
	for _, node := range e.nodes {
		for i := range node.Servers {
			server := &node.Servers[i]
			if e.dirty[server.Service] {
				members[server.Service] = append(members[server.Service], e.candidate(now, node, server))
			}
		}
	}
	for name := range e.dirty {
		e.rebuildService(now, name, members[name])
	}
	e.dirty = map[string]bool{}
	e.scheduleWindows(now)
}

func (e *Entries) candidate(now time.Time, node *fleet.NodeRecord, server *fleet.ServerRecord) fleet.Candidate {
	return fleet.Candidate{
		Server:   server,
		Host:     node,
		Warmth:   e.warmth(now, server),
		PathDown: e.isPathDown(node.ID),
	}
}

// warmth rises linearly from one fifth to 1 over the last minute of the cold
// start, or over the whole of it if it is shorter.
func (e *Entries) warmth(now time.Time, server *fleet.ServerRecord) float64 {
	left := server.WarmUntil.Sub(now)
	if server.WarmUntil.IsZero() || left <= 0 {
		return 1
	}
	e.wakeAt(now.Add(min(left, warmStep)))
	share := 1 - left.Seconds()/time.Minute.Seconds()
	return max(share, 0.2)
}

func (e *Entries) wakeAt(t time.Time) {
	if e.nextWarm.IsZero() || t.Before(e.nextWarm) {
		e.nextWarm = t
	}
}

// scheduleWindows makes the next snapshot follow the start or end of a
// maintenance window.
func (e *Entries) scheduleWindows(now time.Time) {
	for _, withdrawal := range e.config.Withdrawals {
		for _, edge := range []time.Time{withdrawal.NotBefore, withdrawal.NotAfter} {
			if edge.After(now) {
				e.wakeAt(edge)
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
	decision := eject.Decide(service, e.members(now, candidates))
	for i := range candidates {
		candidates[i].Standing = decision.Standings[i]
	}
	if decision.RoutableSlots < min(service.FloorSlots, decision.AvailableSlots) {
		e.Invariants[InvariantFloor]++
	}
	e.services[name] = &fleet.ServiceView{
		Service:        service,
		Candidates:     candidates,
		AnnouncedSlots: decision.AnnouncedSlots,
		RoutableSlots:  decision.RoutableSlots,
	}
}

func (e *Entries) members(now time.Time, candidates []fleet.Candidate) []eject.Member {
	members := make([]eject.Member, len(candidates))
	for i, candidate := range candidates {
		members[i] = eject.Member{
			ID:          candidate.Server.ID,
			Slots:       candidate.Server.Slots,
			Warmth:      candidate.Warmth,
			Health:      candidate.Server.Health,
			RequestedAt: candidate.Server.EjectionRequestedAt,
			Settled:     e.settled(now, candidate.Server.EjectionRequestedAt),
			Unavailable: e.gone(now, candidate),
		}
	}
	return members
}

// settled tells whether an asked ejection may take effect, and makes a
// snapshot follow when it may.
func (e *Entries) settled(now, askedAt time.Time) bool {
	if askedAt.IsZero() || eject.HasSettled(now, askedAt) {
		return !askedAt.IsZero()
	}
	e.wakeAt(askedAt.Add(eject.SettleTime))
	return false
}

func (e *Entries) gone(now time.Time, candidate fleet.Candidate) bool {
	if candidate.Server.Leaving || candidate.Host.Leaving || e.down[candidate.Host.ID] {
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
	clone := make(map[string]T, len(values))
	for key, value := range values {
		clone[key] = value
	}
	return clone
}
