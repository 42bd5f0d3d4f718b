// Package entry implements the entry role of a node. It accepts caller requests
// for any service, selects a backend server, forwards the request to the host
// node of that server, and returns either the complete response to that request
// or an error with a numbered code and a correct outcome.
//
// An idempotent request is retried at another server within the retry budget. A
// non-idempotent request is retried only after the host has guaranteed that the
// previous attempt did not run and never will. A request with an idempotency key
// is sent only to the host incarnation that the key is bound to.
package entry
