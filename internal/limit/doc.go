// Package limit bounds the resources that clients and servers can make a node hold:
// open connections, memory for the bodies of requests and answers, and answers that
// the client does not read.
package limit
