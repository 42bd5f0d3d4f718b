// Package httpconn is an HTTP/1.1 client that tells exactly what became of a
// request. net/http's client repeats requests, hides whether a byte was sent,
// and gives a late answer to the wrong request; here each of those is visible.
//
// # Connections
//
// A connection carries one request at a time. It is kept only if the answer
// had a length, its whole body and the request's whole body passed, and no byte
// followed. Before a kept connection is used, a look at the socket finds one
// that was closed or holds bytes that belong to no request.
//
// # Answers
//
// An answer that names another request is dropped and the next one is read,
// since an extra answer can arrive where the next is due. An answer without a
// length ends with the connection; one that ends by a reset is cut.
//
// # Limits
//
// Answers are read whole, up to MaxAnswer and what Request.Hold allows. What is no
// body, with informational answers and trailers, is read up to MaxHead. Beyond a
// bound the connection is closed at once and the answer counts as lost. HTTP/2 and
// protocol upgrades are not supported.
package httpconn
