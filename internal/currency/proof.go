package currency

import (
	"cmp"
	"slices"
	"time"
)

// Proof states that at some moment not before At, no version newer than Version existed.
type Proof struct {
	Version uint64
	// At is a reading of the clock of the node that holds the proof.
	At time.Duration
}

// maxProofs bounds the versions whose proofs are kept. Some versions may follow each other before a
// node has received the first of them.
const maxProofs = 8

// Proofs holds the latest proof of each of the newest versions, in their order, because a node may hear of
// newer versions before it has them, and a request may still refer to the version before. The zero
// value holds none.
type Proofs struct {
	byVersion []Proof
}

// Add returns the proofs with one more.
func (p Proofs) Add(proof Proof) Proofs {
	i, known := slices.BinarySearchFunc(p.byVersion, proof.Version, func(p Proof, version uint64) int { return cmp.Compare(p.Version, version) })
	result := slices.Clone(p.byVersion)
	if known {
		result[i].At = max(result[i].At, proof.At)
	} else {
		result = slices.Insert(result, i, proof)
	}
	return Proofs{byVersion: result[max(len(result)-maxProofs, 0):]}
}

// Newest returns the best proof of the newest version; false if there is none.
func (p Proofs) Newest() (Proof, bool) {
	if len(p.byVersion) == 0 {
		return Proof{}, false
	}
	version := p.byVersion[len(p.byVersion)-1].Version
	at, _ := p.provedAt(version)
	return Proof{Version: version, At: at}, true
}

// Age returns how long ago the version was proved to be the newest; false if it never was.
func (p Proofs) Age(version uint64, now time.Duration) (time.Duration, bool) {
	at, proved := p.provedAt(version)
	return now - at, proved
}

// provedAt returns the latest time of the proofs of a version. A proof of an older version proves
// each newer one as well.
func (p Proofs) provedAt(version uint64) (at time.Duration, proved bool) {
	for _, proof := range p.byVersion {
		if proof.Version > version {
			break
		}
		if !proved || proof.At > at {
			at, proved = proof.At, true
		}
	}
	return at, proved
}

// Policy derives the times of a node from the time within which a change must bind it.
type Policy struct {
	// Within is the longest time after the acknowledgement of a change for which a node may rely on
	// the version before it.
	Within time.Duration
}

// Parts of Policy.Within.
const (
	// maxAgeShare leaves a margin for clocks of different speed and for a store that answers from a
	// slightly older copy.
	maxAgeShare = 0.75
	// askShare leaves a quarter of the time for asking several nodes before a proof is too old.
	askShare = 0.5
	// watchShare is the period of a watcher's questions to the store. The proof of another node is
	// up to two periods old when a node asks for it, which must stay below askShare.
	watchShare = 0.2
)

// MaxAge is the age of a proof up to which a node relies on it.
func (p Policy) MaxAge() time.Duration { return p.share(maxAgeShare) }

// AskAge is the age of a proof from which a node asks for a newer one.
func (p Policy) AskAge() time.Duration { return p.share(askShare) }

// WatchPeriod is the time between two questions of a watcher to the store.
func (p Policy) WatchPeriod() time.Duration { return p.share(watchShare) }

func (p Policy) share(of float64) time.Duration { return time.Duration(of * float64(p.Within)) }

// Holds reports whether a node may rely on the version.
func (p Policy) Holds(proofs Proofs, version uint64, now time.Duration) bool {
	age, proved := proofs.Age(version, now)
	return proved && age <= p.MaxAge()
}
