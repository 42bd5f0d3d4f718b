// Package httpconn is an HTTP/1.1 client that reports exactly whether a request was
// sent and whether its response is known. The client of net/http retries requests,
// hides whether any byte was sent, and can return a late response to the wrong
// request.
//
// # Connections
//
// A connection carries one request at a time. It is reused only if the response was
// delimited by a length or by chunks, the bodies of request and response were
// transferred completely, and no byte followed. Before a connection is reused, a
// check of the socket finds one that was closed or holds unsolicited bytes.
//
// # Responses
//
// A response that names another request is dropped and the next one is read, since
// a duplicate response can arrive where the next one is due. A response without a
// length ends with the connection; if a reset ends it, the response is incomplete. The
// kernel reports a reset to one of a pending read and a pending write, so both results
// decide. A response is also dropped if the connection is closed in an orderly way and
// reset while the request is still being written.
//
// # Limits
//
// Responses are read completely, up to MaxResponseBody and what Request.Reservation
// allows. All bytes outside bodies, including informational responses and trailers,
// are limited to MaxHeaderBytes. Beyond a limit the connection is closed at once and
// the response counts as lost. HTTP/2 and protocol upgrades are not supported.
package httpconn
