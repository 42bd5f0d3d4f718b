// Package atmostonce keeps non-idempotent requests from running twice.
//
// A Ledger, one in each host node, records every non-idempotent request by an
// ID: pending while it waits for a slot, dispatched once it may have reached
// the backend server, done with the kept answer, or fenced. A fenced request
// is never dispatched afterwards, so another try elsewhere is safe.
//
// A bound Key names the one host incarnation and server incarnation at which
// the request may run; a Signer protects it with a MAC, so that any node can
// issue and route a key without a call to the platform.
//
// The ledger lives in memory. With a new incarnation of the host it is gone;
// requests of the old incarnation are then answered with the outcome unknown.
package atmostonce
