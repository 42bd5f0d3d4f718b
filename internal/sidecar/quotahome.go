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
	// maxReplacingFleet is the number of members up to which silent homes are replaced. In larger fleets,
	// nodes disagree too often about who is silent, and then ask nodes that take no home's place.
	maxReplacingFleet = 128
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
	// all are the members, living those that may be homes.
	all, living []quota.Node
	addrs       map[quota.Node]netip.AddrPort
	// isolated is set while less than half of the members are heard of. The others may have put nodes in
	// the place of this one.
	isolated bool
	// heardAt is the time of the last look at which nodes are silent.
	heardAt time.Duration
}

// updateMembers rebuilds the list of members if it has changed, or if nodes have become silent or are
// heard of again.
func (q *quotas) updateMembers(now time.Duration, view *View) {
	if q.members.index == view.MemberIndex && now-q.members.heardAt < hearingInterval {
		return
	}
	m := q.newMembers(now, view)
	first := q.members.index == nil
	if q.members.isolated && !m.isolated {
		q.resume(now)
	}
	if !first && slices.Equal(m.all, q.members.all) && slices.Equal(m.living, q.members.living) {
		q.members.index, q.members.isolated, q.members.heardAt = m.index, m.isolated, m.heardAt
		return
	}
	if !first {
		q.log.Info("homes of accounts", zap.Int("members", len(m.all)), zap.Int("living", len(m.living)), zap.Bool("isolated", m.isolated))
		drop := q.home.Replace
		if !slices.Equal(m.all, q.members.all) {
			drop = q.home.Retain
		}
		drop(now, func(account string, limit quota.Limit) bool { return m.isHome(account, limit) })
	}
	q.members = m
}

// resume drops the buckets of a node that was isolated, because others may have granted in its place
// meanwhile.
func (q *quotas) resume(now time.Duration) {
	q.home.Retain(now, func(string, quota.Limit) bool { return false })
}

func (q *quotas) newMembers(now time.Duration, view *View) *quotaMembers {
	m := &quotaMembers{
		index: view.MemberIndex, self: quota.HashNode(q.settings.Node), heardAt: now,
		addrs: make(map[quota.Node]netip.AddrPort, len(view.Members)),
	}
	var heard func(id string) bool
	if len(view.Members) <= maxReplacingFleet {
		heard = q.heardWithin(silentHomeTime(view.largestDataCentre()))
	}
	for _, member := range view.Members {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			// The change of the members logs invalid addresses.
			continue
		}
		node := quota.HashNode(member.ID)
		m.all = append(m.all, node)
		m.addrs[node] = addr
		if heard == nil || node == m.self || heard(member.ID) {
			m.living = append(m.living, node)
		}
	}
	slices.Sort(m.all)
	slices.Sort(m.living)
	m.isolated = 2*len(m.living) < len(m.all)
	if 2*len(m.living) <= len(m.all) {
		// No more than one group of nodes may replace those that it does not hear.
		m.living = m.all
	}
	return m
}

// homes returns the homes of an account in their order.
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

func (m *quotaMembers) isHome(account string, limit quota.Limit) bool {
	return slices.Contains(m.homes(account, limit), m.self)
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
	if !limited || q.members.isolated || q.unreached.Load() || !q.members.isHome(account, limit) {
		return quota.Reply{}
	}
	reply := q.home.Ask(now, account, limit, limit.Homes(len(q.members.all)), !q.members.isFirstHome(account, limit), ask)
	q.metrics.QuotaCredits.Add(int64(reply.Granted))
	return reply
}
