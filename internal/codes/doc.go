// Package codes defines the numbered result codes of the system and the
// outcome that each one guarantees. docs/codes.md lists them and is generated
// from this package; a test fails when the page is out of date.
//
// Ranges: 1000-1999 requests that were not run, 2000-2999 requests whose
// outcome is unknown or whose answer was lost, 3000-3999 idempotency keys,
// 4000-4999 administration, 5000-5999 settings and command line,
// 6000-6999 platform and peers.
package codes

//go:generate go run ../docgen -page codes -out ../../docs/codes.md
