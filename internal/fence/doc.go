// Package fence carries fence calls between nodes: an entry node whose reply
// was lost asks the host, directly or through a third node, to make sure that
// a request that was not dispatched never will be.
package fence
