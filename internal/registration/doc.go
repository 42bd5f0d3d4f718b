// Package registration holds what the backend server beside a node reports about
// itself, and decides which of the server's incarnations is the current one and
// whether it may get requests. Time is an input; the package does no I/O.
//
// # Order of reports
//
// Reports can be late: a report delayed by the network may arrive after a newer
// one, or after its sender has crashed and another incarnation has taken the
// address. An incarnation is an ID and a start time. One that started earlier than
// the current incarnation is dead, and so is one that was replaced. Within an
// incarnation, reports are ordered by their sequence number.
//
// # Departures
//
// A departure is final for its incarnation: no later report cancels it. The
// departures that earlier processes of the node recorded are given to
// RestoreDeparture.
package registration
