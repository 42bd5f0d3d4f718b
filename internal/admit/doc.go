// Package admit decides when a request may run at an attached backend server,
// and limits the request rate of accounts at an entry node. Time is an input;
// the package does no I/O.
//
// # Admission
//
// Queue is the decision for one server, driven by events with explicit times.
// Admitter wraps it for goroutines that wait. A request runs at once if a slot
// is free and nobody waits. Otherwise it joins a queue of QueueFactor x slots,
// at least one place.
//
// The order of the queue is start-time fair queueing: each waiting request
// carries the tag max(virtual time, last tag of its account) + 1/weight, the
// lowest tag runs next and sets the virtual time. An account with requests
// always waiting gets slots in proportion to its weight, whatever the others
// send. When the queue is full, a request with a lower tag takes the place of
// the one with the highest tag, which is refused. An account whose request is
// refused keeps the tag for its next one; without that, an account of weight
// 0.1 would never enter a queue of 6 places that one of weight 1 keeps full.
//
// A request is refused at once if the expected end does not fit its deadline:
//
//	now + (requests before it + 1) / slots x mean service time + mean service time
//
// The mean is an exponentially weighted average of the latencies given to
// Release. A request that finds a free slot is refused only if its deadline
// has passed, because otherwise the mean could never recover from an outlier.
// Later requests with lower tags can delay a waiting one beyond its deadline;
// it is then refused when the deadline passes, without having run.
//
// Each refusal means that the request has not run and will not run.
//
// # Limits
//
// Queue operations are linear in the queue length, which is about the number
// of slots (6 or 7). The state of an account is kept while it waits or a tag of
// it is ahead of the virtual time, and for at most 4,096 accounts that only
// keep the tag of a refusal. Running requests are not
// preempted: an account that took all slots while no other waited keeps them
// until its requests end.
//
// # Account limit
//
// AccountLimiter keeps one time for each account (the generic cell rate
// algorithm, equal to a token bucket that holds BurstSeconds of the rate), in
// shards with one lock each and a bounded number of accounts.
package admit
