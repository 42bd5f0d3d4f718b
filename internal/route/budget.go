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
	// BudgetBurst is the number of further attempts that can be saved up.
	BudgetBurst = 10
	// HedgeReserve is the number of saved attempts that hedges leave to retries.
	HedgeReserve = BudgetBurst / 2
	// BudgetMemory is the time within which saved attempts fade to half. Every
	// entry has its own budget: without fading, the burst of a service before
	// 500 entries would be 5,000 attempts. At 0.24 requests/s per entry and
	// service, less than one attempt is saved.
	BudgetMemory = 10 * time.Second
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
	// freshAt is the time of the last fresh request, in Unix nanoseconds.
	freshAt atomic.Int64
	// floorAt is the time of the last attempt from the reserve, in Unix nanoseconds.
	floorAt atomic.Int64
}

// RecordRequest counts a fresh request. A ratio of 0 or less stands for DefaultRetryRatio.
func (b *Budget) RecordRequest(now time.Time, ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	ratio = min(ratio, MaxRetryRatio)
	nanos := now.UnixNano()
	age := max(nanos-b.freshAt.Swap(nanos), 0)
	keep := 1 / (1 + float64(age)/float64(BudgetMemory))
	deposit(&b.tokens, keep, ratio, BudgetBurst)
	deposit(&b.reserve, 1, SmallServiceRatio-ratio, 1)
}

// TakeRetry reports whether a retry may be sent now, and counts it.
func (b *Budget) TakeRetry(now time.Time) bool {
	return withdraw(&b.tokens) || b.takeReserve(now)
}

// TakeHedge reports whether a hedge may be sent now, and counts it.
func (b *Budget) TakeHedge(now time.Time) bool {
	if b.tokens.Load() >= (HedgeReserve+1)*tokenUnit {
		return withdraw(&b.tokens)
	}
	return b.takeReserve(now)
}

// takeReserve takes an attempt of the floor, at most FloorPerSecond of them.
func (b *Budget) takeReserve(now time.Time) bool {
	last, nanos := b.floorAt.Load(), now.UnixNano()
	if last != 0 && float64(nanos-last) < float64(time.Second)/FloorPerSecond {
		return false
	}
	return b.reserve.Load() >= tokenUnit && b.floorAt.CompareAndSwap(last, nanos) && withdraw(&b.reserve)
}

// deposit keeps a part of the counter and adds a share of one attempt. The
// burst bounds what is kept and not the sum, because otherwise a burst of one
// loses the part of the share that reaches beyond it.
func deposit(counter *atomic.Int64, keep, share float64, burst int64) {
	amount := int64(max(share, 0) * tokenUnit)
	for {
		old := counter.Load()
		next := min(int64(float64(old)*keep), burst*tokenUnit) + amount
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
