// Package entry is the entry role of a node: it takes callers' requests for
// any service, chooses a backend server, sends the request to its host node,
// and gives the caller the whole answer to its own request, or a refusal with
// a numbered code and a true outcome.
//
// An idempotent request is tried again at another server within the retry
// budget. A non-idempotent request is tried again only after a promise of the
// host that the last attempt did not run and never will. A keyed request goes
// to the one host incarnation that its key is bound to.
package entry
