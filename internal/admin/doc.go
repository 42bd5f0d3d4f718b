// Package admin serves the administration API: intents and their steps, and the
// state of the fleet as the node sees it. Every call needs a bearer token;
// package intent checks the roles of identities. Fleet state is read from the
// node's own view, which also works while the platform is down.
package admin
