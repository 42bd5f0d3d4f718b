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
}

// Membership takes over what gossip learned and publishes this node's record.
type Membership struct {
	gossip    Gossip
	published fleet.Version
}

// NewMembership returns the controller.
func NewMembership(g Gossip) *Membership { return &Membership{gossip: g} }

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
	if update.Reach != nil {
		m.applyReach(e, update.Reach)
	}
	m.publish(e)
}

// applyReach sets the flags of every node and this node's own list.
func (m *Membership) applyReach(e *blackboard.Entries, reach *gossip.Reach) {
	for id := range e.Nodes() {
		e.SetDown(id, reach.Down[id])
		e.SetPathDown(id, blackboard.PathByProbes, reach.PathDown[id])
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		if slices.Equal(r.Unreachable, reach.Unreachable) {
			return false
		}
		r.Unreachable = slices.Clone(reach.Unreachable)
		return true
	})
}

// publish hands this node's record to gossip if it changed. Controllers that
// run later in the same tick are published with the next one.
func (m *Membership) publish(e *blackboard.Entries) {
	if self := e.Self(); self.Version != m.published {
		m.published = self.Version
		m.gossip.SetSelf(self)
	}
}
