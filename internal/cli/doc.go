// Package cli contains code shared by the command-line tools: error reporting
// with exit codes, and an HTTP server that shuts down on a signal.
package cli
