package gate

import (
	"time"
)

// Refusal is the reason why a request does not run.
type Refusal int

// Reasons for a refusal.
const (
	// NotRefused stands for a request that runs or waits.
	NotRefused Refusal = iota
	// Closed: the gate has no server, or the server is leaving.
	Closed
	// Unhealthy: the server is probably in a failure episode.
	Unhealthy
	// Busy: no slot becomes free in time.
	Busy
	// RetryBudgetExhausted: the server has received all retries that the retry budget allows.
	RetryBudgetExhausted
	// RateLimited: the server gets as many requests per second as it accepts.
	RateLimited
)

// String returns the name of the reason for logs.
func (r Refusal) String() string {
	return [...]string{"none", "closed", "doubtful", "busy", "spent", "rate-limited"}[r]
}

// Request describes a request that asks for a slot.
type Request struct {
	// Priority is the combined priority of the request; 0 is the most urgent.
	Priority int
	// Call is set if a running request of another server waits for this one.
	Call bool
	// Flow is the flow that the request belongs to.
	Flow       Flow
	Idempotent bool
	// Objective is the time until which the answer is fully useful.
	Objective time.Time
	// MaxWait is the longest expected wait with which the request may join the queue; 0 if it may
	// not wait.
	MaxWait time.Duration
	// Retry is set if an earlier attempt reached a server. The retry budget bounds retries.
	Retry bool
	// FirstAttempt is set if no other node was asked before, so that a request counts once for the
	// retry budget, however many nodes refuse it.
	FirstAttempt bool
	// RetryShare is the probability that the request is a call made by a server for a request that
	// is itself a retry, and so counts as one.
	RetryShare float64
}

// routePriorities is the number of priorities of routes that a combined priority distinguishes.
const routePriorities = 16

// CombinePriorities returns the priority of a request from that of its account, which goes first, and
// that of its route.
func CombinePriorities(account, route int) int {
	return max(account, 0)*routePriorities + min(max(route, 0), routePriorities-1)
}

// Rank returns the rank of a request among those that wait: calls of running work come first, since
// work that other servers have done depends on them, then the combined priorities.
func Rank(call bool, priority int) int {
	if call {
		return 0
	}
	account, route := max(priority, 0)/routePriorities, max(priority, 0)%routePriorities
	return 1 + min(account*rankedPriorities+min(route, rankedPriorities-1), PriorityLevels-2)
}

func (r Request) rank() int { return Rank(r.Call, r.Priority) }

// before reports whether r takes a free slot before other: by rank, then by the objective.
func (r Request) before(other Request) bool {
	if r.rank() != other.rank() {
		return r.rank() < other.rank()
	}
	if !r.Call && r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Objective.Before(other.Objective)
}

// Shares of the time that a request has which it may be expected to wait.
const (
	objectiveWaitShare = 0.6
	remainingWaitShare = 0.4
	// maxLateWait bounds the wait of a request beyond its share of the objective.
	maxLateWait = time.Second
)

// MaxWaitFor returns how long a request with a latency objective and the remaining time until its
// deadline may be expected to wait. A request with a short objective but a much later deadline is
// better answered late than refused, because it is probably a call on which another request waits.
func MaxWaitFor(objective, remaining time.Duration) time.Duration {
	late := min(time.Duration(remainingWaitShare*float64(remaining)), maxLateWait)
	return max(time.Duration(objectiveWaitShare*float64(objective)), late, 0)
}

// rankedPriorities is the number of priorities of accounts and of routes that ranks distinguish, and
