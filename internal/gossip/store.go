package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// bucketCount divides the digest for reconciliation. At 500 nodes a bucket
	// holds 8 heads; 64 hashes take 1.3 KB.
	bucketCount = 64
	// maxLog bounds the list of recent changes.
	maxLog = 4_096
	// wantPause keeps a body from being asked of several peers at once.
	wantPause = 2 * time.Second
)

// item is the newest known copy of one record.
type item struct {
	record *fleet.NodeRecord
	base   uint64
	hash   uint64
	// from is the peer that the copy came from.
	from string
}

// tombstone remembers a forgotten record.
type tombstone struct {
	version fleet.Version
	addr    string
	at      time.Time
}

// logEntry is one change in the order in which this node learned of it.
type logEntry struct {
	position uint64
	id       string
}

// store holds the newest known copy of every record. It is safe for
// concurrent use; no method blocks.
type store struct {
	mu         sync.Mutex
	selfID     string
	items      map[string]item
	tombstones map[string]tombstone
	// down holds the nodes that count as down or that this node cannot reach.
	down     map[string]bool
	wanted   map[string]time.Time
	buckets  [bucketCount]uint64
	hash     uint64
	log      []logEntry
	position uint64
	changed  time.Time
	// fresh and forgotten are the changes that the controller has not taken.
	fresh     map[string]*fleet.NodeRecord
	forgotten []string
	// heardSelf is a copy of this node's own record, newer than the published
	// one, from an earlier life.
	heardSelf *fleet.NodeRecord
	ring      ring
	// urgent holds at most one signal for the flood loop.
	urgent chan struct{}
}

func newStore(selfID string) *store {
	return &store{
		selfID:     selfID,
		items:      map[string]item{},
		tombstones: map[string]tombstone{},
		down:       map[string]bool{},
		wanted:     map[string]time.Time{},
		fresh:      map[string]*fleet.NodeRecord{},
		urgent:     make(chan struct{}, 1),
	}
}

// setSelf publishes this node's own record.
func (s *store) setSelf(record *fleet.NodeRecord, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.items[record.ID]
	if ok && !record.Version.Newer(known.record.Version) {
		return false
	}
	base := record.Version.Sequence
	if ok && sameBody(known.record, record) {
		base = known.base
	}
	s.put(record, base, "", now)
	if s.heardSelf != nil && record.Version.Newer(s.heardSelf.Version) {
		s.heardSelf = nil
	}
	return true
}

// sameBody reports whether two records of one node differ at most in the
// fields that a head carries.
func sameBody(a, b *fleet.NodeRecord) bool {
	return a.Version.Incarnation == b.Version.Incarnation &&
		a.Region == b.Region && a.DataCentre == b.DataCentre &&
		a.CallerAddr == b.CallerAddr && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && a.AdminAddr == b.AdminAddr &&
		slices.Equal(a.Servers, b.Servers)
}

// put stores a record that is newer than the known copy. The lock is held.
func (s *store) put(record *fleet.NodeRecord, base uint64, from string, now time.Time) {
	if old, ok := s.items[record.ID]; !ok || s.isUrgent(old, record, base) {
		s.wake()
	}
	s.unhash(record.ID)
	entry := item{record: record, base: base, hash: recordHash(record.ID, record.Version), from: from}
	s.items[record.ID] = entry
	s.hash ^= entry.hash
	s.buckets[bucketOf(record.ID)] ^= entry.hash
	s.position++
	s.log = append(s.log, logEntry{position: s.position, id: record.ID})
	if len(s.log) > maxLog {
		s.log = append([]logEntry(nil), s.log[maxLog/2:]...)
	}
	s.changed = now
	delete(s.wanted, record.ID)
	delete(s.tombstones, record.ID)
	s.ring.update(record.ID, !record.Left)
	if record.ID != s.selfID {
		s.fresh[record.ID] = record
	}
}

// isUrgent reports whether a change is passed on at once. A change of another
// node's configuration version alone informs operators only and can wait; this
// node's own is urgent, because peers fetch the change when they see it.
func (s *store) isUrgent(old item, record *fleet.NodeRecord, base uint64) bool {
	return record.ID == s.selfID || old.base != base ||
		old.record.Version.Incarnation != record.Version.Incarnation ||
		old.record.Leaving != record.Leaving || old.record.Left != record.Left ||
		!slices.Equal(old.record.Unreachable, record.Unreachable)
}

// wake starts a flood unless one is already due.
func (s *store) wake() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

func (s *store) unhash(id string) {
	if old, ok := s.items[id]; ok {
		s.hash ^= old.hash
		s.buckets[bucketOf(id)] ^= old.hash
	}
}

// applyHeads takes over changes whose body is known and returns the IDs of
// records whose body must be asked for.
func (s *store) applyHeads(heads []head, from string, now time.Time) (want []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range heads {
		if !h.valid(now) || !s.accepts(h.ID, h.version(), h.Down || h.Left) {
			continue
		}
		if h.ID == s.selfID {
			s.heardSelf = &fleet.NodeRecord{ID: h.ID, Version: h.version()}
			continue
		}
		known, ok := s.items[h.ID]
		if ok && known.base == h.Base && known.record.Version.Incarnation == h.Incarnation {
			s.put(withHead(known.record, h), h.Base, from, now)
			continue
		}
		if now.Sub(s.wanted[h.ID]) < wantPause {
			continue
		}
		s.wanted[h.ID] = now
		want = append(want, h.ID)
	}
	return want
}

// accepts decides whether a copy is newer than what is known. The newest copy
// of a record always wins. A forgotten record comes back with a newer version,
// or from a sender that counts the node as up. The lock is held.
func (s *store) accepts(id string, version fleet.Version, down bool) bool {
	if known, ok := s.items[id]; ok {
		return version.Newer(known.record.Version)
	}
	if forgotten, ok := s.tombstones[id]; ok {
		return version.Newer(forgotten.version) || version == forgotten.version && !down
	}
	return len(s.items) < maxNodes
}

// applyRecords takes over whole records and returns how many were new.
func (s *store) applyRecords(records []full, from string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := 0
	for _, f := range records {
		if f.validate(now) != nil || !s.accepts(f.Record.ID, f.Record.Version, f.Down || f.Record.Left) {
			continue
		}
		if f.Record.ID == s.selfID {
			s.heardSelf = f.Record
			continue
		}
		s.put(f.Record, f.Base, from, now)
		applied++
	}
	return applied
}

// records returns the whole records with the given IDs, at most a page.
func (s *store) records(ids []string) []full {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result []full
	for _, id := range ids {
		if known, ok := s.items[id]; ok && len(result) < maxRecordsPerMessage {
			result = append(result, full{Record: known.record, Base: known.base, Down: s.down[id]})
		}
	}
	return result
}

// changesSince returns the heads of records that changed after a position,
// without those that the given peer sent, and the position reached.
func (s *store) changesSince(position uint64, peer string) ([]head, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var heads []head
	seen := map[string]bool{}
	for i := len(s.log) - 1; i >= 0 && s.log[i].position > position; i-- {
		id := s.log[i].id
		known, ok := s.items[id]
		if seen[id] || !ok || known.from == peer || id == peer {
			continue
		}
		seen[id] = true
		heads = append(heads, s.headOf(known))
	}
	return heads, s.position
}

func (s *store) headOf(known item) head {
	r := known.record
	return head{
		ID: r.ID, Incarnation: r.Version.Incarnation, Sequence: r.Version.Sequence,
		Base: known.base, Config: r.ConfigVersion, Unreachable: r.Unreachable,
		Leaving: r.Leaving, Left: r.Left, Down: s.down[r.ID],
	}
}

func (s *store) summary(now time.Time) summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := summary{Hash: s.hash, QuietMS: now.Sub(s.changed).Milliseconds()}
	if self, ok := s.items[s.selfID]; ok {
		result.Config = self.record.ConfigVersion
	}
	return result
}

func (s *store) bucketHashes() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.buckets[:]...)
}

// differing returns the buckets whose hashes differ from the given ones, and
// the heads in them.
func (s *store) differing(hashes []uint64) ([]int, []head) {
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
	var heads []head
	for id, known := range s.items {
		if different[bucketOf(id)] && len(heads) < maxHeadsPerMessage {
			heads = append(heads, s.headOf(known))
		}
	}
	return buckets, heads
}

// newerThan returns the IDs of records in the given buckets that are newer than
// the peer's heads or missing among them.
func (s *store) newerThan(buckets []int, heads []head) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	covered := [bucketCount]bool{}
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < bucketCount {
			covered[bucket] = true
		}
	}
	theirs := make(map[string]fleet.Version, len(heads))
	for _, h := range heads {
		theirs[h.ID] = h.version()
	}
	var ids []string
	for id, known := range s.items {
		version, has := theirs[id]
		if covered[bucketOf(id)] && (!has || known.record.Version.Newer(version)) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *store) addr(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.items[id]; ok {
		return known.record.ControlAddr, true
	}
	if forgotten, ok := s.tombstones[id]; ok {
		return forgotten.addr, true
	}
	return "", false
}

// forget drops a record but remembers its version and address.
func (s *store) forget(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.items[id]
	if !ok || id == s.selfID {
		return
	}
	s.unhash(id)
	delete(s.items, id)
	delete(s.fresh, id)
	delete(s.down, id)
	s.ring.update(id, false)
	s.tombstones[id] = tombstone{version: known.record.Version, addr: known.record.ControlAddr, at: now}
	s.forgotten = append(s.forgotten, id)
	s.changed = now
}
