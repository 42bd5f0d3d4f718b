// Package beacon holds the load reports that nodes tell each other in datagrams:
// their encoding, and a table of the newest report of each node. Time is an
// input; the package does no I/O.
//
// # Spreading
//
// A node sends its own report to the nodes of its data centre. Reports reach
// other data centres in digests: each node sends, in turn by chance, the fresh
// reports of its whole data centre to one node of each other one, which passes
// them on. The bytes between data centres thus do not depend on the number of
// datagrams, any node can send a digest, and a lost one is made good by the next.
//
// # Order
//
// Datagrams can be late, double and of several senders. Each report carries a
// stamp of its node's clock, by which the newest one wins, and its age, so that
// no clocks are compared between nodes. A table that has heard nothing of a node
// for StampMemory takes any stamp, because the clock of a restarted node may have
// been set back.
//
// # Limits
//
// Nodes are named by a 32-bit hash. Two nodes of a fleet share one with a
// probability of 3 in 100,000 at 500 nodes; readers leave both out, so that they
// are chosen by the reports in their answers only.
package beacon
