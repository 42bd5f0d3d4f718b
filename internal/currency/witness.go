package currency

import "time"

// SettleTime is how long a store that may just have been restored from a copy proves nothing. Within it, those
// who wrote to the store what the copy lacks write it again.
const SettleTime = 2 * time.Second

// Witness decides which readings of a store are proofs. A store that was restored from a copy lacks versions that it
// has acknowledged, until their writers repeat them; what it holds by then does not tell which version is the
// newest. A process that has just started can't tell how long ago the store was restored. The zero value has read
// nothing.
type Witness struct {
	seen bool
	era  uint64
	// seenAt is when the era was first seen.
	seenAt time.Duration
	// stored is the newest version read in the era; 0 for none. required is the version that the node
	// had when it first saw the era.
	stored, required uint64
}

// Observe records that the store named an era at a time, when the node had a version in force; 0 for none.
func (w *Witness) Observe(era uint64, now time.Duration, inForce uint64) {
	if w.seen && era == w.era {
		return
	}
	*w = Witness{seen: true, era: era, seenAt: now, required: inForce}
}

// Stored records that the store holds a version, in the era observed last.
func (w *Witness) Stored(version uint64) { w.stored = max(w.stored, version) }

// Unreadable records that the store holds a version that cannot be read, which may be newer than all others.
func (w *Witness) Unreadable() { w.stored = 0 }

// Proof returns what a reading proves whose question was asked at a time; false if nothing. A store that
// names no era is never restored.
func (w *Witness) Proof(asked time.Duration) (Proof, bool) {
	settled := w.era == 0 || asked >= w.seenAt+SettleTime
	return Proof{Version: w.stored, At: asked}, w.seen && settled && w.stored > 0 && w.stored >= w.required
}
