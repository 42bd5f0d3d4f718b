// Package currency decides how a node keeps its copy of the store's tables up to date, and for how
// long it may rely on it. Time is an input; the package does no I/O.
//
// # Proofs
//
// A Proof states that at some moment not before its time, no version newer than its own existed.
// Its time is that of the question, read before the question was sent, so an answer that was
// delayed makes a proof older and never younger. Times are readings of a clock of the node that
// counts suspension; readings of different nodes are never compared. A node without its own
// connection to the store relies on the proof of another one: its time is that of the question less
// the age that the other node reports.
//
// A node that accepts a version only while Policy.MaxAge has not passed since a proof of it stops
// accepting it within that time of the acknowledgement of a newer one.
//
// A store that is restored from a copy lacks versions that it has acknowledged, and gives out their numbers again.
// A Revision tells its eras apart, and a Witness makes no proofs in a new era until SettleTime has passed and the store
// holds what the node has.
//
// # Spacing of watches
//
// A watch whose answer is lost hangs until its timeout, so only a watch that starts later finds a
// change. Watchers.NextRead places the starts of several watchers evenly: each one aims at the
// middle of the largest gap between the others, and watchers that start at the same moment take
// places by rank. Watchers that disagree about each other for a while converge again within about
// one period, because each start is placed anew.
//
// # Limits
//
// The bound on the gap between two starts needs at least minSpaced watchers that hear each other.
// A Witness assumes that those who wrote what a copy lacks write it again within SettleTime of the return
// of the store. Proofs assume clocks that run at the same speed within the margin of Policy.MaxAge.
package currency
