package gossip

import (
	"cmp"
	"slices"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// successorCount is the number of reachable successors on the ring that a node
	// monitors. Each node is monitored by the same number of other nodes.
	successorCount = 3
	// longLinkCount is the number of further links. They are chosen by hash and give the
	// overlay a diameter of about log4(n) hops.
	longLinkCount = 2
)

// ring orders nodes by the hash of their ID.
type ring struct {
	positions []ringPosition
}

type ringPosition struct {
	hash uint64
	id   string
}

func comparePositions(a, b ringPosition) int {
	if order := cmp.Compare(a.hash, b.hash); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// update adds or removes a node.
func (r *ring) update(id string, present bool) {
	p := ringPosition{hash: mixBits(hashString(id)), id: id}
	i, found := slices.BinarySearchFunc(r.positions, p, comparePositions)
	switch {
	case present && !found:
		r.positions = slices.Insert(r.positions, i, p)
	case !present && found:
		r.positions = slices.Delete(r.positions, i, i+1)
	}
}

// successors returns the successors of self on the ring, up to and including the third
// that is available. The monitored list also holds the unavailable nodes in between, so
// that every node is monitored even if several consecutive nodes have failed.
func (r *ring) successors(self string, unavailable func(string) bool) (monitored, available []string) {
	start, _ := slices.BinarySearchFunc(r.positions, ringPosition{hash: mixBits(hashString(self)), id: self}, comparePositions)
	for step := 0; step < len(r.positions) && len(available) < successorCount; step++ {
		id := r.positions[(start+step)%len(r.positions)].id
		if id == self {
			continue
		}
		monitored = append(monitored, id)
		if !unavailable(id) {
			available = append(available, id)
		}
	}
	return monitored, available
}

// longLinks returns the long links of self: the nodes for which the combined hash of the
// node and self is lowest.
func (r *ring) longLinks(self string, skip func(string) bool) []string {
	own := hashString(self)
	var best [longLinkCount]ringPosition
	count := 0
	for _, p := range r.positions {
		if p.id == self || skip(p.id) {
			continue
		}
		candidate := ringPosition{hash: mixBits(own ^ p.hash), id: p.id}
		count = insertLowest(best[:], count, candidate)
	}
	ids := make([]string, 0, count)
	for _, p := range best[:count] {
		ids = append(ids, p.id)
	}
	return ids
}

func insertLowest(best []ringPosition, count int, candidate ringPosition) int {
	i, _ := slices.BinarySearchFunc(best[:count], candidate, comparePositions)
	if i == len(best) {
		return count
	}
	if count < len(best) {
		count++
	}
	copy(best[i+1:count], best[i:count-1])
	best[i] = candidate
	return count
}

// hashString returns the 64-bit FNV-1a hash. The hashes distribute load and detect
// differences. They are not collision-resistant against a peer that knows the secret.
func hashString(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

// mixBits is the finalizer of SplitMix64, in which each input bit affects all output bits.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func recordHash(id string, version fleet.Version) uint64 {
	return mixBits(mixBits(hashString(id)^version.Incarnation) + version.Sequence)
}

func bucketOf(id string) int {
	return int(mixBits(hashString(id)) % bucketCount)
}
