package gate

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultRateBurst is the time whose share of a server's rate may be sent at once.
	DefaultRateBurst = 500 * time.Millisecond
	// minRate is the rate in requests per second that a server gets although it names a lower one:
	// only responses show that it accepts more again.
	minRate = 0.2
	// maxRate is the highest rate in requests per second that is counted; a server has far less.
	maxRate = 1e6
	// provisionalRate, in requests per second, applies until the first response of a server that
	// may have named a rate to an earlier process of the node.
	provisionalRate = 1
)

// rateLimit bounds the rate of the requests that a server gets, as the server itself demands in its
// responses. All requests to a server pass its gate, so the limit holds for all nodes together.
type rateLimit struct {
	burst time.Duration
	// bucket holds the requests that may be sent; nil without a limit.
	bucket *rate.Limiter
	// namedAt is the arrival of the newest response that named a rate; zero if none has.
	namedAt time.Time
}

// setProvisional limits the rate of a server whose own limit is not known yet. The first request may
// be sent at once.
func (l *rateLimit) setProvisional() {
	l.namedAt = time.Time{}
	l.bucket = rate.NewLimiter(provisionalRate, 1)
}

// set limits the rate from now on. A limit begins with an empty bucket, because the server has just
// received more than it accepts.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	known := l.bucket != nil && !l.namedAt.IsZero()
	l.namedAt = now
	perSecond = min(max(perSecond, minRate), maxRate)
	burst := max(1, int(perSecond*l.burst.Seconds()))
	if !known {
		l.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.bucket.ReserveN(now, burst)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
}

// lift ends the limit.
func (l *rateLimit) lift() { l.bucket = nil }

// take removes the request that starts now from the bucket.
func (l *rateLimit) take(now time.Time) {
	if l.bucket != nil {
		l.bucket.ReserveN(now, 1)
	}
}

// wait returns the time until the limit admits a request with a number of others ahead of it.
func (l *rateLimit) wait(now time.Time, ahead int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	return rateWait(ahead, l.bucket.TokensAt(now), l.interval())
}

// interval is the mean time between two requests; 0 without a limit.
func (l *rateLimit) interval() time.Duration {
	if l.bucket == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(l.bucket.Limit()))
}

// rateWait returns the time until a bucket that gains a token each interval has one for a request
// with a number of others ahead of it.
func rateWait(ahead int, tokens float64, interval time.Duration) time.Duration {
	return max(time.Duration((float64(ahead+1)-tokens)*float64(interval)), 0)
}

// AwaitRateLimit notes that an earlier process of the node may have received a rate limit that this
// one does not know. Until a server has responded, it gets few requests.
func (g *Gate) AwaitRateLimit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rateUnknown = true
}

// SetRateBurst sets the time whose share of a server's rate may be sent at once.
func (g *Gate) SetRateBurst(burst time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.burst = burst
}

// LimitRate records that the response to a request names the number of requests per second that the
// server accepts. Waiting requests that can no longer be sent in time are refused.
func (g *Gate) LimitRate(now time.Time, answered *Ticket, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered.started.Before(g.incarnationSince) {
		return
	}
	g.rate.set(now, perSecond)
	kept := g.waiting[:0]
	for _, ticket := range g.waiting {
		if now.Add(g.rate.wait(now, len(kept))).After(ticket.waitUntil) {
			ticket.decision <- RateLimited
			continue
		}
		kept = append(kept, ticket)
	}
	g.waiting = kept
	g.onChange()
}

// LiftRate records that the response to a request names no rate. The responses to requests that
// were sent before a rate was named may have been overtaken by the one that named it, and change
// nothing.
func (g *Gate) LiftRate(now time.Time, answered *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	overtaken := !answered.started.After(g.rate.namedAt)
	if g.rate.bucket == nil || overtaken || answered.started.Before(g.incarnationSince) {
		return
	}
	g.rate.lift()
	g.admitWaiting(now)
	g.onChange()
}

// RateLimit returns the limit in force in requests per second; 0 if there is none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rate.bucket == nil {
		return 0
	}
	return float64(g.rate.bucket.Limit())
}

// UntilRateAdmits returns the time until the rate limit admits the first waiting request; 0 if it
// keeps none from being sent. AdmitWaiting is due then.
func (g *Gate) UntilRateAdmits(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.wait(now, 0)
}

// AdmitWaiting admits the requests that waited for the rate limit and may be sent now.
func (g *Gate) AdmitWaiting(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := len(g.waiting)
	if g.rate.bucket == nil {
		return
	}
	if g.admitWaiting(now); len(g.waiting) != before {
		g.onChange()
	}
}
