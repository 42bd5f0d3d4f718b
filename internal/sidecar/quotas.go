package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/quota"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// callQuota is the kind of the calls about the credits of accounts.
const callQuota beacon.CallKind = 2

const (
	// slowReply is the time after which another home is asked: several round trips between data
	// centres.
	slowReply = 60 * time.Millisecond
	// quotaDeadline is how long a request waits for a decision on its account.
	quotaDeadline = 250 * time.Millisecond
	// shortRefusal is the time up to which a request waits for the credit that it is promised instead
	// of being refused.
	shortRefusal = 100 * time.Millisecond
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
	clock    func() time.Duration
	started  time.Duration
	lifetime context.Context

	mu       sync.Mutex
	home     *quota.Home
	accounts map[string]*accountQuota
	members  *quotaMembers
}

// quotaMembers are the members as the order of homes needs them.
type quotaMembers struct {
	index *MemberIndex
	self  quota.Node
	nodes []quota.Node
	addrs map[quota.Node]netip.AddrPort
}

// accountQuota is the state of an account at its entry node.
type accountQuota struct {
	name    string
	limit   quota.Limit
	members *quotaMembers
	purse   quota.Purse
	part    quota.Part
	waiting []*quotaClaim
	// returning is set if the return of ended credits is scheduled.
	returning bool
}

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

func newQuotas(lifetime context.Context, s Settings, control *ControlLoop, calls *calls, log *zap.Logger, metrics *telemetry.Metrics, clock func() time.Duration) *quotas {
	now := clock()
	if s.QuotaWindow <= 0 {
		s.QuotaWindow = defaultQuotaWindow
	}
	q := &quotas{
		settings: s, control: control, calls: calls, log: log, metrics: metrics, clock: clock, started: now, lifetime: lifetime,
		home: quota.NewHome(now, rand.Uint32()), accounts: map[string]*accountQuota{}, members: &quotaMembers{},
	}
	calls.handlers[callQuota] = q.answer
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
		a.limit, a.members = limit, q.members
		a.purse.SetHomes(q.members.homesFor(account.Name, limit))
	}
	a.purse.Arrive(now)
	claim := &quotaClaim{quotas: q, account: a, decided: make(chan quotaDecision, 1)}
	a.waiting = append(a.waiting, claim)
	q.pump(now, a)
	return claim
}

// updateMembers rebuilds the list of members if it has changed.
func (q *quotas) updateMembers(now time.Duration, view *View) {
	if q.members.index == view.MemberIndex {
		return
	}
	m := &quotaMembers{index: view.MemberIndex, self: quota.HashNode(q.settings.Node), addrs: make(map[quota.Node]netip.AddrPort, len(view.Members))}
	for _, member := range view.Members {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			// The change of the members logs invalid addresses.
			continue
		}
		node := quota.HashNode(member.ID)
		m.nodes = append(m.nodes, node)
		m.addrs[node] = addr
	}
	slices.Sort(m.nodes)
	first := q.members.index == nil
	changed := !slices.Equal(m.nodes, q.members.nodes)
	q.members = m
	if changed && !first {
		q.home.Retain(now, func(account string, limit quota.Limit) bool { return m.isHome(account, limit) })
	}
}

// homes returns the homes of an account in their order.
func (m *quotaMembers) homes(account string, limit quota.Limit) []quota.Node {
	return quota.Homes(account, m.nodes, limit.Homes(len(m.nodes)))
}

// homesFor returns the homes of an account in the order in which this node asks them. Entries
// prefer different homes, so that all of them are used alike.
func (m *quotaMembers) homesFor(account string, limit quota.Limit) []quota.Node {
	homes := m.homes(account, limit)
	if len(homes) == 0 {
		return nil
	}
	if own := slices.Index(homes, m.self); own >= 0 {
		return append(slices.Clone(homes[own:]), homes[:own]...)
	}
	first := int(uint64(m.self) % uint64(len(homes)))
	return append(slices.Clone(homes[first:]), homes[:first]...)
}

func (m *quotaMembers) isHome(account string, limit quota.Limit) bool {
	return slices.Contains(m.homes(account, limit), m.self)
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

// answer processes the call of another node.
func (q *quotas) answer(_ time.Time, _ beacon.NodeHash, payload []byte) []byte {
	account, ask, back, ok := quota.DecodeCall(payload)
	if !ok {
		q.log.Warn("invalid call about an account", zap.Int("bytes", len(payload)))
		return nil
	}
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if ask != nil {
		return q.answerAsk(now, account, *ask).Encode()
	}
	q.home.Return(now, account, *back)
	return nil
}

// answerAsk decides as a home of an account. A node that has no limit for it, or is no home by its
// own list of members, says so.
func (q *quotas) answerAsk(now time.Duration, account string, ask quota.Ask) quota.Reply {
	view := q.control.View()
	if view.Config == nil || !view.MembersKnown() {
		return quota.Reply{}
	}
	q.updateMembers(now, view)
	limit, limited := q.limitOf(view.Config, account)
	if !limited || !q.members.isHome(account, limit) {
		return quota.Reply{}
	}
	reply := q.home.Ask(now, account, limit, limit.Homes(len(q.members.nodes)), ask)
	q.metrics.QuotaCredits.Add(int64(reply.Granted))
	return reply
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
	for name, a := range q.accounts {
		if len(a.waiting) == 0 && !a.purse.Holds() && now-a.purse.Used() > max(idleAccountTime, q.settings.QuotaWindow) {
			delete(q.accounts, name)
		}
	}
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
	if a.part.Admit(now, q.started, a.name, a.limit, a.members.nodes, a.members.self) {
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
