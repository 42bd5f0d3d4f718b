// Package admin serves the administration API: intents and their steps, and
// what a node knows of the fleet. Every call needs a bearer token; the roles of
// identities are checked by package intent. Reads of the fleet come from the
// node's own view and work while the platform is down.
package admin
