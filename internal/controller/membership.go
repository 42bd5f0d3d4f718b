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
	// Collect returns the changes since the last call.
	Collect(now time.Time) gossip.Update
	// ExchangedSince reports whether an exchange that began after t succeeded.
	ExchangedSince(t time.Time) bool
}

// GateMembership is the readiness condition that is not met while the node's view of the other
// nodes may be out of date.
const GateMembership = "membership"

// isolationTimeout is the time after which GateMembership is met although no exchange succeeded.
// A node that reaches no other node still serves its own callers and servers.
const isolationTimeout = 5 * time.Second

// A token bucket limits how often a node publishes additions to its own list of unreachable
// nodes; removals are published at once. Each change is gossiped to every node, so the refill
// rate falls with the number of nodes. Without this limit, many probes failing at once on an
// overloaded machine kept 250 nodes busy with gossip about each other.
const (
	// additionBurst is the capacity of the bucket, in publications.
	additionBurst = 4
	// additionIntervalPerNode, times the number of nodes, is the time to refill one token: 40 s
	// at 500 nodes, when the changes of all nodes cost each of them about 13 KB/s.
	additionIntervalPerNode = 80 * time.Millisecond
)

// Membership applies what gossip learned to the entries and publishes this node's record.
type Membership struct {
	gossip           Gossip
	publishedVersion fleet.Version
	freezeThreshold  time.Duration
	started          bool
	// additionTokens is the number of tokens in the bucket at tokensUpdatedAt.
	additionTokens  float64
	tokensUpdatedAt time.Time
	// staleSince is the time of the start or of the last freeze. It is zero once an exchange
	// succeeded after that time, or isolationTimeout passed.
	staleSince time.Time
}

// NewMembership returns the controller.
func NewMembership(g Gossip) *Membership {
	return &Membership{gossip: g, additionTokens: additionBurst}
}

// WithGate makes the controller maintain GateMembership. It is not met from the start, and from
// each gap between ticks above freezeThreshold, until an exchange with a peer succeeds.
func (m *Membership) WithGate(freezeThreshold time.Duration) *Membership {
	m.freezeThreshold = freezeThreshold
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
	if m.freezeThreshold > 0 {
		m.updateGate(now, e)
	}
}

func (m *Membership) updateGate(now time.Time, e *blackboard.Entries) {
	if !m.started || e.TickGap > m.freezeThreshold {
		m.started, m.staleSince = true, now
	}
	if m.staleSince.IsZero() {
		return
	}
	if m.gossip.ExchangedSince(m.staleSince) || now.Sub(m.staleSince) > isolationTimeout {
		m.staleSince = time.Time{}
	}
	e.SetGate(GateMembership, m.staleSince.IsZero())
}

// applyReach sets the reachability flags of every node and this node's list of unreachable
// nodes.
func (m *Membership) applyReach(now time.Time, e *blackboard.Entries, reach *gossip.Reachability) {
	for id := range e.Nodes() {
		e.SetDown(id, reach.Down[id])
		e.SetPathDown(id, blackboard.PathByProbes, reach.PathDown[id])
	}
	m.refillAdditionTokens(now, len(e.Nodes()))
	next := m.nextUnreachable(e.Self().Unreachable, reach.Unreachable)
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		changed := !slices.Equal(r.Unreachable, next)
		r.Unreachable = next
		return changed
	})
}

func (m *Membership) refillAdditionTokens(now time.Time, nodes int) {
	interval := time.Duration(nodes) * additionIntervalPerNode
	m.additionTokens = min(m.additionTokens+now.Sub(m.tokensUpdatedAt).Seconds()/interval.Seconds(), additionBurst)
	m.tokensUpdatedAt = now
}

// nextUnreachable returns the list of unreachable nodes to publish. Nodes that are reachable
// again are removed at once; nodes are added only if a token is available.
func (m *Membership) nextUnreachable(listed, unreachable []string) []string {
	adds := slices.ContainsFunc(unreachable, func(id string) bool { return !slices.Contains(listed, id) })
	if adds && m.additionTokens >= 1 {
		m.additionTokens--
		return slices.Clone(unreachable)
	}
	return slices.DeleteFunc(slices.Clone(listed), func(id string) bool { return !slices.Contains(unreachable, id) })
}

// publish passes this node's record to gossip if it changed. Changes by controllers that run
// later in the same tick are published in the next one.
func (m *Membership) publish(e *blackboard.Entries) {
	if self := e.Self(); self.Version != m.publishedVersion {
		m.publishedVersion = self.Version
		m.gossip.SetSelf(self)
	}
}
