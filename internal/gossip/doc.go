// Package gossip replicates node records across the fleet, detects unreachable
// nodes, and carries RPC calls between nodes. The protocol is JSON-RPC 2.0 over
// TCP with a length prefix per message.
//
// # Records
//
// Each record has a single writer, and its copies are ordered by fleet.Version:
// the newest copy replaces older ones, and nothing is merged. On the wire a
// record consists of a header (the version and the small fields that change
// often) and a body (addresses and servers). A new header is forwarded right
// away; a body is sent only to a node that does not have the body with that
// base sequence.
//
// # Overlay
//
// Nodes are placed on a ring by the hash of their ID. A node initiates exchanges
// with its three next reachable successors and with two further nodes chosen by
// hash; these five are its partners. Changes are flooded along these links: a
// node that learns of a change forwards it to its partners after 20 ms, but at
// most four times a second. If only the reported configuration version of
// another node changed, the change waits for up to a second, so that such
// changes share a message.
//
// Every interval (500 ms) a node exchanges summaries with one partner: a hash
// over all versions, the configuration version, and the time since the last
// change. If the hashes differ although neither side has seen a recent change,
// or if they have differed for more than 3 s, the two nodes run anti-entropy:
// they compare 64 bucket hashes, then the headers in the buckets that differ,
// and then exchange the records that differ. This repairs whatever the flooding
// lost, and reconciles the two sides after a network partition.
//
// # Reachability
//
// A node probes its ring successors every second, up to and including the third
// that it can reach; unreachable successors in between are probed as well. After
// two consecutive failed probes the direct path counts as broken (PathDown). If
// indirect probes through three other nodes fail as well, the node reports the
// peer as unreachable in its own record.
//
// A node counts as down when at least two nodes report it as unreachable, or all
// remaining nodes if there are fewer. Reports are ignored if they come from a
// node that has left, that counts as down, or that this node cannot reach itself.
// A node that this node has heard from within 2.5 s never counts as down here.
// A single observer that loses its path, in one direction or both, therefore
// cannot take another node out of service.
//
// A record is forgotten once its node has been down, or has left, for the
// configured time. Nodes that report it as unreachable keep it 30 s longer, so
// that their reports hold until all other nodes have forgotten it. A node that
// joined while the other was down starts counting when it joined, and may bring
// the record back once. The address of a forgotten node is kept for 24 hours.
// Such addresses, seeds and nodes that are down are contacted now and then, one
// call a second in total. A forgotten record is accepted again if its version is
// newer, or if the sender considers the node to be up.
//
// # Limits
//
// On every connection both sides prove knowledge of the shared secret by an HMAC
// over fresh challenges before any other method is accepted. The traffic itself
// is neither encrypted nor signed: there is no protection against an attacker
// who can alter packets between nodes, and a node that knows the secret is
// trusted. Messages, connections, concurrent requests, records, servers and
// lists are bounded, and every read, write and call has a deadline.
package gossip
