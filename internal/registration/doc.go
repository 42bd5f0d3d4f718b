// Package registration keeps what the backend server beside a node says of
// itself, and decides which of its incarnations is the current one and whether
// it may take work. Time is an input; the package does no I/O.
//
// # Order of reports
//
// Reports can be late: one that was held up in the network may arrive after a
// newer one, or after its sender has crashed and another incarnation has taken
// the address. An incarnation is an ID and a start time. One that started
// earlier than the current incarnation is dead, and so is one that was
// replaced. Within an incarnation, reports are ordered by their sequence.
//
// # Leaving
//
// A leave is final for its incarnation: no later report takes it back. The
// leaves of earlier processes of the node are given to Restore.
package registration
