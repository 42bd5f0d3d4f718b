package gossip

import (
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// tombstoneLifetime is how long the address of a forgotten node is kept and called. It
// exceeds a network partition of an hour between regions by a wide margin.
const tombstoneLifetime = 24 * time.Hour

// partners returns the nodes with which this node initiates exchanges.
func (s *Service) partners() []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	_, successors := s.store.ring.successors(s.id, s.isUnavailable)
	longLinks := s.store.ring.longLinks(s.id, func(id string) bool {
		return s.isUnavailable(id) || slices.Contains(successors, id)
	})
	return append(successors, longLinks...)
}

// isUnavailable reports whether a node counts as down, or failed its last direct probe,
// and is therefore skipped as a partner. The caller holds the lock of the store.
func (s *Service) isUnavailable(id string) bool {
	return s.store.down[id] || s.paths.failing(id)
}

// lastPosition returns the position of the newest entry in the change log.
func (s *store) lastPosition() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position
}

// headers returns the headers of the given records.
func (s *store) headers(ids []string) []recordHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	var headers []recordHeader
	for _, id := range ids {
		if known, ok := s.entries[id]; ok && len(headers) < maxHeadersPerMessage {
			headers = append(headers, s.headerOf(known))
		}
	}
	return headers
}

// reconnectAddrs returns the addresses of unreachable nodes, forgotten nodes, and the
// seeds that are not the address of a reachable node.
func (s *store) reconnectAddrs(seeds []string, selfAddr string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := map[string]bool{selfAddr: true}
	var addrs []string
	for id, known := range s.entries {
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

// expireTombstones removes tombstones older than tombstoneLifetime.
func (s *store) expireTombstones(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, forgotten := range s.tombstones {
		if now.Sub(forgotten.forgottenAt) > tombstoneLifetime {
			delete(s.tombstones, id)
		}
	}
}

// Changes holds the record changes that the controller has not applied yet.
type Changes struct {
	// Records holds newer copies of other nodes' records. It also holds a copy of this
	// node's own record if a peer has one that is newer than the published one.
	Records []*fleet.NodeRecord
	// Forgotten lists the nodes whose record was removed.
	Forgotten []string
}

// takeChanges returns the changes since the last call.
func (s *store) takeChanges() Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := Changes{Forgotten: s.pendingForgotten}
	for _, record := range s.pendingRecords {
		changes.Records = append(changes.Records, record)
	}
	if s.newerSelf != nil {
		changes.Records = append(changes.Records, s.newerSelf)
	}
	s.pendingRecords, s.pendingForgotten = map[string]*fleet.NodeRecord{}, nil
	return changes
}
