// Package api defines the types, paths and header names of the public interfaces
// for callers, backend servers and operators. Everything in it is part of the
// published contract, which docs/callers.md, docs/backend-servers.md and
// docs/operators.md describe.
package api
