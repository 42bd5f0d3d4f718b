package route

import (
	"sync/atomic"
	"time"
)

const (
	// DefaultRetryRatio is the number of extra attempts (retries and hedges)
	// allowed for each original request.
	DefaultRetryRatio = 0.1
	// MaxRetryRatio is the upper bound of the configured ratio.
	MaxRetryRatio = 1.0
	// MaxRatioWithReserve bounds the ratio of extra attempts including those from
	// the reserve. When every server sheds load, the attempts sent stay below 1.2
	// times the original requests.
	MaxRatioWithReserve = 0.19
	// ReserveAttemptsPerSecond limits the extra attempts paid from the reserve.
	// The reserve is for services with so few requests at an entry that the
	// ratio alone allows no extra attempt.
	ReserveAttemptsPerSecond = 0.5
	// BudgetBurst is the number of extra attempts that the budget can accumulate.
	BudgetBurst = 10
	// HedgeReserve is the number of accumulated attempts that hedges leave for retries.
	HedgeReserve = BudgetBurst / 2
	// BudgetHalfLife is the gap between requests after which half of the
	// accumulated attempts have decayed. Every entry has its own budget: without
	// decay, 500 entries could send a service a burst of 5,000 extra attempts.
	// At 0.24 requests/s per entry and service, less than one attempt accumulates.
	BudgetHalfLife = 10 * time.Second
	// tokensPerAttempt is the fixed-point value of one attempt in the counters.
	tokensPerAttempt = 1 << 20
)

// Budget is a token bucket that bounds the extra attempts (retries and hedges)
// of one service at one entry. Each original request adds the service's retry
// ratio. A separate reserve serves services with few requests; both together
// stay within MaxRatioWithReserve, unless the ratio alone is higher. A Budget
// starts empty, takes no lock and is safe for concurrent use. The zero value is
// ready to use.
type Budget struct {
	tokens  atomic.Int64
	reserve atomic.Int64
	// lastRequestAt is the time of the last original request, in Unix nanoseconds.
	lastRequestAt atomic.Int64
	// reserveUsedAt is the time of the last attempt from the reserve, in Unix nanoseconds.
	reserveUsedAt atomic.Int64
}

// RecordRequest adds the share of an original request to the budget. A ratio
// of 0 or less means DefaultRetryRatio.
func (b *Budget) RecordRequest(now time.Time, ratio float64) {
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	ratio = min(ratio, MaxRetryRatio)
	nanos := now.UnixNano()
	age := max(nanos-b.lastRequestAt.Swap(nanos), 0)
	retained := 1 / (1 + float64(age)/float64(BudgetHalfLife))
	deposit(&b.tokens, retained, ratio, BudgetBurst)
	deposit(&b.reserve, 1, MaxRatioWithReserve-ratio, 1)
}

// TakeRetry reports whether the budget allows a retry now, and if so charges it.
func (b *Budget) TakeRetry(now time.Time) bool {
	return withdraw(&b.tokens) || b.takeReserve(now)
}

// TakeHedge reports whether the budget allows a hedge now, and if so charges it.
func (b *Budget) TakeHedge(now time.Time) bool {
	if b.tokens.Load() >= (HedgeReserve+1)*tokensPerAttempt {
		return withdraw(&b.tokens)
	}
	return b.takeReserve(now)
}

// takeReserve charges an attempt to the reserve, at most
// ReserveAttemptsPerSecond of them.
func (b *Budget) takeReserve(now time.Time) bool {
	last, nanos := b.reserveUsedAt.Load(), now.UnixNano()
	if last != 0 && float64(nanos-last) < float64(time.Second)/ReserveAttemptsPerSecond {
		return false
	}
	return b.reserve.Load() >= tokensPerAttempt && b.reserveUsedAt.CompareAndSwap(last, nanos) && withdraw(&b.reserve)
}

// deposit multiplies the counter by retained and adds a share of one attempt.
// The burst bounds the retained part and not the sum: with a burst of one, a
// bound on the sum would discard the part of the share above it.
func deposit(counter *atomic.Int64, retained, share float64, burst int64) {
	amount := int64(max(share, 0) * tokensPerAttempt)
	for {
		old := counter.Load()
		next := min(int64(float64(old)*retained), burst*tokensPerAttempt) + amount
		if next == old || counter.CompareAndSwap(old, next) {
			return
		}
	}
}

func withdraw(counter *atomic.Int64) bool {
	for {
		old := counter.Load()
		if old < tokensPerAttempt {
			return false
		}
		if counter.CompareAndSwap(old, old-tokensPerAttempt) {
			return true
		}
	}
}
