package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// readinessDelay is how long a stopping node accepts requests of callers. Callers learn that
	// it is not ready within two readiness probes, which are a second apart.
	readinessDelay = 2500 * time.Millisecond
	// exitMargin is the time before the stop limit by which all connections are closed. The process
	// then ends its goroutines and writes its log, which takes some tens of ms of a slow processor.
	exitMargin = 300 * time.Millisecond
	// stopMargin is the time before the stop limit at which requests that still run are ended, so that
	// their responses are sent before the connections are closed.
	stopMargin = exitMargin + 150*time.Millisecond
	// lateObjectiveShare is the fraction of the time until the stop limit that the latency
	// objective of a request may take if it arrives after readinessDelay.
	lateObjectiveShare = 0.4
	// serviceTimeFactor times the mean service time is the run time that a stopping node allows
	// for, to be reasonably sure that the run ends in time.
	serviceTimeFactor = 3
	drainPollInterval = 20 * time.Millisecond
	// lastHopWait is how long a node that no longer accepts hops waits for those already under
	// way: a few times the travel time of a beacon and a hop.
	lastHopWait = 200 * time.Millisecond
	// shutdownTimeout bounds the wait for requests that arrived while the listeners were being
	// closed. They are refused immediately.
	shutdownTimeout = 200 * time.Millisecond
)

// shutdown is a planned stop of the process. The stop limit counts from the first stop request:
// the platform kills the process then, whatever it requests in between.
type shutdown struct {
	node    *Node
	started time.Time
	// end is the time at which requests that still run are ended.
	end time.Time
}

// drain waits until the requests in flight have ended and callers have noticed the stop, up to the
// stop limit. Until then, the node accepts hops that must end before the limit.
func (n *Node) drain(ctx context.Context) *shutdown {
	n.log.Info("stopping", zap.Int64("in_flight", n.callers.Load()+n.hops.Load()))
	s := &shutdown{node: n, started: time.Now()}
	s.end = s.started.Add(n.settings.StopLimit - stopMargin)
	if err := n.control.Do(ctx, func(st *state) { st.leaving, st.stopSince, st.stopAt, st.endsAt = true, s.started, s.end, s.end }); err != nil {
		n.log.Warn("failed to announce the stop to the control loop", zap.Error(err))
	}
	time.AfterFunc(time.Until(s.end), n.endRequests)
	go n.departures.passOn(n.lifetime)
	if n.control.View().Server.Leaving {
		// The server beside this node has left, and the node leaves with it. If another server
		// starts here, the node starts again and writes a new row.
		removal, cancel := context.WithDeadline(ctx, s.end)
		defer cancel()
		go n.syncer.removeSelf(removal)
	}
	for time.Now().Before(s.end) {
		if n.callers.Load() == 0 && time.Since(s.started) > readinessDelay {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	s.drainHops(ctx)
	return s
}

// drainHops stops accepting hops, informs the other nodes, and waits until the hops in flight have
// ended or the stop limit is reached.
func (s *shutdown) drainHops(ctx context.Context) {
	n := s.node
	now := time.Now()
	if err := n.control.Do(ctx, func(st *state) { st.stopAt = now }); err != nil {
		n.log.Warn("failed to announce the end of the stop to the control loop", zap.Error(err))
	}
	n.beacons.requestBeacon()
	for time.Now().Before(s.end) && (n.hops.Load() > 0 || time.Since(now) < lastHopWait) {
		sleep(ctx, drainPollInterval)
	}
}

// close closes the listeners, serves the requests read by then, and closes the connections.
func (s *shutdown) close(ctx context.Context, servers []*http.Server) {
	s.closeIdle(ctx, servers)
	// A request that arrived just before the listeners were closed may run.
	for time.Now().Before(s.end) && s.inFlight() > 0 {
		sleep(ctx, drainPollInterval)
	}
	s.closeIdle(ctx, servers)
	s.node.log.Info("stopped", zap.Int64("cut_off", s.inFlight()), zap.Duration("took", time.Since(s.started)))
}

// inFlight returns the number of requests that have not ended.
func (s *shutdown) inFlight() int64 { return s.node.callers.Load() + s.node.hops.Load() }

// closeIdle closes the listeners and each connection as its request ends, for shutdownTimeout or until all
// connections must be closed.
func (s *shutdown) closeIdle(ctx context.Context, servers []*http.Server) {
	end := time.Now().Add(shutdownTimeout)
	if last := s.end.Add(stopMargin - exitMargin); last.Before(end) {
		end = last
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			// Requests still in flight at the deadline are cut off by Server.Close.
			_ = server.Shutdown(ctx)
		})
	}
	group.Wait()
}
