package sidecar

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/quota"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// callQuota is the kind of the calls about the credits of accounts.
const callQuota beacon.CallKind = 2

const (
	// endedCreditsDelay is the time after the end of credits at which they are returned.
	endedCreditsDelay = 10 * time.Millisecond
	// defaultQuotaWindow is used if the settings name no window.
	defaultQuotaWindow = 5 * time.Second
	// idleAccountTime is how long the state of an account without requests is kept.
	idleAccountTime = time.Minute
)

// quotas limits the requests of accounts, as described in package quota: for the callers of this
// node, and as a home of accounts.
type quotas struct {
	settings Settings
	control  *ControlLoop
	calls    *calls
	log      *zap.Logger
	metrics  *telemetry.Metrics
	// clock counts the time for which the instance is suspended.
	clock func() time.Duration
	// heardWithin returns which nodes have been heard of lately; nil if that is not known.
	heardWithin func(within time.Duration) func(id string) bool
	started     time.Duration
	lifetime    context.Context

	mu       sync.Mutex
	reach    quotaReach
	home     *quota.Home
	accounts map[string]*accountQuota
	members  *quotaMembers
}

// accountQuota is the state of an account at its entry node.
type accountQuota struct {
	name    string
	limit   quota.Limit
	members *quotaMembers
	homes   []quota.Node
	purse   quota.Purse
	part    quota.Part
	waiting []*quotaClaim
	// returning is set if the return of ended credits is scheduled.
	returning bool
}

func newQuotas(lifetime context.Context, s Settings, control *ControlLoop, calls *calls, log *zap.Logger, metrics *telemetry.Metrics, clock func() time.Duration, heardWithin func(time.Duration) func(string) bool) *quotas {
	now := clock()
	if s.QuotaWindow <= 0 {
		s.QuotaWindow = defaultQuotaWindow
	}
	q := &quotas{
		settings: s, control: control, calls: calls, log: log, metrics: metrics, clock: clock, heardWithin: heardWithin, started: now, lifetime: lifetime,
		home: quota.NewHome(now, rand.Uint32()), accounts: map[string]*accountQuota{}, members: &quotaMembers{},
		reach: quotaReach{called: map[beacon.NodeHash]time.Duration{}},
	}
	calls.handlers[callQuota] = q.answer
	calls.handlers[callReach] = q.answerReach
	return q
}

// limitOf returns the limit of an account; false if it has none.
func (q *quotas) limitOf(config *fleet.Config, name string) (quota.Limit, bool) {
	account, ok := config.Accounts[name]
	if !ok || account.RatePerSecond <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{
		Rate: account.RatePerSecond, Burst: account.Burst,
		Window: q.settings.QuotaWindow, Over: q.settings.QuotaOver, Extra: q.settings.QuotaSlack,
	}, true
}

// begin claims a credit for a request. It returns nil if the account has no limit.
func (q *quotas) begin(view *View, account AccountName) *quotaClaim {
	if account.Name == "" {
		return nil
	}
	limit, limited := q.limitOf(view.Config, account.Name)
	if !limited {
		return nil
	}
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateMembers(now, view)
	a := q.accounts[account.Name]
	if a == nil {
		a = &accountQuota{name: account.Name}
		q.accounts[account.Name] = a
	}
	if a.limit != limit || a.members != q.members {
		homes := q.members.homesFor(account.Name, limit)
		if a.limit != limit || !slices.Equal(homes, a.homes) {
			a.purse.SetHomes(homes)
		}
		a.limit, a.members, a.homes = limit, q.members, homes
	}
	a.purse.Arrive(now)
	claim := &quotaClaim{quotas: q, account: a, decided: make(chan quotaDecision, 1)}
	a.waiting = append(a.waiting, claim)
	q.pump(now, a)
	return claim
}

// pump serves the waiting requests of an account with the credits at hand and asks for more. If no
// home can be asked, it decides the requests.
func (q *quotas) pump(now time.Duration, a *accountQuota) {
	q.returnEnded(now, a)
	for {
		for len(a.waiting) > 0 {
			credit, ok := a.purse.Take(now)
			if !ok {
				break
			}
			a.decideNext(quotaDecision{admitted: true, credit: credit})
		}
		home, ask, ok := a.purse.NextAsk(now, len(a.waiting))
		if !ok {
			break
		}
		if home != a.members.self {
			go q.ask(now, a, home, a.members.addrs[home], ask)
			break
		}
		a.purse.Granted(now, now, home, q.answerAsk(now, a.name, ask))
	}
	if !a.purse.Pending() {
		for len(a.waiting) > 0 {
			after, overLimit := a.purse.Refuse(now)
			a.decideNext(quotaDecision{after: after, overLimit: overLimit})
		}
	}
	q.scheduleReturn(a)
}

// scheduleReturn lets the credits of an account be returned after their end.
func (q *quotas) scheduleReturn(a *accountQuota) {
	if a.returning || !a.purse.Holds() {
		return
	}
	a.returning = true
	time.AfterFunc(quota.CreditLife+endedCreditsDelay, func() {
		now := q.clock()
		q.mu.Lock()
		defer q.mu.Unlock()
		a.returning = false
		q.returnEnded(now, a)
		q.scheduleReturn(a)
	})
}

// decideNext decides the first waiting request.
func (a *accountQuota) decideNext(d quotaDecision) {
	a.waiting[0].decided <- d
	a.waiting = a.waiting[1:]
}

// ask calls a home. Its reply also counts if the requests that waited for it have been decided.
func (q *quotas) ask(sent time.Duration, a *accountQuota, home quota.Node, addr netip.AddrPort, ask quota.Ask) {
	payload, err := q.calls.do(q.lifetime, callQuota, addr, ask.Encode(a.name))
	reply, ok := quota.DecodeReply(payload)
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil || !ok {
		q.metrics.QuotaCalls.Inc("no-reply")
		if a.purse.NoReply(now, home) && q.lifetime.Err() == nil {
			q.log.Warn("home of account silent", zap.String("account", a.name), zap.Stringer("home", addr), zap.Error(err))
		}
	} else {
		q.metrics.QuotaCalls.Inc(resultOfReply(reply))
		a.purse.Granted(now, sent, home, reply)
	}
	q.pump(now, a)
}

// resultOfReply returns the metric label of a reply.
func resultOfReply(r quota.Reply) string {
	switch {
	case !r.Home:
		return "not-home"
	case r.Again > 0:
		return "refused"
	}
	return "granted"
}

// returnEnded returns the credits of an account whose end has passed to its homes.
func (q *quotas) returnEnded(now time.Duration, a *accountQuota) {
	a.purse.Ended(now, func(home quota.Node, r quota.Return) { q.sendReturn(now, a, home, r) })
}

// sendReturn gives credits back to a home. If the call is lost, they count as spent.
func (q *quotas) sendReturn(now time.Duration, a *accountQuota, home quota.Node, r quota.Return) {
	q.metrics.QuotaReturned.Add(int64(r.Credits))
	if home == q.members.self {
		q.home.Return(now, a.name, r)
		return
	}
	addr, known := q.members.addrs[home]
	if !known {
		return
	}
	go func() {
		if _, err := q.calls.do(q.lifetime, callQuota, addr, r.Encode(a.name)); err != nil {
			q.log.Debug("return of credits not confirmed", zap.String("account", a.name), zap.Stringer("home", addr), zap.Error(err))
		}
	}()
}

// sweep drops the state of accounts without requests.
func (q *quotas) sweep() {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.reach.called, func(node beacon.NodeHash, _ time.Duration) bool { return !q.reach.heard(now, node) })
	for name, a := range q.accounts {
		if len(a.waiting) == 0 && !a.purse.Holds() && now-a.purse.Used() > max(idleAccountTime, q.settings.QuotaWindow) {
			delete(q.accounts, name)
		}
	}
}
