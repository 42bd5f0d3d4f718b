// Package host implements the host role of a node. It accepts the announcements of
// the backend servers attached to it, admits requests to them, dispatches each
// non-idempotent request at most once, and reports the results to failure
// detection.
//
// Only the host sends requests to its attached servers, so it knows how many
// requests each one is running and how each request ended. It decides by itself to
// reject new requests for a server that is leaving, withdrawn or ejected, so these
// guarantees do not depend on how fast the state reaches other nodes.
package host
