// Package limit bounds the resources that clients and servers can make a node hold:
// open connections, memory, and answers that the client does not read.
//
// # Memory
//
// Memory is the one account of what a process holds for its clients: request heads,
// request bodies, and answers until they are written. Bodies are kept in segments
// that are reserved before they are allocated and never copied, so the account is
// close to what the runtime holds. The last part of the account is kept for small
// bodies, heads and answers, so that a crowd of long bodies does not refuse them.
//
// # Who gives way
//
// Whoever came first keeps its memory as long as it makes progress. When there is
// none left, the largest reservations are evicted whose client owes bytes, or does
// not read, and has made no progress for a while. If nobody has stalled, the newest
// request is refused. Progress means a number of bytes, so that a client that sends
// a byte now and then counts as stalled.
//
// # Connections
//
// A Listener closes connections beyond its maximum. A Door makes room instead, by
// closing the connection that has waited for a request for longest, or one whose
// client does not read. It also charges the head of a request to the account before
// the server parses it: the cost of a head depends on its fields more than on its
// bytes.
//
// # Limits
//
// The account does not include the buffers of connections (bounded by their number),
// garbage (bounded by the memory limit of the runtime) and the buffers of the kernel.
package limit
