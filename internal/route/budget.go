package route

import (
	"sync/atomic"
	"time"
)

const (
	// DefaultRetryRatio is the share of fresh requests that may be followed by
	// a further attempt.
	DefaultRetryRatio = 0.1
	// MaxRetryRatio bounds the configured share.
	MaxRetryRatio = 1.0
	// SmallServiceRatio bounds the share including the floor. With every server
	// shedding, work sent stays under 1.2 times fresh work.
	SmallServiceRatio = 0.19
	// FloorPerSecond is the rate of further attempts that the ratio alone may
	// not allow. It serves services with few requests at each entry.
	FloorPerSecond = 0.5
	// BudgetBurst is the number of further attempts that can be saved up. It is
	// small because every entry has its own budget: at 500 entries the burst of
	// a service is 1,500 attempts.
	BudgetBurst = 3
	// tokenUnit is the value of one attempt in the counters.
	tokenUnit = 1 << 20
)

// Budget bounds the further attempts (retries and hedges) of one service at
// one entry: RetryRatio for each fresh request, and a floor for services with
// few requests, which is itself bounded so that both together stay within
// SmallServiceRatio. It starts empty, takes no lock and is safe for
// concurrent use. The zero value is ready.
type Budget struct {
	tokens  atomic.Int64
	reserve atomic.Int64
	// floorAt is the time of the last attempt from the reserve, in Unix nanoseconds.
	floorAt atomic.Int64
}

// Fresh counts a fresh request. A ratio of 0 or less stands for DefaultRetryRatio.
func (b *Budget) Fresh(ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	ratio = min(ratio, MaxRetryRatio)
	deposit(&b.tokens, ratio, BudgetBurst)
	deposit(&b.reserve, SmallServiceRatio-ratio, 1)
}

// Take reports whether a further attempt may be sent now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if withdraw(&b.tokens) {
		return true
	}
	last, nanos := b.floorAt.Load(), now.UnixNano()
	if last != 0 && float64(nanos-last) < float64(time.Second)/FloorPerSecond {
		return false
	}
	return b.reserve.Load() >= tokenUnit && b.floorAt.CompareAndSwap(last, nanos) && withdraw(&b.reserve)
}

func deposit(counter *atomic.Int64, share float64, burst int64) {
	amount := int64(share * tokenUnit)
	if amount <= 0 {
		return
	}
	for {
		old := counter.Load()
		next := min(old+amount, burst*tokenUnit)
		if next == old || counter.CompareAndSwap(old, next) {
			return
		}
	}
}

func withdraw(counter *atomic.Int64) bool {
	for {
		old := counter.Load()
		if old < tokenUnit {
			return false
		}
		if counter.CompareAndSwap(old, old-tokenUnit) {
			return true
		}
	}
}
