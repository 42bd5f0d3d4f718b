// Package fence carries fence calls between nodes. After a reply was lost, the entry node asks the
// host, directly or through a third node, to ensure that the request is never dispatched if it was
// not dispatched yet.
package fence
