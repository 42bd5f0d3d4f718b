// Package relay is a TCP proxy that can block either direction of its connections or
// delay both, for tests of network partitions and slow links. Blocked bytes are not
// lost: like a network with retransmission, the relay delivers them once the
// direction is open again.
package relay
