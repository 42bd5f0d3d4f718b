// Package api holds the types and header names that callers, backend servers
// and operators meet. Everything in it is part of the published contract;
// docs/callers.md, docs/backend-servers.md and docs/operators.md describe it.
package api
