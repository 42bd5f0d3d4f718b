package quota

import (
	"math"
	"time"
)

// maxPromise bounds the time after which a refused caller is told to return.
const maxPromise = 10 * time.Second

// refusedCallRate is the number of refused calls per second that a home processes for an account.
const refusedCallRate = 200

// Bucket holds the credits of an account at one of its homes.
type Bucket struct {
	limit Limit
	homes int
	// tokens is the number of credits at the time filled.
	tokens float64
	filled time.Duration
	// granted counts the credits by their end.
	granted window
	// promised is the latest time at which a refused caller was told to return.
	promised time.Duration
	// calls is the time in which the refused calls of entries so far were due.
	calls time.Duration
}

// newBucket returns the bucket of a node, which grows from the given time on.
func newBucket(now, from time.Duration, limit Limit, homes int) *Bucket {
	b := &Bucket{
		limit: limit, homes: homes, tokens: limit.initial(homes),
		filled: from, granted: newWindow(limit.Window),
	}
	b.advance(now)
	return b
}

// pace returns the credits per second.
func (b *Bucket) pace() float64 { return b.limit.pace(b.homes) }

func (b *Bucket) advance(now time.Duration) {
	if now > b.filled {
		b.tokens = min(b.tokens+b.pace()*(now-b.filled).Seconds(), b.limit.capacity(b.homes))
		b.filled = now
	}
	b.granted.advance(now)
}

// setLimit applies a changed limit. A lower one starts a new record of granted credits, because it
// holds from now on.
func (b *Bucket) setLimit(now time.Duration, limit Limit, homes int) {
	if b.limit == limit && b.homes == homes {
		return
	}
	b.advance(now)
	lowered := limit.perWindow(homes) < b.limit.perWindow(b.homes)
	if limit.Window != b.limit.Window {
		b.granted = newWindow(limit.Window)
		b.granted.advance(now)
	} else if lowered {
		b.granted.clear()
	}
	b.limit, b.homes = limit, homes
	b.tokens = min(b.tokens, limit.capacity(homes))
	b.promised = 0
}

// grant takes credits for waiting requests, as far as there are any, and for requests to come, if
// enough are left for others.
func (b *Bucket) grant(now time.Duration, ask Ask) (granted int, slot int64) {
	b.advance(now)
	room := int(min(b.tokens, b.limit.perWindow(b.homes)-float64(b.granted.sum)) + rounding)
	granted = max(min(ask.Waiting, room), 0)
	if spare := min(room, int(b.tokens-b.limit.capacity(b.homes)/2)) - granted; granted == ask.Waiting && spare > 0 {
		granted += min(int(ask.Demand*CreditLife.Seconds()), spare)
	}
	b.tokens -= float64(granted)
	return granted, b.granted.add(now+CreditLife, granted)
}

// rounding absorbs the error of sums of fractions.
const rounding = 1e-9

// giveBack returns credits whose requests did not run.
func (b *Bucket) giveBack(now time.Duration, slot int64, n int) {
	b.advance(now)
	b.tokens = min(b.tokens+float64(n), b.limit.capacity(b.homes))
	b.granted.remove(slot, n)
}

// untilCredit returns the time until the bucket has a credit.
func (b *Bucket) untilCredit(now time.Duration) time.Duration {
	wait := max(b.filled-now, 0) + scale(time.Second, max(1-b.tokens, 0)/b.pace())
	if b.tokens >= 1 {
		wait = 0
	}
	if float64(b.granted.sum)+1 > b.limit.perWindow(b.homes)+rounding {
		wait = max(wait, b.granted.untilFewer(now))
	}
	return wait
}

// untilNextCall returns the time after which an entry whose call was refused may call again, so that
// many entries of an account over its limit do not overload its home.
func (b *Bucket) untilNextCall(now time.Duration) time.Duration {
	b.calls = max(b.calls, now) + time.Second/refusedCallRate
	return b.calls - now
}

// promise returns the time until the credit of the next refused caller is there, after the credits
// of all callers that were told to return earlier, and the time from one such caller to the next. It
// promises the credits of some callers.
func (b *Bucket) promise(now time.Duration, callers int) (first, interval time.Duration) {
	interval = scale(time.Second, 1/b.pace())
	at := now + b.untilCredit(now)
	if b.promised > now {
		at = max(at, b.promised+interval)
	}
	if callers > 0 {
		b.promised = min(at+scale(interval, float64(callers-1)), now+maxPromise)
	}
	return min(at-now, maxPromise), interval
}

// scale returns a multiple of a duration without overflow.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, math.MaxInt64/4))
}
