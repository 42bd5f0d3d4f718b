// Package atmostonce prevents non-idempotent requests from running twice.
//
// Each host node has a Ledger that records every non-idempotent request by an ID. A request is
// pending while it waits for a slot, dispatched once it may have reached the backend server, done
// once its response is stored, or fenced. The host fences a request that it will not run, for
// example because its deadline passed while it waited, and the entry node has it fenced there when
// the reply was lost. A fenced request is never dispatched afterwards, so it can safely be retried
// elsewhere.
//
// A Key is bound to the one host incarnation and server incarnation at which the request may run.
// A Signer protects it with a MAC, so any node can issue and route a key without a call to the
// platform.
//
// The ledger is kept in memory only, so it is lost when the host gets a new incarnation. The
// outcome of requests of the old incarnation is then reported as unknown.
package atmostonce
