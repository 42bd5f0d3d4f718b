package sidecar

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/quota"
)

const (
	// slowReply is the time after which another home is asked: several round trips between data
	// centres.
	slowReply = 60 * time.Millisecond
	// quotaDeadline is how long a request waits for a decision on its account.
	quotaDeadline = 250 * time.Millisecond
	// shortRefusal is the time up to which a request waits for the credit that it is promised instead
	// of being refused.
	shortRefusal = 100 * time.Millisecond
)

// quotaClaim is the claim of a request to a credit of its account.
type quotaClaim struct {
	quotas  *quotas
	account *accountQuota
	// decided receives the decision.
	decided chan quotaDecision
	// admitted is set once the request may run.
	admitted bool
	credit   quota.Credit
	// ownPart is set if the request was admitted without a home.
	ownPart bool
	// ended is set once the request waits no more.
	ended bool
}

// quotaDecision tells whether a request was admitted.
type quotaDecision struct {
	admitted bool
	credit   quota.Credit
	// after is the time after which a refused caller may return; overLimit tells that all homes
	// refused.
	after     time.Duration
	overLimit bool
}

// wait returns once the request may run, or the error with which it is refused and the time after
// which its caller may return. c may be nil.
func (c *quotaClaim) wait(ctx context.Context, limit time.Duration) (after time.Duration, err error) {
	if c == nil {
		return 0, nil
	}
	deadline := time.NewTimer(min(quotaDeadline, limit))
	defer deadline.Stop()
	slow := time.NewTimer(slowReply)
	defer slow.Stop()
	mayWait := true
	for {
		select {
		case d := <-c.decided:
			if mayWait && d.overLimit && d.after <= shortRefusal {
				mayWait = false
				time.AfterFunc(d.after, c.again)
				continue
			}
			return c.conclude(d)
		case <-slow.C:
			c.quotas.replySlow(c.account)
			slow.Reset(slowReply)
		case <-deadline.C:
			return c.conclude(c.withdraw())
		case <-ctx.Done():
			return 0, codes.AccountUndecided.Wrap(ctx.Err(), "the caller left before a home of account %s replied", c.account.name)
		}
	}
}

// again lets a refused request wait once more.
func (c *quotaClaim) again() {
	now := c.quotas.clock()
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	if !c.ended {
		c.account.waiting = append(c.account.waiting, c)
		c.quotas.pump(now, c.account)
	}
}

// replySlow lets the next home of an account be asked.
func (q *quotas) replySlow(a *accountQuota) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	a.purse.MarkSlow(now, slowReply)
	q.pump(now, a)
}

// withdraw ends the wait of a request and returns the decision, if there is one.
func (c *quotaClaim) withdraw() quotaDecision {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.ended = true
	c.account.waiting = slices.DeleteFunc(c.account.waiting, func(other *quotaClaim) bool { return other == c })
	select {
	case d := <-c.decided:
		return d
	default:
		return quotaDecision{}
	}
}

// conclude applies the decision on a request. If the account may be below its limit, the node admits
// the request on its own part or refuses it for its own fault.
func (c *quotaClaim) conclude(d quotaDecision) (after time.Duration, err error) {
	q, a := c.quotas, c.account
	if d.admitted {
		c.admitted, c.credit = true, d.credit
		return 0, nil
	}
	if d.overLimit {
		q.metrics.QuotaRefused.Inc("over-limit")
		return d.after, codes.AccountLimit.New("account %s has used its %g requests/s and its burst of %g", a.name, a.limit.Rate, a.limit.Burst)
	}
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.part.Admit(now, q.started, a.name, a.limit, a.members.all, a.members.self) {
		c.admitted, c.ownPart = true, true
		q.metrics.QuotaOwnPart.Inc()
		q.log.Info("account admitted on own part", zap.String("account", a.name))
		return 0, nil
	}
	q.metrics.QuotaRefused.Inc("undecided")
	return max(d.after, minRetryAfter), codes.AccountUndecided.New("some home of account %s does not reply, and the others have no credit", a.name)
}

// giveBack returns the credit of a request that did not run. c may be nil.
func (c *quotaClaim) giveBack() {
	if c == nil {
		return
	}
	if d := c.withdraw(); d.admitted {
		c.admitted, c.credit = true, d.credit
	}
	if !c.admitted {
		return
	}
	c.admitted = false
	q, a := c.quotas, c.account
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case c.ownPart:
		a.part.GiveBack()
	case a.purse.GiveBack(now, c.credit):
		q.pump(now, a)
	default:
		q.sendReturn(now, a, c.credit.Home, quota.Return{Credits: 1, Slot: c.credit.Slot})
	}
}
