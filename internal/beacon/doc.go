// Package beacon defines the load reports that nodes send each other in datagrams:
// their encoding, and a table of the newest report of each node. Time is an input;
// the package does no I/O.
//
// # Propagation
//
// A node sends its own report to the nodes of its data centre. Reports reach other
// data centres in digests: at random times, each node sends the fresh reports of its
// whole data centre to one node of each other data centre, which forwards them to
// the rest of its own. The traffic between data centres thus does not depend on the
// number of datagrams, any node can send a digest, and a lost digest is made up for
// by the next one.
//
// # Order
//
// Datagrams can arrive late, twice, and from several senders. Each report carries a
// stamp of its node's clock, by which the newest one wins, and its age, so that
// clocks of different nodes are never compared. A table without a report of a node
// for StampExpiry accepts any stamp, because the clock of a restarted node may have
// been set back.
//
// # Calls
//
// A Call is a small request from one node to another in one datagram, for decisions that need an
// answer within a few milliseconds.
//
// # Limits
//
// Nodes are identified by a 32-bit hash. Some two nodes of a fleet have the same
// hash with a probability of 3 in 100,000 at 500 nodes; receivers ignore the reports
// of both, so that these nodes are chosen only by the reports in their answers.
package beacon
