// Package admit decides when a request may run at an attached backend server,
// and limits the request rate of accounts at an entry node. The time is a
// parameter of the decisions; the package does no I/O.
//
// # Admission
//
// Queue makes the decisions for one server, driven by events with explicit
// times. Admitter wraps it for concurrent use by goroutines that block. A request
// runs at once if a slot is free and the queue is empty. Otherwise it joins a
// queue with a capacity of queue factor x slots, at least one.
//
// The queue is ordered by self-clocked fair queueing: each queued request has
// the finish tag max(virtual time, last tag of its account) + 1/weight. The
// request with the lowest tag runs next, and its tag becomes the virtual time. An
// account that always has queued requests gets slots in proportion to its
// weight, whatever the others send. When the queue is full, a request with a
// lower tag replaces the one with the highest tag, which is refused. An account
// whose request is refused keeps the tag for its next one; without that, an
// account of weight 0.1 would never enter a queue of capacity 6 that one of
// weight 1 keeps full.
//
// A request is refused at once if its expected completion is after its deadline:
//
//	now + (requests ahead of it + 1) / slots x mean service time + mean service time
//
// The mean is an exponentially weighted moving average of the latencies passed
// to Release. A request that finds a free slot is refused only if its deadline
// has passed, because otherwise the mean could never recover from an outlier.
// Later requests with lower tags can delay a queued one beyond its deadline;
// it is then refused when the deadline passes, without having run.
//
// Every refusal guarantees that the request has not run and will not run.
//
// # Limits
//
// Queue operations are linear in the queue length, which is about the number
// of slots (6 or 7). The state of an account is kept while it has queued requests
// or a tag ahead of the virtual time; a refusal adds an account only while there
// are fewer than 4,096. Running requests are not preempted: an account that took
// all slots while no other waited keeps them until its requests end.
//
// # Account limit
//
// AccountLimiter implements the generic cell rate algorithm, which is equivalent
// to a token bucket that holds BurstSeconds of the rate. It stores one timestamp
// per account, in shards with one lock each, for a bounded number of accounts.
package admit
