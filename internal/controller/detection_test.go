package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// node runs controllers step by step on a real board in virtual time.
type node struct {
	t               *testing.T
	board           *blackboard.Board
	detection       *controller.Detection
	ejection        *controller.Ejection
	now             time.Time
	lastRequest     uint64
	transitions     []detect.Transition
	standingChanges []controller.StandingChange
}

// newNode returns a node with one server "a" and a peer node "other". Virtual time starts in the
// past, so that every requested ejection has settled by the wall clock of the snapshot.
func newNode(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, now: time.Now().Add(-time.Hour)}
	n.board = blackboard.New(fleet.NodeRecord{ID: "self", Servers: []fleet.ServerRecord{
		{ID: "a", Service: "s", Slots: 6, Health: fleet.Healthy},
	}})
	n.detection = controller.NewDetection(controller.DetectionOptions{
		OnTransition: func(_ controller.Subject, tr detect.Transition) { n.transitions = append(n.transitions, tr) },
	})
	n.ejection = controller.NewEjection(func(c controller.StandingChange) { n.standingChanges = append(n.standingChanges, c) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.board.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	n.call(func(e *blackboard.Entries) {
		e.PutNode(&fleet.NodeRecord{ID: "other", Version: fleet.Version{Sequence: 1}, Servers: []fleet.ServerRecord{
			{ID: "b", Service: "s", Slots: 6, Health: fleet.Healthy, Observed: fleet.Observed{Median: 37, Spread: 5}},
		}})
	})
	return n
}

func (n *node) call(f func(*blackboard.Entries)) {
	n.t.Helper()
	if err := n.board.Call(context.Background(), f); err != nil {
		n.t.Fatal(err)
	}
}

// step advances virtual time by one tick and runs both controllers.
func (n *node) step() {
	n.t.Helper()
	n.now = n.now.Add(blackboard.TickInterval)
	n.call(func(e *blackboard.Entries) {
		e.TickGap = blackboard.TickInterval
		n.detection.Step(n.now, e)
		n.ejection.Step(n.now, e)
	})
}

// sendRequests emits two finished requests to a target in each tick.
func (n *node) sendRequests(target string, ticks int, result detect.Result) {
	n.t.Helper()
	for range ticks {
		for range 2 {
			n.lastRequest++
			n.detection.Emit(detect.Event{Target: target, Service: "s", Request: n.lastRequest, At: n.now})
			n.detection.Emit(detect.Event{Target: target, Service: "s", Request: n.lastRequest, At: n.now.Add(50 * time.Millisecond),
				Finished: true, Result: result, Latency: 50 * time.Millisecond})
		}
		n.step()
	}
}

// server returns the record of the attached server. It reads the entries on the control
// goroutine, because the view is published only after Call returns.
func (n *node) server() fleet.ServerRecord {
	n.t.Helper()
	var out fleet.ServerRecord
	n.call(func(e *blackboard.Entries) {
		if server, ok := e.Self().Server("a"); ok {
			out = *server
		}
	})
	return out
}

// waitForPath waits until PathDown of the server at the other node has the given value.
func (n *node) waitForPath(down bool) {
	n.t.Helper()
	for range 1000 {
		if candidate, ok := n.board.View().Find("s", "b"); ok && candidate.PathDown == down {
			return
		}
		time.Sleep(time.Millisecond)
	}
	n.t.Fatalf("PathDown did not become %v in the view", down)
}

// TestEjectionIsRequestedAndReleased guards against a detected failure that does not reach the
// node's record, and against a reservation in the ejection budget that is never released or is
// released before every node has learned of the return.
func TestEjectionIsRequestedAndReleased(t *testing.T) {
	n := newNode(t)
	n.sendRequests("a", 50, detect.Success)
	if n.server().Observed.Median == 0 {
		t.Error("no summary was published")
	}
	n.sendRequests("a", 10, detect.Failure)
	asked := n.server()
	if asked.Health != fleet.Ejected || asked.EjectionRequestedAt.IsZero() || asked.HealthSince.IsZero() {
		t.Fatalf("record after failures: %+v", asked)
	}
	for n.server().Health == fleet.Ejected {
		n.step()
	}
	n.sendRequests("a", 15, detect.Success)
	returned := n.server()
	if returned.Health != fleet.Healthy || !returned.EjectionRequestedAt.Equal(asked.EjectionRequestedAt) {
		t.Fatalf("record after successes: %+v", returned)
	}
	for n.now.Before(returned.HealthSince.Add(eject.SettleTime)) {
		n.step()
	}
	if server := n.server(); !server.EjectionRequestedAt.IsZero() {
		t.Fatalf("the reservation was not released %v after the return", n.now.Sub(returned.HealthSince))
	}
	if len(n.transitions) == 0 || len(n.standingChanges) == 0 {
		t.Fatalf("transitions %v or standing changes %v were not reported", n.transitions, n.standingChanges)
	}
}

// TestReplacedRecordIsCorrected guards against an announcement that resets the health of an
// ejected server.
func TestReplacedRecordIsCorrected(t *testing.T) {
	n := newNode(t)
	n.sendRequests("a", 50, detect.Success)
	n.sendRequests("a", 10, detect.Failure)
	n.call(func(e *blackboard.Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool {
			r.Servers[0] = fleet.ServerRecord{ID: "a", Service: "s", Slots: 6, Health: fleet.Healthy}
			return true
		})
	})
	n.step()
	if server := n.server(); server.Health != fleet.Ejected || server.EjectionRequestedAt.IsZero() {
		t.Fatalf("record after an announcement: %+v", server)
	}
}

// TestFailedPathIsMarkedDown guards against a failed path that is not marked at the candidates,
// and against a path that stays down after its hold time.
func TestFailedPathIsMarkedDown(t *testing.T) {
	n := newNode(t)
	n.sendRequests("other", 20, detect.Success)
	n.sendRequests("other", 10, detect.Failure)
	n.waitForPath(true)
	for range int(detect.PathParams().Hold/blackboard.TickInterval) + 1 {
		n.step()
	}
	n.waitForPath(false)
}

// TestDroppedEventsCauseNoEjection guards against the ejection of a server whose requests seem
// to run forever because the events of their end were dropped at the full queue.
func TestDroppedEventsCauseNoEjection(t *testing.T) {
	n := newNode(t)
	n.sendRequests("a", 50, detect.Success)
	for n.detection.Dropped() == 0 {
		n.lastRequest++
		n.detection.Emit(detect.Event{Target: "a", Service: "s", Request: n.lastRequest, At: n.now})
	}
	for range 100 {
		n.step()
		n.detection.Emit(detect.Event{Target: "other", Service: "s", Request: 1, At: n.now, Finished: true, Latency: 50 * time.Millisecond})
	}
	if server := n.server(); server.Health != fleet.Healthy {
		t.Fatalf("health %s after dropped events", server.Health)
	}
}
