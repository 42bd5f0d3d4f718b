// Package host is the host role of a node: it takes the announcements of the
// backend servers beside it, admits requests to them, dispatches each
// non-idempotent request at most once, and reports what it saw to detection.
//
// The host alone talks to its attached servers, so it knows how many requests
// run there and how each one ended. It refuses new work for a server that is
// leaving, withdrawn or ejected on its own, so these promises do not depend on
// how fast the news reaches other nodes.
package host
