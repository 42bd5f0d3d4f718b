package currency

import "time"

// Proof states that at some moment not before At, no version newer than Version existed.
type Proof struct {
	Version uint64
	// At is a reading of the clock of the node that holds the proof.
	At time.Duration
}

// Proofs holds the best proofs of the newest version and of the one before it, for requests that
// still refer to that one. The zero value holds none.
type Proofs struct {
	newest, previous *Proof
}

// Add returns the proofs with one more.
func (p Proofs) Add(proof Proof) Proofs {
	switch {
	case p.newest == nil:
		return Proofs{newest: &proof}
	case proof.Version > p.newest.Version:
		return Proofs{newest: &proof, previous: p.newest}
	}
	// A proof of an older version proves each newer one as well.
	result := Proofs{newest: later(p.newest, proof.At), previous: p.previous}
	if p.previous != nil && proof.Version <= p.previous.Version {
		result.previous = later(p.previous, proof.At)
	}
	return result
}

func later(p *Proof, at time.Duration) *Proof {
	if at <= p.At {
		return p
	}
	return &Proof{Version: p.Version, At: at}
}

// Newest returns the best proof of the newest version; false if there is none.
func (p Proofs) Newest() (Proof, bool) {
	if p.newest == nil {
		return Proof{}, false
	}
	return *p.newest, true
}

// Age returns how long ago the version was proved to be the newest; false if it never was.
func (p Proofs) Age(version uint64, now time.Duration) (time.Duration, bool) {
	for _, proof := range []*Proof{p.newest, p.previous} {
		if proof != nil && proof.Version <= version {
			return now - proof.At, true
		}
	}
	return 0, false
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
