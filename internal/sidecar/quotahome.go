package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/quota"
)

// quotaMembers are the members as the order of homes needs them.
type quotaMembers struct {
	index *MemberIndex
	self  quota.Node
	nodes []quota.Node
	addrs map[quota.Node]netip.AddrPort
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
