package sidecar

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/registration"
)

var leftServer = registration.Incarnation{ID: "s", StartedMs: 7}

// restartWithLateReport starts a process of node 1 whose store has no departure, and lets a report of leftServer arrive
// late, as in review case 3.
func (f *keeperFleet) restartWithLateReport(ctx context.Context, nodes int) (*departureKeeper, *ControlLoop) {
	f.t.Helper()
	g := NewWithT(f.t)
	keeper, control := f.start(1, nodes, false, &rowStore{})
	g.Expect(control.Do(ctx, func(s *state) {
		s.registry.AwaitDepartures()
		s.heartbeat(time.Now(), registration.Report{ID: leftServer.ID, StartedMs: leftServer.StartedMs, Sequence: 9, Service: "measures", Addr: "x", Slots: 1})
	})).To(Succeed())
	g.Expect(keeper.restoreRow(ctx)).To(BeTrue())
	return keeper, control
}

// expectLeft waits until the node has the departure of leftServer, and checks that the server was never in use.
func (f *keeperFleet) expectLeft(control *ControlLoop) {
	f.t.Helper()
	g := NewWithT(f.t)
	g.Eventually(func() bool { return control.View().Server.Leaving }, "10s", "5ms").Should(BeTrue())
	g.Expect(f.wasUsed(1)).To(BeFalse(), "the server was in use before the node knew of its departure")
}

// Guards against a departure that is forgotten because its two holders are among the nodes that answer late: answers of
// half of the nodes were taken for enough (review, case 3).
func TestAnswersOfHalfOfTheNodesAreNotEnough(t *testing.T) {
	ctx := t.Context()
	f := newKeeperFleet(t)
	const nodes = 11
	for node := 2; node <= nodes; node++ {
		keeper, _ := f.start(node, nodes, true, &rowStore{})
		if node <= 3 {
			keeper.held.hold(heldDeparture{Node: "n1", Departed: leftServer})
		}
	}
	f.setCut(true, 2, 3)
	keeper, control := f.restartWithLateReport(ctx, nodes)
	go keeper.askHolders(ctx)
	time.Sleep(500 * time.Millisecond)
	f.setCut(false, 2, 3)
	f.expectLeft(control)
}

// Guards against a departure that is forgotten because no node answers for some time, on slow processors or
// while the network is cut: the node stopped to wait after 1.5 s (review, case 3).
func TestSilenceOfTheOtherNodesProvesNothing(t *testing.T) {
	ctx := t.Context()
	f := newKeeperFleet(t)
	for node := 2; node <= 4; node++ {
		keeper, _ := f.start(node, 4, true, &rowStore{})
		keeper.held.hold(heldDeparture{Node: "n1", Departed: leftServer})
	}
	// Nothing is heard of the other nodes either.
	f.heard = func(string) bool { return false }
	f.setCut(true, 1)
	keeper, control := f.restartWithLateReport(ctx, 4)
	go keeper.askHolders(ctx)
	time.Sleep(2 * time.Second)
	f.setCut(false, 1)
	f.expectLeft(control)
}

// Guards against a departure that is forgotten because its holders are not asked: a node that was alone in its data centre
// gave it to nodes of others, and has others beside it when it asks (review, case 3).
func TestHoldersOfOtherDataCentresAreAsked(t *testing.T) {
	ctx := t.Context()
	f := newKeeperFleet(t)
	const remote, nodes = 11, 14
	for node := 2; node <= remote; node++ {
		f.dataCentres[node] = "b"
		f.start(node, remote, true, &rowStore{})
	}
	alone, _ := f.start(1, remote, true, &rowStore{down: true})
	NewWithT(t).Expect(alone.saveAndWait(ctx, leftServer)).To(BeTrue())
	for node := remote + 1; node <= nodes; node++ {
		f.start(node, nodes, true, &rowStore{})
	}
	keeper, control := f.restartWithLateReport(ctx, nodes)
	go keeper.askHolders(ctx)
	f.expectLeft(control)
}

// Guards against a departure that stays unknown because the restarted node does not know its holders yet when it asks.
func TestNodesThatBecomeKnownLaterAreAsked(t *testing.T) {
	ctx := t.Context()
	g := NewWithT(t)
	f := newKeeperFleet(t)
	for node := 2; node <= 5; node++ {
		keeper, _ := f.start(node, 5, true, &rowStore{})
		if node >= 4 {
			keeper.held.hold(heldDeparture{Node: "n1", Departed: leftServer})
		}
	}
	f.setCut(true, 2, 3)
	keeper, control := f.restartWithLateReport(ctx, 3)
	go keeper.askHolders(ctx)
	time.Sleep(300 * time.Millisecond)
	f.setMembers(control, 2, 5)
	f.expectLeft(control)
	g.Expect(hasLeft(control, leftServer)).To(BeTrue())
}

// Guards against a departure that outlives one restart and not the next, because its holders have ended in between: what
// a holder tells is saved again, and a holder that stops passes on what it holds.
func TestADepartureOutlivesItsHolders(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	f := newKeeperFleet(t)
	keepers := map[int]*departureKeeper{}
	for node := 2; node <= 4; node++ {
		keepers[node], _ = f.start(node, 4, true, &rowStore{})
	}
	keepers[2].held.hold(heldDeparture{Node: "n1", Departed: leftServer})
	keepers[2].passOn(ctx)
	f.setCut(true, 2)
	store := &rowStore{}
	keeper, control := f.start(1, 4, false, store)
	keeper.askHolders(ctx)
	g.Expect(hasLeft(control, leftServer)).To(BeTrue())
	// All holders end.
	g.Eventually(func() bool {
		next, control := f.start(1, 1, false, store)
		return next.restoreRow(ctx) && hasLeft(control, leftServer)
	}, "5s").Should(BeTrue())
}

// Guards against a node that waits forever for nodes that have ended, and against one that does not wait for a node that
// runs.
func TestWhenAnswersAreConclusive(t *testing.T) {
	peers := func(n int) []peer {
		var list []peer
		for i := range n {
			list = append(list, peer{id: fmt.Sprint(i)})
		}
		return list
	}
	for _, c := range []struct {
		asked, answered int
		// ended is the number of nodes among the unanswered ones that have ended; -1 if that is not known.
		ended int
		want  bool
	}{
		{asked: 0, ended: -1, want: true},
		{asked: 1, ended: -1},
		{asked: 1, answered: 1, ended: -1, want: true},
		{asked: 2, answered: 1, ended: -1},
		{asked: 2, answered: 1, ended: 1, want: true},
		{asked: 3, answered: 2, ended: -1, want: true},
		{asked: 10, answered: 9, ended: -1, want: true},
		{asked: 10, answered: 8, ended: -1},
		{asked: 10, answered: 8, ended: 0},
		{asked: 10, answered: 8, ended: 1},
		{asked: 10, answered: 8, ended: 2, want: true},
		{asked: 10, answered: 5, ended: 5, want: true},
		{asked: 10, answered: 4, ended: 6},
		{asked: 10, answered: 0, ended: 10},
	} {
		asked := peers(c.asked)
		survey := departureSurvey{}
		for _, p := range asked[:c.answered] {
			survey[p.id] = true
		}
		var ended func(string) bool
		if c.ended >= 0 {
			gone := map[string]bool{}
			for _, p := range asked[c.answered : c.answered+c.ended] {
				gone[p.id] = true
			}
			ended = func(id string) bool { return gone[id] }
		}
		NewWithT(t).Expect(survey.conclusive(asked, ended)).To(Equal(c.want), "%+v", c)
	}
}
