package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/blackboard"
)

// invariants is the controller that brings violated invariants to the metrics
// and to the log. It runs last, after everything that may violate one.
type invariants struct {
	node *Node
	seen map[string]int
}

// Name implements blackboard.Controller.
func (i *invariants) Name() string { return "invariants" }

// Step implements blackboard.Controller.
func (i *invariants) Step(_ time.Time, e *blackboard.Entries) {
	for name, count := range e.Invariants {
		if added := count - i.seen[name]; added > 0 {
			i.seen[name] = count
			i.node.telemetry.Metrics.InvariantViolations.With(name).Add(int64(added))
			i.node.telemetry.StateChange("invariant", "held", "violated", zap.String("invariant", name))
		}
	}
	i.node.telemetry.Metrics.ConfigVersion.Set(int64(e.Config().Version))
}
