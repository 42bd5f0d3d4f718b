// Package memnet is an in-memory network of stream connections for tests and
// measurements of control traffic in one process. Hosts are named; each
// direction between two hosts has a delay and can be cut. As with TCP, bytes on
// a cut direction are not lost but wait until the cut heals or the connection
// ends, and a connection cannot be opened across a cut in either direction.
//
// It uses only channels and timers, so it also runs in the virtual time of
// testing/synctest. Bandwidth is not limited and bytes are never reordered.
package memnet
