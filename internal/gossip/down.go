package gossip

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// requiredReporters is how many nodes must report a node as unreachable before it
	// counts as down. With one, an observer that lost its own network path would take
	// healthy nodes out of service.
	requiredReporters = 2
	// recentContactWindow is how long direct contact with a node overrides the reports
	// of others. It is longer than the interval between two probes.
	recentContactWindow = 2500 * time.Millisecond
	// evaluationInterval is the time between two evaluations. They are repeated even
	// without new records, because the result depends on time through
	// recentContactWindow and forgetAfter.
	evaluationInterval = 250 * time.Millisecond
	// reporterForgetDelay is how much longer a node that reports another as unreachable
	// keeps its record than nodes that do not report it. A reporter that forgets the
	// record also drops its report; nodes that still have the record would then consider
	// the unreachable node up and bring the record back.
	reporterForgetDelay = 30 * time.Second
)

// Reachability is this node's assessment of which other nodes can be reached.
type Reachability struct {
	// Down holds the nodes that count as down, by the rule in the package comment.
	Down map[string]bool
	// PathDown holds the nodes that this node cannot reach directly.
	PathDown map[string]bool
	// Unreachable lists the nodes that this node can reach neither directly nor
	// indirectly, in ascending order, at most MaxUnreachable.
	Unreachable []string
}

// Update holds everything that changed since the previous call of Collect.
type Update struct {
	Changes
	// Reachability is nil if it has not been evaluated since the previous call.
	Reachability *Reachability
}

// Collect returns what changed since the last call. It must be called from a single
// goroutine.
func (s *Service) Collect(now time.Time) Update {
	update := Update{}
	if now.Sub(s.lastEvaluation) >= evaluationInterval {
		s.lastEvaluation = now
		reachability := s.evaluate(now)
		update.Reachability = &reachability
	}
	update.Changes = s.store.takeChanges()
	return update
}

// evaluate applies the reachability rule in doc.go and forgets nodes that were down, or
// had left, for long enough.
func (s *Service) evaluate(now time.Time) Reachability {
	s.store.mu.Lock()
	records := make([]*fleet.NodeRecord, 0, len(s.store.entries))
	for _, known := range s.store.entries {
		records = append(records, known.record)
	}
	// previous also holds the nodes that only this node cannot reach; see setDown.
	previous := s.store.down
	s.store.mu.Unlock()

	reachability := s.paths.reachability(records, s.id)
	reachability.Down = s.downNodes(now, records, previous, reachability.Unreachable)
	unreachable := maps.Clone(reachability.Down)
	for _, id := range reachability.Unreachable {
		unreachable[id] = true
	}
	s.store.setDown(unreachable)
	s.forgetInactive(now, records, unreachable, reachability.Unreachable)
	s.logDownChanges(s.loggedDown, reachability.Down)
	s.loggedDown = reachability.Down
	return reachability
}

// reachability returns the state of the paths, and removes the paths to nodes that have
// left or were forgotten.
func (p *paths) reachability(records []*fleet.NodeRecord, self string) Reachability {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachability := Reachability{PathDown: map[string]bool{}}
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
			reachability.PathDown[id] = true
		}
		if known.unreachable {
			reachability.Unreachable = append(reachability.Unreachable, id)
		}
	}
	for id := range p.lastContact {
		if !kept[id] {
			delete(p.lastContact, id)
		}
	}
	slices.Sort(reachability.Unreachable)
	reachability.Unreachable = reachability.Unreachable[:min(len(reachability.Unreachable), MaxUnreachable)]
	return reachability
}

// downNodes returns the nodes that enough credible reporters list as unreachable.
func (s *Service) downNodes(now time.Time, records []*fleet.NodeRecord, previous map[string]bool, ownReports []string) map[string]bool {
	reportCounts := map[string]int{}
	credibleReporters := 0
	for _, record := range records {
		reported := record.Unreachable
		switch {
		case record.ID == s.id:
			reported = ownReports
		case record.Left || previous[record.ID] || slices.Contains(ownReports, record.ID):
			// The reports of a node that cannot be reached may be out of date.
			continue
		}
		credibleReporters++
		for _, id := range reported {
			reportCounts[id]++
		}
	}
	down := map[string]bool{}
	for _, record := range records {
		if record.ID == s.id || record.Left {
			continue
		}
		// If fewer than requiredReporters nodes can report this one, reports from all of
		// them are enough. credibleReporters counts the node itself unless it was down or
		// this node reports it; it cannot report itself, so available leaves it out.
		needed := requiredReporters
		if available := credibleReporters - 1; !previous[record.ID] && !slices.Contains(ownReports, record.ID) {
			needed = min(needed, max(available, 1))
		} else {
			needed = min(needed, credibleReporters)
		}
		if reportCounts[record.ID] >= needed && !s.paths.contactWithin(record.ID, now, recentContactWindow) {
			down[record.ID] = true
		}
	}
	return down
}

func (p *paths) contactWithin(id string, now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastContact[id]
	return ok && now.Sub(at) < limit
}

// setDown replaces store.down. It holds the nodes that count as down and those that this
// node itself reports as unreachable, even if too few others report them.
func (s *store) setDown(down map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// forgetInactive forgets nodes that have been unreachable, or have left, for
// forgetAfter. Nodes that this node itself reports as unreachable are kept for
// reporterForgetDelay longer.
func (s *Service) forgetInactive(now time.Time, records []*fleet.NodeRecord, unreachable map[string]bool, ownReports []string) {
	for _, record := range records {
		if record.ID == s.id || !record.Left && !unreachable[record.ID] {
			delete(s.inactiveSince, record.ID)
			continue
		}
		limit := s.forgetAfter
		if slices.Contains(ownReports, record.ID) {
			limit += reporterForgetDelay
		}
		since, ok := s.inactiveSince[record.ID]
		switch {
		case !ok:
			s.inactiveSince[record.ID] = now
		case now.Sub(since) >= limit:
			delete(s.inactiveSince, record.ID)
			s.store.forget(record.ID, now)
		}
	}
}

func (s *Service) logDownChanges(previous, next map[string]bool) {
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
