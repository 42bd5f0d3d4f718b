package node

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// leavingTime is how long a leaving node keeps answering, so that its peers
	// and callers learn of it before its listeners close.
	leavingTime = 2 * time.Second
	drainPoll   = 20 * time.Millisecond
	// leftTime lets gossip pass on the last record.
	leftTime = 300 * time.Millisecond
	// closeTime bounds the end of connections that are idle or being closed.
	closeTime = time.Second
)

// drain refuses new work and waits until the running requests have ended, or
// until the limit of the settings or ctx ends it.
func (n *Node) drain(ctx context.Context) {
	n.telemetry.StateChange("node", "serving", "leaving")
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.StopLimit)
	defer cancel()
	n.publish(ctx, func(r *fleet.NodeRecord) { r.Leaving = true })
	earliest := time.Now().Add(leavingTime)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for n.busy() || time.Now().Before(earliest) {
		select {
		case <-ctx.Done():
			n.reportCut()
			return
		case <-ticker.C:
		}
	}
	n.publish(ctx, func(r *fleet.NodeRecord) { r.Left = true })
	time.Sleep(leftTime)
	n.reportCut()
}

func (n *Node) busy() bool { return n.inProgress() > 0 || n.host.Running() > 0 }

// inProgress returns the requests that a stop now would cut off. A request of a
// caller that runs at a server of this node counts once, although both roles
// hold it.
func (n *Node) inProgress() int64 {
	return n.callers.Load() + n.hops.Load() + int64(n.host.Orphaned())
}

func (n *Node) publish(ctx context.Context, change func(*fleet.NodeRecord)) {
	err := n.board.Call(ctx, func(e *blackboard.Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool {
			change(r)
			return true
		})
	})
	if err != nil {
		n.telemetry.Log.Warn("the control goroutine did not take the stop", zap.Error(err))
	}
}

// reportCut writes the last line of a stop, with the number of requests that
// it cut off.
func (n *Node) reportCut() {
	cut := n.inProgress()
	n.telemetry.Metrics.CutOff.Add(cut)
	n.telemetry.StateChange("node", "leaving", "stopped", zap.Int64("requests_cut", cut))
}

// httpListeners are in the order of the servers.
func (n *Node) httpListeners() []net.Listener {
	return []net.Listener{n.listeners.caller, n.listeners.traffic, n.listeners.attach, n.listeners.admin}
}

func (n *Node) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	for _, server := range n.servers {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
}
