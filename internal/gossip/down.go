package gossip

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// listersNeeded is how many nodes must list a node as unreachable before it
	// counts as down. With one, an observer that lost its own path would take
	// healthy nodes out of service.
	listersNeeded = 2
	// heardMemory is how long a sign of life that this node saw itself outweighs
	// the lists of others. It is longer than the interval between two probes.
	heardMemory = 2500 * time.Millisecond
	// evaluateInterval is the time between two evaluations. The result depends
	// on time through heardMemory and forgetAfter.
	evaluateInterval = 250 * time.Millisecond
	// listerMargin is how much longer than others a node keeps the record of a
	// node that it lists. Nodes that forgot would drop it from their lists, and
	// those that had not yet would then count it as up and bring it back.
	listerMargin = 30 * time.Second
)

// Reach is what this node concludes about reaching others.
type Reach struct {
	// Down are the nodes that count as unreachable for the whole fleet.
	Down map[string]bool
	// PathDown are the nodes that this node cannot reach directly.
	PathDown map[string]bool
	// Unreachable are the nodes that this node cannot reach at all, in
	// ascending order, at most MaxUnreachable.
	Unreachable []string
}

// Update is everything the control goroutine takes over in one step.
type Update struct {
	Changes
	// Reach is nil if it was not evaluated since the last step.
	Reach *Reach
}

// Collect returns what changed since the last call. Only one goroutine calls it.
func (s *Service) Collect(now time.Time) Update {
	update := Update{}
	if now.Sub(s.evaluated) >= evaluateInterval {
		s.evaluated = now
		reach := s.evaluate(now)
		update.Reach = &reach
	}
	update.Changes = s.store.take()
	return update
}

// evaluate applies the rule of doc.go and forgets nodes that have been down or
// gone for long.
func (s *Service) evaluate(now time.Time) Reach {
	s.store.mu.Lock()
	records := make([]*fleet.NodeRecord, 0, len(s.store.items))
	for _, known := range s.store.items {
		records = append(records, known.record)
	}
	previous := s.store.down
	s.store.mu.Unlock()

	reach := s.paths.reach(records, s.id)
	reach.Down = s.downNodes(now, records, previous, reach.Unreachable)
	silent := maps.Clone(reach.Down)
	for _, id := range reach.Unreachable {
		silent[id] = true
	}
	s.store.setDown(silent)
	s.forgetSilent(now, records, silent, reach.Unreachable)
	s.logChanges(s.loggedDown, reach.Down)
	s.loggedDown = reach.Down
	return reach
}

// reach reads the state of the paths and drops those to nodes that are gone.
func (p *paths) reach(records []*fleet.NodeRecord, self string) Reach {
	p.mu.Lock()
	defer p.mu.Unlock()
	reach := Reach{PathDown: map[string]bool{}}
	kept := make(map[string]bool, len(records))
	for _, record := range records {
		kept[record.ID] = !record.Left && record.ID != self
	}
	for id, known := range p.byID {
		if !kept[id] {
			delete(p.byID, id)
			continue
		}
		if known.broken {
			reach.PathDown[id] = true
		}
		if known.unreachable {
			reach.Unreachable = append(reach.Unreachable, id)
		}
	}
	for id := range p.heard {
		if !kept[id] {
			delete(p.heard, id)
		}
	}
	slices.Sort(reach.Unreachable)
	reach.Unreachable = reach.Unreachable[:min(len(reach.Unreachable), MaxUnreachable)]
	return reach
}

// downNodes counts, for each node, the credible nodes that list it.
func (s *Service) downNodes(now time.Time, records []*fleet.NodeRecord, previous map[string]bool, own []string) map[string]bool {
	listers := map[string]int{}
	credible := 0
	for _, record := range records {
		list := record.Unreachable
		switch {
		case record.ID == s.id:
			list = own
		case record.Left || previous[record.ID] || slices.Contains(own, record.ID):
			// The list of a node that cannot be reached may be out of date.
			continue
		}
		credible++
		for _, id := range list {
			listers[id]++
		}
	}
	down := map[string]bool{}
	for _, record := range records {
		if record.ID == s.id || record.Left {
			continue
		}
		needed := listersNeeded
		if available := credible - 1; !previous[record.ID] && !slices.Contains(own, record.ID) {
			needed = min(needed, max(available, 1))
		} else {
			needed = min(needed, credible)
		}
		if listers[record.ID] >= needed && !s.paths.heardWithin(record.ID, now, heardMemory) {
			down[record.ID] = true
		}
	}
	return down
}

func (p *paths) heardWithin(id string, now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.heard[id]
	return ok && now.Sub(at) < limit
}

// setDown replaces the nodes that count as down or that this node cannot reach.
func (s *store) setDown(down map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// forgetSilent drops records of nodes that have been silent or have left for
// forgetAfter, and those that this node lists a little later.
func (s *Service) forgetSilent(now time.Time, records []*fleet.NodeRecord, silent map[string]bool, listed []string) {
	for _, record := range records {
		if record.ID == s.id || !record.Left && !silent[record.ID] {
			delete(s.silentSince, record.ID)
			continue
		}
		limit := s.forgetAfter
		if slices.Contains(listed, record.ID) {
			limit += listerMargin
		}
		since, ok := s.silentSince[record.ID]
		switch {
		case !ok:
			s.silentSince[record.ID] = now
		case now.Sub(since) >= limit:
			delete(s.silentSince, record.ID)
			s.store.forget(record.ID, now)
		}
	}
}

func (s *Service) logChanges(previous, next map[string]bool) {
	for id := range next {
		if !previous[id] {
			s.log.Info("node counts as down", zap.String("node", id))
		}
	}
	for id := range previous {
		if !next[id] {
			s.log.Info("node no longer counts as down", zap.String("node", id))
		}
	}
}
