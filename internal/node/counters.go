package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/blackboard"
)

// counters is the controller that brings the counts of other parts to the
// metrics, and violated invariants to the log as well. It runs last, after
// everything that may violate one.
type counters struct {
	node       *Node
	violations map[string]int
	// sent, received and dropped are the counts at the last step.
	sent, received int64
	dropped        uint64
}

// Name implements blackboard.Controller.
func (c *counters) Name() string { return "counters" }

// Step implements blackboard.Controller.
func (c *counters) Step(_ time.Time, e *blackboard.Entries) {
	c.countViolations(e)
	c.countTraffic()
	metrics := c.node.telemetry.Metrics
	metrics.ConfigVersion.Set(int64(e.Config().Version))
	running, queued := c.node.host.Load()
	metrics.Running.Set(int64(running))
	metrics.Queued.Set(int64(queued))
}

func (c *counters) countViolations(e *blackboard.Entries) {
	for name, count := range e.InvariantViolations {
		added := count - c.violations[name]
		if added <= 0 {
			continue
		}
		c.violations[name] = count
		c.node.telemetry.Metrics.InvariantViolations.With(name).Add(int64(added))
		c.node.telemetry.StateChange("invariant", "held", "violated", zap.String("invariant", name))
	}
}

func (c *counters) countTraffic() {
	metrics := c.node.telemetry.Metrics
	traffic := &c.node.gossip.Traffic
	sent, received := traffic.SentBytes.Load(), traffic.ReceivedBytes.Load()
	metrics.GossipSent.Add(sent - c.sent)
	metrics.GossipReceived.Add(received - c.received)
	c.sent, c.received = sent, received
	dropped := c.node.detection.Dropped()
	metrics.ObservationsDropped.Add(int64(dropped - c.dropped))
	c.dropped = dropped
}
