package route

import (
	"sync"
	"time"
)

// SharedBudget bounds the further attempts of one service at one entry where
// the bound holds for all entries together: Ratio x requests and an allowance
// that the entries share out. Each entry counts its own requests and takes its
// part of the allowance, so no messages are needed. When an attempt is allowed,
// the attempts of the window before it are within the bound for the requests of
// that window; those requests leave the window first, so a later window can hold
// a little more. It is safe for concurrent use.
type SharedBudget struct {
	mu sync.Mutex
	// fresh and spent hold the times of requests and of further attempts in the
	// window, oldest first.
	fresh, spent []time.Time
}

// SharedTerms are the terms of a SharedBudget.
type SharedTerms struct {
	// Ratio is the share of requests that may be followed by another attempt.
	Ratio float64
	// Allowance is the part of this entry in the attempts beyond the ratio.
	Allowance float64
	Window    time.Duration
}

// Fresh counts a request of a caller.
func (b *SharedBudget) Fresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fresh = append(b.fresh, now)
}

// Take reports whether a further attempt may be sent now, and counts it.
func (b *SharedBudget) Take(now time.Time, terms SharedTerms) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now.Add(-terms.Window))
	if float64(len(b.spent)+1) > terms.Ratio*float64(len(b.fresh))+terms.Allowance {
		return false
	}
	b.spent = append(b.spent, now)
	return true
}

// Prune forgets what is older than the window.
func (b *SharedBudget) Prune(now time.Time, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now.Add(-window))
}

func (b *SharedBudget) prune(before time.Time) {
	b.fresh = after(b.fresh, before)
	b.spent = after(b.spent, before)
}

// after drops the times before a limit from an ascending list.
func after(times []time.Time, limit time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(limit) {
		i++
	}
	if i == 0 {
		return times
	}
	return append(times[:0], times[i:]...)
}
