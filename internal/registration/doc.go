// Package registration holds what the backend server beside a node reports about
// itself, and decides which of the server's incarnations is the current one and
// whether it may get requests. Time is an input; the package does no I/O.
//
// # Order of reports
//
// Reports can be late: a report delayed by the network may arrive after a newer
// one, or after its sender has crashed and another incarnation has taken the
// address. An incarnation is an ID and a start time. A new one that started later
// than the current incarnation replaces it at once. Start times alone cannot tell
// that an incarnation is dead, since they come from a clock that may have stepped: one
// that started earlier, or was replaced before, takes the place of the current one
// with its second report in a row while the current one sends none. Within an
// incarnation, reports are ordered by their sequence number.
//
// # Departures
//
// A departure is final for its incarnation: no later report cancels it. Requests
// name a server by its ID only, so the departure of another incarnation of the
// current ID keeps requests away until the current one reports again. The
// departures that earlier processes of the node recorded are given to
// RestoreDeparture.
package registration
