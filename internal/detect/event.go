package detect

import "time"

// Result says how a dispatched request ended, as evidence about its target.
type Result int

// The results.
const (
	// Success is a complete answer that shows no fault of the target.
	Success Result = iota
	// Failure is an error answer, a broken connection or a cut answer.
	Failure
	// Timeout is a request that ran into its deadline.
	Timeout
	// Shed is a refusal by the target that ran nothing.
	Shed
	// Cancelled is a request that the caller or a hedge ended early. It says
	// nothing about the outcome, but its age is evidence.
	Cancelled
)

// Event is the start or the end of one request at a target.
type Event struct {
	// Target is a server ID (host) or a node ID (entry).
	Target string
	// Service is the service of the request.
	Service string
	// Request identifies the request among those of the same node.
	Request uint64
	// At is the time of the event.
	At time.Time
	// Finished is false for a start.
	Finished bool
	// Result and Latency are set for an end.
	Result  Result
	Latency time.Duration
	// Probe marks a health probe, which is no evidence by itself.
	Probe bool
}

// Sink takes events from traffic goroutines. Emit never blocks; events that
// do not fit are dropped and counted.
type Sink interface {
	Emit(Event)
}
