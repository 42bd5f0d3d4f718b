package sidecar

import (
	"context"
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
	drainPoll    = 20 * time.Millisecond
	// lastHopTime is how long a node that has taken its last hop waits for those
	// on the way, some times that of a beacon and a hop.
	lastHopTime = 200 * time.Millisecond
)

// drain waits for the requests in flight and for callers to leave, until the stop
// limit. Meanwhile it takes the hops that must end before that.
func (n *Node) drain(ctx context.Context) {
	n.log.Info("stopping", zap.Int64("in_flight", n.callers.Load()+n.hops.Load()))
	started := time.Now()
	end := started.Add(n.settings.StopLimit - stopMargin)
	if err := n.board.Do(ctx, func(s *state) { s.leaving, s.stopSince, s.stopAt = true, started, end }); err != nil {
		n.log.Warn("the control goroutine did not take the stop", zap.Error(err))
	}
	if n.board.View().Server.Leaving {
		// The server beside this node is gone and so is the node, unless
		// another server starts here and the node with it.
		removal, cancel := context.WithDeadline(ctx, end)
		defer cancel()
		go n.syncer.removeSelf(removal)
	}
	for time.Now().Before(end) {
		if n.callers.Load() == 0 && time.Since(started) > noticeTime {
			break
		}
		sleep(ctx, drainPoll)
	}
	n.endHops(ctx, end)
	n.log.Info("stopped", zap.Int64("cut_off", n.callers.Load()+n.hops.Load()), zap.Duration("took", time.Since(started)))
}

// endHops takes no further hops, tells the other nodes, and waits for those in
// flight until the end.
func (n *Node) endHops(ctx context.Context, end time.Time) {
	now := time.Now()
	if err := n.board.Do(ctx, func(s *state) { s.stopAt = now }); err != nil {
		n.log.Warn("the control goroutine did not take the end of the stop", zap.Error(err))
	}
	n.beacons.changed()
	for time.Now().Before(end) && (n.hops.Load() > 0 || time.Since(now) < lastHopTime) {
		sleep(ctx, drainPoll)
	}
}
