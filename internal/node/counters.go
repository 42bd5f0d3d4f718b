package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/blackboard"
)

// metricsUpdater is the controller that copies the counts of other components to
// the metrics and also logs violated invariants. It runs last, after every
// controller that may violate an invariant.
type metricsUpdater struct {
	node       *Node
	violations map[string]int
	// lastSent, lastReceived and lastDropped are the counts at the previous step.
	lastSent, lastReceived int64
	lastDropped            uint64
}

// Name implements blackboard.Controller.
func (u *metricsUpdater) Name() string { return "counters" }

// Step implements blackboard.Controller.
func (u *metricsUpdater) Step(_ time.Time, e *blackboard.Entries) {
	u.reportViolations(e)
	u.updateGossipMetrics()
	metrics := u.node.telemetry.Metrics
	metrics.ConfigVersion.Set(int64(e.Config().Version))
	running, queued := u.node.host.Load()
	metrics.Running.Set(int64(running))
	metrics.Queued.Set(int64(queued))
}

func (u *metricsUpdater) reportViolations(e *blackboard.Entries) {
	for name, count := range e.InvariantViolations {
		added := count - u.violations[name]
		if added <= 0 {
			continue
		}
		u.violations[name] = count
		u.node.telemetry.Metrics.InvariantViolations.With(name).Add(int64(added))
		u.node.telemetry.StateChange("invariant", "held", "violated", zap.String("invariant", name))
	}
}

func (u *metricsUpdater) updateGossipMetrics() {
	metrics := u.node.telemetry.Metrics
	traffic := &u.node.gossip.Traffic
	sent, received := traffic.SentBytes.Load(), traffic.ReceivedBytes.Load()
	metrics.GossipSent.Add(sent - u.lastSent)
	metrics.GossipReceived.Add(received - u.lastReceived)
	u.lastSent, u.lastReceived = sent, received
	dropped := u.node.detection.Dropped()
	metrics.ObservationsDropped.Add(int64(dropped - u.lastDropped))
	u.lastDropped = dropped
}
