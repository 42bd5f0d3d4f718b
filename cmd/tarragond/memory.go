package main

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap of a node, which is small beside what requests
	// allocate, grow to five times its live size between two collections. At
	// the default of 100 the collector took a quarter of the processor time of
	// a request.
	gcPercent = 400
	// memoryLimit makes the collector run more often near the budget of 256 MB
	// for a node, in bytes.
	memoryLimit = 224 << 20
)

// tuneMemory sets the pace of the garbage collector, unless the environment
// does (GOGC, GOMEMLIMIT).
func tuneMemory() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
