// Package limit bounds what clients can make a node hold: open connections,
// request bodies in memory, and answers that are not read.
package limit
