// Package sidecar implements a node on a platform that runs one node beside each backend server.
// Callers and the server send their requests to the node on their own instance (entry role). The
// entry node forwards each request to a node beside a server of the target service (host role);
// only that node sends requests to its server.
//
// Platform-specific names and formats live in an adapter, which provides the Settings, the store
// (Source) and the Headers, and passes the reports of the backend server to Node.
//
// # Control and traffic
//
// A single goroutine, run by ControlLoop, owns the control state: the configuration, the list of
// members, and the registration of the local server. It publishes immutable Views, which request
// goroutines read without locking.
//
// # Configuration and membership updates
//
// A few nodes of each data centre, the watchers, watch the tables of the store. Beacons announce
// which nodes watch and which versions a node has. When a watcher is lost, the next node takes
// over without any further message exchange, and the other nodes fetch missing updates from a
// peer. Membership changes are merged by store revision, whatever path they arrive by. A node that
// hears of no watcher watches the store itself, and every node polls the tables from time to time.
// After the store has come back from an older copy, nodes read the tables whole, keep the members
// that the copy lacks, and write again what they had written.
package sidecar
