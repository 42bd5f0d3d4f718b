package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// bucketCount is the number of buckets into which records are hashed for
	// anti-entropy. At 500 nodes a bucket holds 8 records; 64 hashes take 1.3 KB.
	bucketCount = 64
	// maxChangeLogEntries bounds the change log.
	maxChangeLogEntries = 4_096
	// bodyRequestInterval is the minimum time between two requests for the same
	// body, so that it is not requested from several peers at once.
	bodyRequestInterval = 2 * time.Second
)

// storeEntry is the newest known copy of one record.
type storeEntry struct {
	record *fleet.NodeRecord
	base   uint64
	hash   uint64
	// from is the peer that sent the copy.
	from string
}

// tombstone keeps the version and address of a forgotten record.
type tombstone struct {
	version     fleet.Version
	addr        string
	forgottenAt time.Time
}

// changeLogEntry is one entry of the change log, which orders changes by when
// this node learned of them.
type changeLogEntry struct {
	position uint64
	id       string
}

// store holds the newest known copy of every record. It is safe for concurrent
// use, and no method blocks on I/O.
type store struct {
	mu         sync.Mutex
	selfID     string
	entries    map[string]storeEntry
	tombstones map[string]tombstone
	// down holds the nodes that count as down or that this node cannot reach.
	down map[string]bool
	// bodyRequested is when the body of a record was last requested.
	bodyRequested map[string]time.Time
	buckets       [bucketCount]uint64
	hash          uint64
	changeLog     []changeLogEntry
	position      uint64
	lastChange    time.Time
	// pendingRecords and pendingForgotten hold the changes that takeChanges has not
	// returned yet.
	pendingRecords   map[string]*fleet.NodeRecord
	pendingForgotten []string
	// newerSelf is a copy of this node's own record that is newer than the published
	// one. It was written by an earlier process with the same node ID.
	newerSelf *fleet.NodeRecord
	ring      ring
	// floodSignal holds at most one signal for the flood loop.
	floodSignal chan struct{}
}

func newStore(selfID string) *store {
	return &store{
		selfID:         selfID,
		entries:        map[string]storeEntry{},
		tombstones:     map[string]tombstone{},
		down:           map[string]bool{},
		bodyRequested:  map[string]time.Time{},
		pendingRecords: map[string]*fleet.NodeRecord{},
		floodSignal:    make(chan struct{}, 1),
	}
}

// setSelf publishes this node's own record and reports whether it was newer than
// the known one.
func (s *store) setSelf(record *fleet.NodeRecord, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[record.ID]
	if ok && !record.Version.Newer(known.record.Version) {
		return false
	}
	base := record.Version.Sequence
	if ok && sameBody(known.record, record) {
		base = known.base
	}
	s.put(record, base, "", now)
	if s.newerSelf != nil && record.Version.Newer(s.newerSelf.Version) {
		s.newerSelf = nil
	}
	return true
}

// sameBody reports whether two records of the same node have the same body and
// incarnation.
func sameBody(a, b *fleet.NodeRecord) bool {
	return a.Version.Incarnation == b.Version.Incarnation &&
		a.Region == b.Region && a.DataCentre == b.DataCentre &&
		a.CallerAddr == b.CallerAddr && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && a.AdminAddr == b.AdminAddr &&
		slices.Equal(a.Servers, b.Servers)
}

// put stores a record that is newer than the known copy. The caller holds the lock.
func (s *store) put(record *fleet.NodeRecord, base uint64, from string, now time.Time) {
	if old, ok := s.entries[record.ID]; !ok || s.isUrgent(old, record, base) {
		s.signalFlood()
	}
	s.removeHash(record.ID)
	entry := storeEntry{record: record, base: base, hash: recordHash(record.ID, record.Version), from: from}
	s.entries[record.ID] = entry
	s.hash ^= entry.hash
	s.buckets[bucketOf(record.ID)] ^= entry.hash
	s.position++
	s.changeLog = append(s.changeLog, changeLogEntry{position: s.position, id: record.ID})
	if len(s.changeLog) > maxChangeLogEntries {
		s.changeLog = append([]changeLogEntry(nil), s.changeLog[maxChangeLogEntries/2:]...)
	}
	s.lastChange = now
	delete(s.bodyRequested, record.ID)
	delete(s.tombstones, record.ID)
	s.ring.update(record.ID, !record.Left)
	if record.ID != s.selfID {
		s.pendingRecords[record.ID] = record
	}
}

// isUrgent reports whether a change is forwarded without waiting. If only the
// configuration version of another node changed, the change can wait, because it
// only informs operators. A new configuration version of this node is urgent,
// because peers fetch the configuration when they see it.
func (s *store) isUrgent(old storeEntry, record *fleet.NodeRecord, base uint64) bool {
	return record.ID == s.selfID || old.base != base ||
		old.record.Version.Incarnation != record.Version.Incarnation ||
		old.record.Leaving != record.Leaving || old.record.Left != record.Left ||
		!slices.Equal(old.record.Unreachable, record.Unreachable)
}

// signalFlood triggers a flood unless one is already pending.
func (s *store) signalFlood() {
	select {
	case s.floodSignal <- struct{}{}:
	default:
	}
}

func (s *store) removeHash(id string) {
	if old, ok := s.entries[id]; ok {
		s.hash ^= old.hash
		s.buckets[bucketOf(id)] ^= old.hash
	}
}

// applyHeaders applies the headers whose body is known, and returns the IDs of the
// records whose body must be requested.
func (s *store) applyHeaders(headers []recordHeader, from string, now time.Time) (want []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range headers {
		if !h.valid(now) || !s.accepts(h.ID, h.version(), h.Down || h.Left) {
			continue
		}
		if h.ID == s.selfID {
			s.newerSelf = &fleet.NodeRecord{ID: h.ID, Version: h.version()}
			continue
		}
		known, ok := s.entries[h.ID]
		if ok && known.base == h.Base && known.record.Version.Incarnation == h.Incarnation {
			s.put(withHeader(known.record, h), h.Base, from, now)
			continue
		}
		if now.Sub(s.bodyRequested[h.ID]) < bodyRequestInterval {
			continue
		}
		s.bodyRequested[h.ID] = now
		want = append(want, h.ID)
	}
	return want
}

// accepts reports whether a copy supersedes what is known. The newest copy of a
// record always wins. A forgotten record is restored by a newer version, or by the
// same version from a sender that considers the node to be up. The caller holds
// the lock.
func (s *store) accepts(id string, version fleet.Version, down bool) bool {
	if known, ok := s.entries[id]; ok {
		return version.Newer(known.record.Version)
	}
	if forgotten, ok := s.tombstones[id]; ok {
		return version.Newer(forgotten.version) || version == forgotten.version && !down
	}
	return len(s.entries) < maxNodes
}

// applyRecords applies full records and returns how many were new.
func (s *store) applyRecords(records []fullRecord, from string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, f := range records {
		if f.validate(now) != nil || !s.accepts(f.Record.ID, f.Record.Version, f.Down || f.Record.Left) {
			continue
		}
		if f.Record.ID == s.selfID {
			s.newerSelf = f.Record
			continue
		}
		s.put(f.Record, f.Base, from, now)
		applied++
	}
	return applied
}

// records returns the full records with the given IDs, at most one page.
func (s *store) records(ids []string) []fullRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result []fullRecord
	for _, id := range ids {
		if known, ok := s.entries[id]; ok && len(result) < maxRecordsPerMessage {
			result = append(result, fullRecord{Record: known.record, Base: known.base, Down: s.down[id]})
		}
	}
	return result
}

// changesSince returns the headers of the records that changed after a position in
// the change log, except those that the given peer sent, and the position of the
// newest change.
func (s *store) changesSince(position uint64, peer string) ([]recordHeader, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var headers []recordHeader
	seen := map[string]bool{}
	for i := len(s.changeLog) - 1; i >= 0 && s.changeLog[i].position > position; i-- {
		id := s.changeLog[i].id
		known, ok := s.entries[id]
		if seen[id] || !ok || known.from == peer || id == peer {
			continue
		}
		seen[id] = true
		headers = append(headers, s.headerOf(known))
	}
	return headers, s.position
}

func (s *store) headerOf(known storeEntry) recordHeader {
	r := known.record
	return recordHeader{
		ID: r.ID, Incarnation: r.Version.Incarnation, Sequence: r.Version.Sequence,
		Base: known.base, ConfigVersion: r.ConfigVersion, Unreachable: r.Unreachable,
		Leaving: r.Leaving, Left: r.Left, Down: s.down[r.ID],
	}
}

func (s *store) summary(now time.Time) summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := summary{Hash: s.hash, QuietMS: now.Sub(s.lastChange).Milliseconds()}
	if self, ok := s.entries[s.selfID]; ok {
		result.ConfigVersion = self.record.ConfigVersion
	}
	return result
}

func (s *store) bucketHashes() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.buckets[:]...)
}

// differingBuckets returns the buckets whose hashes differ from the given ones, and
// the headers of the records in them.
func (s *store) differingBuckets(hashes []uint64) ([]int, []recordHeader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var buckets []int
	different := [bucketCount]bool{}
	for i := range s.buckets {
		if i >= len(hashes) || hashes[i] != s.buckets[i] {
			buckets = append(buckets, i)
			different[i] = true
		}
	}
	var headers []recordHeader
	for id, known := range s.entries {
		if different[bucketOf(id)] && len(headers) < maxHeadersPerMessage {
			headers = append(headers, s.headerOf(known))
		}
	}
	return buckets, headers
}

// newerThan returns the IDs of the records in the given buckets that are newer than
// the peer's headers or missing from them.
func (s *store) newerThan(buckets []int, headers []recordHeader) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	covered := [bucketCount]bool{}
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < bucketCount {
			covered[bucket] = true
		}
	}
	peerVersions := make(map[string]fleet.Version, len(headers))
	for _, h := range headers {
		peerVersions[h.ID] = h.version()
	}
	var ids []string
	for id, known := range s.entries {
		version, ok := peerVersions[id]
		if covered[bucketOf(id)] && (!ok || known.record.Version.Newer(version)) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *store) addr(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.entries[id]; ok {
		return known.record.ControlAddr, true
	}
	if forgotten, ok := s.tombstones[id]; ok {
		return forgotten.addr, true
	}
	return "", false
}

// forget removes a record and keeps its version and address as a tombstone.
func (s *store) forget(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.entries[id]
	if !ok || id == s.selfID {
		return
	}
	s.removeHash(id)
	delete(s.entries, id)
	delete(s.pendingRecords, id)
	delete(s.down, id)
	s.ring.update(id, false)
	s.tombstones[id] = tombstone{version: known.record.Version, addr: known.record.ControlAddr, forgottenAt: now}
	s.pendingForgotten = append(s.pendingForgotten, id)
	s.lastChange = now
}
