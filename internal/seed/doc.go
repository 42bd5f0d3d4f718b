// Package seed loads the file with which an empty platform is initialised. The
// file holds the initial configuration and the operators; its format is described
// in docs/platform.md.
package seed
