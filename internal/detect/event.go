package detect

import "time"

// Result classifies how a dispatched request ended, as evidence about its target.
type Result int

const (
	// Success is a complete response that shows no fault of the target.
	Success Result = iota
	// Failure is an error response, a broken connection or a truncated response.
	Failure
	// Timeout is a request that reached its deadline.
	Timeout
	// Shed is a request that the target refused without running any of it.
	Shed
	// Cancelled is a request that the caller or a hedge ended early. Its outcome is unknown, but
	// its age is evidence.
	Cancelled
)

// Event is the start or the end of one request at a target.
type Event struct {
	// Target is a server ID on a host, or a node ID on an entry.
	Target string
	// Service is the service that the request belongs to.
	Service string
	// Request identifies the request among those of the same node.
	Request uint64
	// At is the time of the event.
	At time.Time
	// Finished is true for the end of a request and false for its start.
	Finished bool
	// Result and Latency are set only when Finished is true.
	Result  Result
	Latency time.Duration
	// Probe marks a health probe, which is not evidence.
	Probe bool
}

// Sink receives events from the goroutines that carry traffic. Emit never blocks: events that do
// not fit into the queue are dropped and counted.
type Sink interface {
	Emit(Event)
}
