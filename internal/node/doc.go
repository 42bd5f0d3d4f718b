// Package node assembles the components of one node and runs them until the node
// is asked to stop. A stop is graceful: the node refuses new requests and waits
// for those in flight up to the configured time limit.
package node
