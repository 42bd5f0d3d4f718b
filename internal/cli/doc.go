// Package cli holds what the commands of the tools share: the report of an
// error, and an HTTP server that ends with a signal.
package cli
