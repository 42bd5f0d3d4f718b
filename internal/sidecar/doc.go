// Package sidecar is the process of a node on a platform that gives each
// backend server one node beside it. Callers and the server send their requests
// to the node of their own instance (entry role); the entry sends each request
// to a node beside a server of the service (host role), which alone reaches its
// server.
//
// The names and formats of a platform stay outside: the adapter gives the
// process its Settings, a Feed and Store, the Headers, and calls its
// Registrations.
//
// # Control and traffic
//
// One goroutine owns the control state, the Board: the configuration, the other
// nodes, and the registration of the own server. It publishes an immutable View,
// which the goroutines of requests read.
//
// # News from the store
//
// A few nodes of each data centre, the followers, watch the tables of the store.
// Beacons say who follows and which versions a node has, so that the next node
// steps in for a lost follower without a message, and the others ask a neighbour
// for what they lack. Changes of members merge by the versions of the store, by
// whichever way they come. A node that hears of no follower watches by itself, and
// each node reads the tables now and then.
package sidecar
