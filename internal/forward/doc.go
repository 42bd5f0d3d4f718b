// Package forward carries requests from an entry node to a host node: the request and reply of a
// hop, and their encoding on persistent HTTP/1.1 connections.
//
// A hop is always a POST with its metadata in headers. With the caller's method or its
// Idempotency-Key header, net/http could retry the request by itself after a connection failure,
// which could run it twice. The reply echoes the request ID, and the client discards a reply with
// another ID.
package forward
