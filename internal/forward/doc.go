// Package forward carries requests between an entry node and a host node: the
// request and reply of a hop, and their form on HTTP/1.1 connections that are
// kept open.
//
// A hop is always a POST with its metadata in headers. The original method and
// the Idempotency-Key header would make net/http repeat a request by itself on
// a broken connection, which could run it twice. The reply echoes the request
// ID, and the client drops a reply with another ID.
package forward
