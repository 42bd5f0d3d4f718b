package controller

import (
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gossip"
)

// Gossip is the part of gossip.Service that the membership controller uses.
type Gossip interface {
	// SetSelf publishes a newer version of this node's record.
	SetSelf(record *fleet.NodeRecord)
	// Collect returns what changed since the last call.
	Collect(now time.Time) gossip.Update
	// ExchangedSince reports whether an exchange begun after t succeeded.
	ExchangedSince(t time.Time) bool
}

// GateMembership is the readiness gate that is closed while the node's picture
// of the others may be out of date.
const GateMembership = "membership"

// aloneAfter opens GateMembership although no exchange succeeded. A node that
// reaches nobody still serves its own callers and servers.
const aloneAfter = 5 * time.Second

// Changes of the own list of unreachable nodes are published at once, but in a
// storm of failing probes, additions only at a rate that falls with the number
// of nodes. Each change travels to every node, so without this limit 250 nodes
// on a starved machine kept themselves busy with news of each other.
const (
	// listBurst is the number of additions that are published at once.
	listBurst = 4
	// listIntervalPerNode gives the time between further ones: 40 s at 500 nodes,
	// when the changes of all nodes cost each of them about 13 KB/s.
	listIntervalPerNode = 80 * time.Millisecond
)

// Membership takes over what gossip learned and publishes this node's record.
type Membership struct {
	gossip    Gossip
	published fleet.Version
	freezeGap time.Duration
	started   bool
	// listTokens is the number of changes of the own list of unreachable nodes
	// that may be published now, as of listedAt.
	listTokens float64
	listedAt   time.Time
	// staleSince is the start or the last freeze, until an exchange succeeds.
	staleSince time.Time
}

// NewMembership returns the controller.
func NewMembership(g Gossip) *Membership { return &Membership{gossip: g, listTokens: listBurst} }

// WithGate makes the controller close GateMembership at the start and after a
// gap between ticks above freezeGap, until an exchange with a peer succeeded.
func (m *Membership) WithGate(freezeGap time.Duration) *Membership {
	m.freezeGap = freezeGap
	return m
}

// Name implements blackboard.Controller.
func (m *Membership) Name() string { return "membership" }

// Step implements blackboard.Controller.
func (m *Membership) Step(now time.Time, e *blackboard.Entries) {
	update := m.gossip.Collect(now)
	for _, id := range update.Forgotten {
		e.ForgetNode(id)
	}
	for _, record := range update.Records {
		e.PutNode(record)
	}
	if update.Reachability != nil {
		m.applyReach(now, e, update.Reachability)
	}
	m.publish(e)
	if m.freezeGap > 0 {
		m.updateGate(now, e)
	}
}

func (m *Membership) updateGate(now time.Time, e *blackboard.Entries) {
	if !m.started || e.TickGap > m.freezeGap {
		m.started, m.staleSince = true, now
	}
	if m.staleSince.IsZero() {
		return
	}
	if m.gossip.ExchangedSince(m.staleSince) || now.Sub(m.staleSince) > aloneAfter {
		m.staleSince = time.Time{}
	}
	e.SetGate(GateMembership, m.staleSince.IsZero())
}

// applyReach sets the flags of every node and this node's own list.
func (m *Membership) applyReach(now time.Time, e *blackboard.Entries, reach *gossip.Reachability) {
	for id := range e.Nodes() {
		e.SetDown(id, reach.Down[id])
		e.SetPathDown(id, blackboard.PathByProbes, reach.PathDown[id])
	}
	m.refillListTokens(now, len(e.Nodes()))
	next := m.nextList(e.Self().Unreachable, reach.Unreachable)
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		changed := !slices.Equal(r.Unreachable, next)
		r.Unreachable = next
		return changed
	})
}

func (m *Membership) refillListTokens(now time.Time, nodes int) {
	interval := time.Duration(nodes) * listIntervalPerNode
	m.listTokens = min(m.listTokens+now.Sub(m.listedAt).Seconds()/interval.Seconds(), listBurst)
	m.listedAt = now
}

// nextList removes at once whatever is reachable again, and adds nodes if there
// is a token for the change.
func (m *Membership) nextList(listed, unreachable []string) []string {
	adds := slices.ContainsFunc(unreachable, func(id string) bool { return !slices.Contains(listed, id) })
	if adds && m.listTokens >= 1 {
		m.listTokens--
		return slices.Clone(unreachable)
	}
	return slices.DeleteFunc(slices.Clone(listed), func(id string) bool { return !slices.Contains(unreachable, id) })
}

// publish hands this node's record to gossip if it changed. Controllers that
// run later in the same tick are published with the next one.
func (m *Membership) publish(e *blackboard.Entries) {
	if self := e.Self(); self.Version != m.published {
		m.published = self.Version
		m.gossip.SetSelf(self)
	}
}
