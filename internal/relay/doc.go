// Package relay passes TCP connections between a listen and a target address
// and can hold up either direction or delay both, for tests of partitions and
// slow links. Held bytes are not lost: like a network with retransmission, the
// relay delivers them when the direction opens again.
package relay
