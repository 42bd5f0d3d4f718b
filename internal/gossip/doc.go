// Package gossip keeps the nodes' picture of each other and carries calls
// between nodes, as JSON-RPC 2.0 over TCP with a length prefix per message.
//
// # Records
//
// Each record has one writer and its copies are ordered by fleet.Version, so
// the newest copy replaces the others and nothing is merged. On the wire a
// record is a head (version and the small fields that change often) and a body
// (addresses and servers). A head is passed on as soon as it is new; the body
// travels only to a node that does not have the body of that base.
//
// # Overlay
//
// Nodes are placed on a ring by the hash of their ID. A node calls its three
// next reachable successors and two further nodes chosen by hash; these five
// are its partners. A change floods along these links: each node that learns
// something new passes it on to its partners after 20 ms, but not more than four
// times a second. A change of the
// reported configuration version alone waits up to a second, so that such
// changes travel together.
//
// Every interval (500 ms) a node exchanges summaries with one partner: a hash
// over all versions, the configuration version, and the time since the last
// change. If the hashes differ although both sides are settled, or for more
// than 3 s, the two compare 64 bucket hashes, then the heads of the buckets
// that differ, and then exchange the records that differ. This repairs
// whatever the flood lost, and joins two sides after a split.
//
// # Reachability
//
// A node probes its ring successors every second, up to the third that it can
// reach, including those it cannot reach in between. After two failed probes
// the path is broken (PathDown). If probes through three other nodes fail as
// well, the node lists the peer as unreachable in its own record.
//
// A node counts as down when at least two nodes list it, or all that are left
// if fewer are. The lists of nodes that have left, that count as down, or that
// this node cannot reach itself do not count. A node from which this node heard
// within 2.5 s never counts as down here. So one observer that lost its path,
// in one direction or both, takes nobody out of service.
//
// A record is forgotten when its node has been down, or has left, for the time
// in the settings; nodes that list it keep it 30 s longer, so that their lists
// hold until everyone else has forgotten it. A node that joined while the other
// was down counts from its own start and may bring the record back once. Its address is kept for 24 hours and called now and then,
// like those of seeds and of nodes that are down, one call a second in all. A
// forgotten record comes back when its version is newer or when the sender
// counts the node as up.
//
// # Limits
//
// Every connection proves the shared secret in both directions by an HMAC over
// fresh challenges before any other method is accepted. The traffic itself is
// neither encrypted nor signed: an attacker who can alter packets between nodes
// is outside of what this protects against, and a node that knows the secret is
// trusted. Messages, connections, concurrent requests, records, servers and
// lists are bounded, and every read, write and call has a deadline.
package gossip
