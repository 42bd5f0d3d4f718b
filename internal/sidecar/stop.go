package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeTime is how long a stopping node takes requests of callers, who
	// learn within two questions, a second apart, that it is not ready.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is the time before the stop limit at which requests that still
	// run are cut off.
	stopMargin = 300 * time.Millisecond
	// lateRunShare is the part of the time until the stop limit that the
	// objective of a caller's request may take after noticeTime.
	lateRunShare = 0.4
	// runFactor times the mean service time is how long a run may take of which a
	// stopping node is sure enough.
	runFactor = 3
	drainPoll = 20 * time.Millisecond
	// lastHopTime is how long a node that has taken its last hop waits for those
	// on the way, some times that of a beacon and a hop.
	lastHopTime = 200 * time.Millisecond
	// closeTime bounds the wait for requests that arrived while the listeners were
	// closed. They are refused at once.
	closeTime = 200 * time.Millisecond
)

// stopping is a planned stop of the process. Its limit counts from the first request
// to stop: the platform kills the process then, whatever it asks meanwhile.
type stopping struct {
	node    *Node
	started time.Time
	// end is when requests that still run are cut off.
	end time.Time
}

// drain waits for the requests in flight and for callers to leave, until the stop
// limit. Meanwhile it takes the hops that must end before that.
func (n *Node) drain(ctx context.Context) *stopping {
	n.log.Info("stopping", zap.Int64("in_flight", n.callers.Load()+n.hops.Load()))
	s := &stopping{node: n, started: time.Now()}
	s.end = s.started.Add(n.settings.StopLimit - stopMargin)
	if err := n.board.Do(ctx, func(st *state) { st.leaving, st.stopSince, st.stopAt = true, s.started, s.end }); err != nil {
		n.log.Warn("the control goroutine did not take the stop", zap.Error(err))
	}
	if n.board.View().Server.Leaving {
		// The server beside this node is gone and so is the node, unless
		// another server starts here and the node with it.
		removal, cancel := context.WithDeadline(ctx, s.end)
		defer cancel()
		go n.syncer.removeSelf(removal)
	}
	for time.Now().Before(s.end) {
		if n.callers.Load() == 0 && time.Since(s.started) > noticeTime {
			break
		}
		sleep(ctx, drainPoll)
	}
	s.endHops(ctx)
	return s
}

// endHops takes no further hops, tells the other nodes, and waits for those in
// flight until the end.
func (s *stopping) endHops(ctx context.Context) {
	n := s.node
	now := time.Now()
	if err := n.board.Do(ctx, func(st *state) { st.stopAt = now }); err != nil {
		n.log.Warn("the control goroutine did not take the end of the stop", zap.Error(err))
	}
	n.beacons.changed()
	for time.Now().Before(s.end) && (n.hops.Load() > 0 || time.Since(now) < lastHopTime) {
		sleep(ctx, drainPoll)
	}
}

// close closes the listeners, answers what has been read by then, and closes the
// connections.
func (s *stopping) close(ctx context.Context, servers []*http.Server) {
	end := time.Now().Add(closeTime)
	if s.end.Add(stopMargin / 2).Before(end) {
		end = s.end.Add(stopMargin / 2)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			// What is still in flight at the end is cut off by Close.
			_ = server.Shutdown(ctx)
		})
	}
	group.Wait()
	s.node.log.Info("stopped", zap.Int64("cut_off", s.node.callers.Load()+s.node.hops.Load()), zap.Duration("took", time.Since(s.started)))
}
