package gate

import "time"

// RetryBudget bounds the retries of one service over all its servers together: in any Window, at
// most Ratio x requests and an allowance that is divided among the servers. Each server counts its
// own part, so no messages are needed.
type RetryBudget struct {
	// Ratio is the share of requests that may be followed by another attempt.
	Ratio float64
	// Allowance is the part of this server in the retries beyond the ratio.
	Allowance float64
	// Initial is the part of the allowance that a new process has at once.
	Initial float64
	Window  time.Duration
}

// retryCounter counts the requests and retries of one server in a sliding window.
type retryCounter struct {
	budget RetryBudget
	// started is when counting began. An earlier process may have used up the allowance, so the
	// allowance grows to its full size over the first window, beginning with the part that
	// processes use only at their start.
	started time.Time
	// firstAttempts are the first attempts of requests. retries includes the shares of first
	// attempts that count as retries.
	firstAttempts, retries slidingWindow
}

// recordRequest counts the first attempt of a request. share is the probability that the request is
// a call made for a request that is itself a retry, and counts as that part of a retry.
func (c *retryCounter) recordRequest(now time.Time, share float64) {
	c.firstAttempts.add(now, 1)
	if share > 0 {
		c.retries.add(now, share)
	}
}

// recordRetry counts a retry that is sent to the server.
func (c *retryCounter) recordRetry(now time.Time) { c.retries.add(now, 1) }

// remaining returns the number of retries that may be sent now.
func (c *retryCounter) remaining(now time.Time) int {
	if c.budget.Window <= 0 {
		return 0
	}
	from := now.Add(-c.budget.Window)
	c.firstAttempts.prune(from)
	c.retries.prune(from)
	elapsed := min(now.Sub(c.started).Seconds()/c.budget.Window.Seconds(), 1)
	allowance := max(c.budget.Allowance*elapsed, c.budget.Initial)
	return max(int(c.budget.Ratio*c.firstAttempts.sum()+allowance-c.retries.sum()), 0)
}

// slidingWindow holds weighted events in the order of their times.
type slidingWindow struct {
	events []event
}

type event struct {
	at     time.Time
	weight float64
}

func (w *slidingWindow) add(at time.Time, weight float64) {
	w.events = append(w.events, event{at, weight})
}

// prune removes the events before a time.
func (w *slidingWindow) prune(before time.Time) {
	i := 0
	for i < len(w.events) && w.events[i].at.Before(before) {
		i++
	}
	if i > 0 {
		w.events = append(w.events[:0], w.events[i:]...)
	}
}

func (w *slidingWindow) sum() float64 {
	total := 0.0
	for _, e := range w.events {
		total += e.weight
	}
	return total
}
