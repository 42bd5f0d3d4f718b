package gossip

import (
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// tombstoneLifetime is how long the address of a forgotten node is called. It
// outlasts a region split of an hour with a wide margin.
const tombstoneLifetime = 24 * time.Hour

// partners returns the nodes that this node exchanges with.
func (s *Service) partners() []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	_, usable := s.store.ring.targets(s.id, s.isAvoided)
	long := s.store.ring.long(s.id, func(id string) bool {
		return s.isAvoided(id) || slices.Contains(usable, id)
	})
	return append(usable, long...)
}

// isAvoided reports whether a node is passed over as a partner. The store is locked.
func (s *Service) isAvoided(id string) bool {
	return s.store.down[id] || s.paths.failing(id)
}

// position64 returns the position of the newest change.
func (s *store) position64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// heads returns the heads of the given records.
func (s *store) heads(ids []string) []head {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []head
	for _, id := range ids {
		if known, ok := s.items[id]; ok && len(heads) < maxHeadsPerMessage {
			heads = append(heads, s.headOf(known))
		}
	}
	return heads
}

// outsiders returns the addresses of unreachable and forgotten nodes and of
// the seeds at which no reachable node is known.
func (s *store) outsiders(seeds []string, selfAddr string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := map[string]bool{selfAddr: true}
	var addrs []string
	for id, known := range s.items {
		switch {
		case known.record.Left:
		case s.down[id]:
			addrs = append(addrs, known.record.ControlAddr)
		default:
			reachable[known.record.ControlAddr] = true
		}
	}
	for _, forgotten := range s.tombstones {
		addrs = append(addrs, forgotten.addr)
	}
	addrs = append(addrs, seeds...)
	addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == "" || reachable[addr] })
	slices.Sort(addrs)
	return slices.Compact(addrs)
}

// expireTombstones drops the addresses of nodes that were forgotten long ago.
func (s *store) expireTombstones(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, forgotten := range s.tombstones {
		if now.Sub(forgotten.at) > tombstoneLifetime {
			delete(s.tombstones, id)
		}
	}
}

// Changes is what the control goroutine has to take over.
type Changes struct {
	// Records are newer copies of other nodes' records, and a copy of this
	// node's own record if one newer than the published one was heard of.
	Records []*fleet.NodeRecord
	// Forgotten are nodes whose record was dropped.
	Forgotten []string
}

// take returns the changes since the last call.
func (s *store) take() Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := Changes{Forgotten: s.forgotten}
	for _, record := range s.fresh {
		changes.Records = append(changes.Records, record)
	}
	if s.heardSelf != nil {
		changes.Records = append(changes.Records, s.heardSelf)
	}
	s.fresh, s.forgotten = map[string]*fleet.NodeRecord{}, nil
	return changes
}
