package gossip

import (
	"cmp"
	"slices"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// ringTargets is the number of reachable successors on the ring that a node
	// watches, so each node is watched by as many others.
	ringTargets = 3
	// longTargets is the number of further links. They are chosen by hash and
	// give the overlay a diameter of about log4(n) hops.
	longTargets = 2
)

// ring orders nodes by the hash of their ID.
type ring struct {
	places []place
}

type place struct {
	hash uint64
	id   string
}

func comparePlaces(a, b place) int {
	if order := cmp.Compare(a.hash, b.hash); order != 0 {
		return order
	}
	return cmp.Compare(a.id, b.id)
}

// update adds or removes a node.
func (r *ring) update(id string, present bool) {
	p := place{hash: mix(hashString(id)), id: id}
	i, found := slices.BinarySearchFunc(r.places, p, comparePlaces)
	switch {
	case present && !found:
		r.places = slices.Insert(r.places, i, p)
	case !present && found:
		r.places = slices.Delete(r.places, i, i+1)
	}
}

// targets returns the nodes that self watches: its successors on the ring up
// to the third that is not avoided. Avoided nodes in between are watched too,
// so that a run of failed neighbours leaves nobody unwatched.
func (r *ring) targets(self string, avoid func(string) bool) (watched, usable []string) {
	start, _ := slices.BinarySearchFunc(r.places, place{hash: mix(hashString(self)), id: self}, comparePlaces)
	for step := 0; step < len(r.places) && len(usable) < ringTargets; step++ {
		id := r.places[(start+step)%len(r.places)].id
		if id == self {
			continue
		}
		watched = append(watched, id)
		if !avoid(id) {
			usable = append(usable, id)
		}
	}
	return watched, usable
}

// long returns the further links of self, which are the nodes whose hash
// together with self's is lowest.
func (r *ring) long(self string, skip func(string) bool) []string {
	own := hashString(self)
	var best [longTargets]place
	count := 0
	for _, p := range r.places {
		if p.id == self || skip(p.id) {
			continue
		}
		candidate := place{hash: mix(own ^ p.hash), id: p.id}
		count = insertLowest(best[:], count, candidate)
	}
	ids := make([]string, 0, count)
	for _, p := range best[:count] {
		ids = append(ids, p.id)
	}
	return ids
}

func insertLowest(best []place, count int, candidate place) int {
	i, _ := slices.BinarySearchFunc(best[:count], candidate, comparePlaces)
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

// hashString is FNV-1a. The hashes spread load and find differences; they
// guard against accidents, not against a peer that knows the secret.
func hashString(text string) uint64 {
	hash := uint64(14695981039346656037)
	for i := 0; i < len(text); i++ {
		hash = (hash ^ uint64(text[i])) * 1099511628211
	}
	return hash
}

// mix is the finalizer of SplitMix64; it spreads every input bit.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func recordHash(id string, version fleet.Version) uint64 {
	return mix(mix(hashString(id)^version.Incarnation) + version.Sequence)
}

func bucketOf(id string) int {
	return int(mix(hashString(id)) % bucketCount)
}
