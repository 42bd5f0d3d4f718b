package gate

import "time"

// RetryBudget bound the repeats of one service at all its servers together: in
// any Window, at most Ratio x requests and an allowance that the servers share
// out. Each server keeps its own part, so no messages are needed.
type RetryBudget struct {
	// Ratio is the share of requests that may be followed by another attempt.
	Ratio float64
	// Allowance is the part of this server in the repeats beyond the ratio.
	Allowance float64
	// Initial is the part of the allowance that a new process has at once.
	Initial float64
	Window  time.Duration
}

// repeatBudget counts the requests and repeats of one server in a sliding window.
type repeatBudget struct {
	terms RetryBudget
	// started is the begin of the count. An earlier process may have spent the
	// allowance, so it grows to its full size over the first window, from the part
	// that no process spends but at its start.
	started time.Time
	// fresh are the first attempts of requests, spent the repeats.
	fresh, spent window
}

// request counts the first attempt of a request, of which a share is a repeat:
// the probability that the request is a call of a run that is itself a repeat.
func (b *repeatBudget) request(now time.Time, share float64) {
	b.fresh.add(now, 1)
	if share > 0 {
		b.spent.add(now, share)
	}
}

// repeat counts a repeat that is sent to the server.
func (b *repeatBudget) repeat(now time.Time) { b.spent.add(now, 1) }

// left returns the number of repeats that may be sent now.
func (b *repeatBudget) left(now time.Time) int {
	if b.terms.Window <= 0 {
		return 0
	}
	from := now.Add(-b.terms.Window)
	b.fresh.prune(from)
	b.spent.prune(from)
	grown := min(now.Sub(b.started).Seconds()/b.terms.Window.Seconds(), 1)
	allowance := max(b.terms.Allowance*grown, b.terms.Initial)
	return max(int(b.terms.Ratio*b.fresh.sum()+allowance-b.spent.sum()), 0)
}

// window holds weighted events in the order of their times.
type window struct {
	events []event
}

type event struct {
	at     time.Time
	weight float64
}

func (w *window) add(at time.Time, weight float64) {
	w.events = append(w.events, event{at, weight})
}

// prune forgets the events before a time.
func (w *window) prune(before time.Time) {
	i := 0
	for i < len(w.events) && w.events[i].at.Before(before) {
		i++
	}
	if i > 0 {
		w.events = append(w.events[:0], w.events[i:]...)
	}
}

func (w *window) sum() float64 {
	total := 0.0
	for _, e := range w.events {
		total += e.weight
	}
	return total
}
