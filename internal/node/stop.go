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
	// minLeavingTime is the minimum time for which a leaving node keeps responding,
	// so that peers and callers notice before its listeners close.
	minLeavingTime    = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// leftGossipTime gives gossip time to spread the node's final record.
	leftGossipTime = 300 * time.Millisecond
	// closeTimeout bounds the shutdown of the HTTP servers; connections still open
	// after it are closed forcibly.
	closeTimeout = time.Second
)

// drain marks the node as leaving, so that new requests are refused, and waits
// for the requests in flight, but at least for minLeavingTime. The wait ends early
// at timing.stop_limit or when ctx is cancelled.
func (n *Node) drain(ctx context.Context) {
	n.telemetry.StateChange("node", "serving", "leaving")
	ctx, cancel := context.WithTimeout(ctx, n.config.Timing.StopLimit)
	defer cancel()
	n.updateRecord(ctx, func(r *fleet.NodeRecord) { r.Leaving = true })
	earliest := time.Now().Add(minLeavingTime)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.busy() || time.Now().Before(earliest) {
		select {
		case <-ctx.Done():
			n.reportCutRequests()
			return
		case <-ticker.C:
		}
	}
	n.updateRecord(ctx, func(r *fleet.NodeRecord) { r.Left = true })
	time.Sleep(leftGossipTime)
	n.reportCutRequests()
}

func (n *Node) busy() bool { return n.inProgress() > 0 || n.host.Running() > 0 }

// inProgress returns the number of requests that an immediate stop would cut
// off. A caller's request that runs on a server attached to this node counts
// once, although both the entry and the host role track it.
func (n *Node) inProgress() int64 {
	return n.callerRequests.Load() + n.forwardedRequests.Load() + int64(n.host.Orphaned())
}

func (n *Node) updateRecord(ctx context.Context, change func(*fleet.NodeRecord)) {
	err := n.board.Call(ctx, func(e *blackboard.Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool {
			change(r)
			return true
		})
	})
	if err != nil {
		n.telemetry.Log.Warn("failed to update the node's own record during the stop", zap.Error(err))
	}
}

// reportCutRequests logs the end of a stop and the number of requests that it cut
// off, and adds them to the metric.
func (n *Node) reportCutRequests() {
	cut := n.inProgress()
	n.telemetry.Metrics.CutOff.Add(cut)
	n.telemetry.StateChange("node", "leaving", "stopped", zap.Int64("requests_cut", cut))
}

// httpListeners returns the listeners in the order of n.servers.
func (n *Node) httpListeners() []net.Listener {
	return []net.Listener{n.listeners.caller, n.listeners.traffic, n.listeners.attach, n.listeners.admin}
}

func (n *Node) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range n.servers {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
}
