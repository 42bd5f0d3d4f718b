// Package gate decides, at the node beside a backend server, which requests the
// server gets: by the health that its last results show, by its free slots and
// by what the waiting requests can still reach. Time is an input; the package
// does no I/O.
//
// # Health
//
// Servers fail most of their requests for a few seconds while their health
// checks pass, and one server sees only a few requests a second. Doubt keeps the
// probability of such a spell in a two-state hidden Markov model: spells begin
// and end at rates that are learned while the server runs, and each result is
// weighed by its likelihood in and out of a spell. Between results the
// probability drifts to the share of time that spells take.
//
// A non-idempotent request runs only while the probability is below
// RunOnceDoubt. Above it, one idempotent request at a time tries the server,
// because it can be sent to another one when it fails. A refusal reaches no
// server, so it costs neither an attempt nor the retry budget.
//
// A server also fails a request when a call that it made for it failed elsewhere.
// Calls leave through the node beside the server, so a failure right after a
// failed call is no evidence.
//
// # Retry budget
//
// A service takes at most a share of its requests, and an allowance, as repeats
// in any window. Its servers share the allowance out and count requests and
// repeats where they arrive, which needs no messages: a service has few servers,
// so that each part is large enough to use, and entries send repeats to servers
// that have some left. The calls of a run that is itself a repeat count by the
// share of repeats among the running requests of the server that made them.
//
// # Slots
//
// A request runs if a slot is free. Otherwise it may wait, in the order of
// priority and then of the latency objective, if its expected wait does not
// exceed its patience. Every refusal means that the request has not run and
// will not run here.
package gate
