package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/quota"
)

const (
	// minSilentHomeTime is the time without a report of a node, by any path, after which entries ask the next
	// node in the order of an account instead. It is longer than restarts. Between data centres, reports come in
	// digests at random times; missedDigests of them may be missing.
	minSilentHomeTime = 5 * time.Second
	missedDigests     = 12
	// hearingInterval is the time between two looks at which nodes are silent.
	hearingInterval = 500 * time.Millisecond
)

// silentHomeTime returns the time after which a node counts as silent in a fleet whose data centres have up to
// the given number of nodes; 0 if there is only one. It is the same at all nodes, so that they agree on who is
// silent.
func silentHomeTime(largest int) time.Duration {
	return max(minSilentHomeTime, beacon.MaxAge+missedDigests*meanDigestInterval(largest))
}

// quotaMembers are the members as the order of homes needs them.
type quotaMembers struct {
	index *MemberIndex
	self  quota.Node
	// all are the members. Entries ask the homes among living, which leaves out silent nodes; the node is a
	// home among granting, which leaves out only those that may be replaced.
	all, living, granting []quota.Node
	addrs                 map[quota.Node]netip.AddrPort
	// heardAt is the time of the last look at which nodes are silent, replaced those that may be replaced.
	heardAt  time.Duration
	replaced []quota.Node
}

// updateMembers rebuilds the list of members if it has changed, or if nodes have become silent or are
// heard of again.
func (q *quotas) updateMembers(now time.Duration, view *View) {
	replaced := q.reach.replacedNow(now)
	if q.members.index == view.MemberIndex && now-q.members.heardAt < hearingInterval && slices.Equal(replaced, q.members.replaced) {
		return
	}
	m := q.newMembers(now, view, replaced)
	old := q.members
	first, sameMembers, sameHomes := old.index == nil, slices.Equal(m.all, old.all), slices.Equal(m.granting, old.granting)
	if !first && sameMembers && sameHomes && slices.Equal(m.living, old.living) {
		old.index, old.heardAt, old.replaced = m.index, m.heardAt, m.replaced
		return
	}
	q.members = m
	if first {
		return
	}
	q.log.Info("homes of accounts", zap.Int("members", len(m.all)), zap.Int("living", len(m.living)), zap.Int("replaced", len(m.all)-len(m.granting)))
	isHome := func(account string, limit quota.Limit) bool { return m.isHome(account, limit) }
	switch {
	case !sameMembers:
		q.home.Retain(now, isHome)
	case !sameHomes:
		q.home.Replace(now, isHome)
	}
}

func (q *quotas) newMembers(now time.Duration, view *View, replaced []quota.Node) *quotaMembers {
	m := &quotaMembers{
		index: view.MemberIndex, self: quota.HashNode(q.settings.Node), heardAt: now, replaced: replaced,
		addrs: make(map[quota.Node]netip.AddrPort, len(view.Members)),
	}
	heard := q.heardLately(view)
	for _, member := range view.Members {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			// The change of the members logs invalid addresses.
			continue
		}
		node := quota.HashNode(member.ID)
		m.all = append(m.all, node)
		m.addrs[node] = addr
		living := heard == nil || node == m.self || heard(member.ID)
		if living {
			m.living = append(m.living, node)
		}
		if living || !slices.Contains(replaced, node) {
			m.granting = append(m.granting, node)
		}
	}
	slices.Sort(m.all)
	slices.Sort(m.living)
	slices.Sort(m.granting)
	if 2*len(m.living) <= len(m.all) {
		// No node replaces others without a majority.
		m.living = m.all
	}
	return m
}

// homes returns the homes of an account in their order, as far as this node knows who runs.
func (m *quotaMembers) homes(account string, limit quota.Limit) []quota.Node {
	return quota.Homes(account, m.living, limit.Homes(len(m.all)))
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

// isHome reports whether the node is a home of an account.
func (m *quotaMembers) isHome(account string, limit quota.Limit) bool {
	return slices.Contains(quota.Homes(account, m.granting, limit.Homes(len(m.all))), m.self)
}

// isFirstHome reports whether the node is a home of an account with all members living.
func (m *quotaMembers) isFirstHome(account string, limit quota.Limit) bool {
	return slices.Contains(quota.Homes(account, m.all, limit.Homes(len(m.all))), m.self)
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
	if !limited || !q.reach.mayGrant(now) || !q.members.isHome(account, limit) {
		return quota.Reply{}
	}
	reply := q.home.Ask(now, account, limit, limit.Homes(len(q.members.all)), !q.members.isFirstHome(account, limit), ask)
	q.metrics.QuotaCredits.Add(int64(reply.Granted))
	return reply
}
