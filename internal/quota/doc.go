// Package quota limits the requests of client accounts over all nodes. Time, as read from a clock
// that counts suspension, is an input; the package does no I/O.
//
// # Algorithm
//
// Up to MaxHomes nodes, the first of the rendezvous order of all members for the account, are its
// homes. Each home owns a fixed, equal part of the rate and the burst, in a Bucket of its own. An
// entry node keeps the credits that it received in a Purse, which tells what home to ask next and
// when refused callers may return. A node that reaches no home admits a few requests on its Part of
// the slack.
//
// # Bounds
//
// A Bucket combines a token bucket, which sets the pace, with the number of credits whose end lies
// within the last window, which bounds what can run in any window whatever is late, lost, returned
// or repeated on the way. Homes share no state, so neither cuts nor restarts raise the sum over
// homes. See docs/design/quotas.md for the proof and the division of the slack.
//
// # Limits
//
// An account loses the part of a home for as long as the home is away. A promise to a refused
// caller reserves no credit. Right after a change of the members, a home that does not know of it
// and its successor may both grant.
package quota
