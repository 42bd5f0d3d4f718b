// Package limit bounds what clients and servers can make a node hold: open
// connections, bodies of requests and answers in memory, and answers that are not
// read.
package limit
