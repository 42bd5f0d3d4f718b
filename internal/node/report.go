package node

import (
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/intent"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// reportTransition logs and counts a change in the health of a server or a path.
func (n *Node) reportTransition(subject controller.Subject, t detect.Transition) {
	n.telemetry.Metrics.Transitions.With(string(t.To)).Add(1)
	n.telemetry.StateChange(string(subject), string(t.From), string(t.To), zap.String("target", t.Target))
}

// reportStep logs a step of an intent that this node executed.
func (n *Node) reportStep(action intent.Action) {
	n.telemetry.StateChange("intent", "approved", string(action))
}

// reportStanding logs a change in the standing of an attached server, which
// determines its share of the requests.
func (n *Node) reportStanding(change controller.StandingChange) {
	n.telemetry.StateChange("standing", change.From.String(), change.To.String(),
		zap.String("server", change.Server),
		zap.String("service", change.Service),
		zap.Bool("held", change.Held))
}
