// Package memnet simulates a network of stream connections in memory, for tests
// and in-process measurements of control traffic. Hosts have names. Each
// direction between two hosts has a delay and can be cut. As with TCP, bytes sent
// in a cut direction are not lost: they are held until the cut is removed or the
// connection is closed. No connection can be opened between two hosts while
// either direction is cut.
//
// The package uses only channels and timers, so it also runs in the virtual time
// of testing/synctest. Bandwidth is unlimited and bytes are never reordered.
package memnet
