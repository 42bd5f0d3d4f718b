package sidecar

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// rowStore holds the row of one node. It refuses all calls while it is down.
type rowStore struct {
	Source
	mu   sync.Mutex
	row  platform.Row
	down bool
	// delay is the time that a write takes.
	delay time.Duration
}

func (s *rowStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *rowStore) Get(context.Context, string, string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return platform.Row{}, platform.ErrUnavailable
	case s.row.Version == 0:
		return platform.Row{}, platform.ErrNotFound
	}
	return s.row, nil
}

func (s *rowStore) Transact(_ context.Context, _ string, checks []platform.Check, writes []platform.Write) error {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return platform.ErrUnavailable
	case checks[0].Version != s.row.Version:
		return platform.ErrConflict
	}
	s.row.Version++
	s.row.Value = writes[0].Value
	return nil
}

// keeperFleet is a data centre of nodes that exchange calls in memory.
type keeperFleet struct {
	t     *testing.T
	mu    sync.Mutex
	calls map[netip.AddrPort]*calls
	// cut nodes receive no datagrams.
	cut map[netip.AddrPort]bool
	// dataCentres are those of the nodes; "a" if a node is absent.
	dataCentres map[int]string
	// heard tells of which nodes reports have been heard; nil while that is unknown.
	heard func(id string) bool
	// used is set for the nodes that have had a server in use.
	used map[int]bool
}

func newKeeperFleet(t *testing.T) *keeperFleet {
	return &keeperFleet{t: t, calls: map[netip.AddrPort]*calls{}, cut: map[netip.AddrPort]bool{}, dataCentres: map[int]string{}, used: map[int]bool{}}
}

func beaconAddr(node int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", node))
}

// start starts a process of a node that knows nodes nodes, the first of them number 1.
func (f *keeperFleet) start(node, nodes int, firstStart bool, source Source) (*departureKeeper, *ControlLoop) {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	control := NewControlLoop(f.member(node), func(_, after *View) {
		if s := after.Server; s.ID != "" && !s.Leaving && !s.Unconfirmed {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.used[node] = true
		}
	})
	go control.Run(ctx)
	addr := beaconAddr(node)
	c := newCalls(f.member(node), zap.NewNop(), func(data []byte, to netip.AddrPort) error {
		f.mu.Lock()
		target := f.calls[to]
		if f.cut[to] || f.cut[addr] {
			target = nil
		}
		f.mu.Unlock()
		if target != nil {
			go target.receive(time.Now(), append([]byte(nil), data...), addr)
		}
		return nil
	})
	heardWithin := func(time.Duration) func(string) bool { return f.heard }
	keeper := newDepartureKeeper(f.member(node).ID, firstStart, source, control, c, heardWithin, zap.NewNop())
	f.mu.Lock()
	f.calls[addr] = c
	f.mu.Unlock()
	f.setMembers(control, 1, nodes)
	return keeper, control
}

func (f *keeperFleet) member(node int) Member {
	dataCentre := f.dataCentres[node]
	if dataCentre == "" {
		dataCentre = "a"
	}
	return Member{ID: fmt.Sprintf("n%d", node), Beacon: beaconAddr(node).String(), DataCentre: dataCentre, Service: "measures"}
}

// setMembers tells a node of the nodes up to a number, by a read of the table at a version.
func (f *keeperFleet) setMembers(control *ControlLoop, version uint64, nodes int) {
	f.t.Helper()
	changes := memberChanges{Revision: revisionOf(version), Complete: true}
	for i := 1; i <= nodes; i++ {
		changes.Rows = append(changes.Rows, memberRow{Member: f.member(i), Revision: revisionOf(version)})
	}
	if err := control.Do(context.Background(), func(s *state) { s.mergeMembers(changes) }); err != nil {
		f.t.Fatal(err)
	}
}

// setCut cuts nodes off, or ends that.
func (f *keeperFleet) setCut(cut bool, nodes ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range nodes {
		f.cut[beaconAddr(node)] = cut
	}
}

// wasUsed reports whether a node has had a server in use.
func (f *keeperFleet) wasUsed(node int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used[node]
}

func hasLeft(control *ControlLoop, incarnation registration.Incarnation) bool {
	left := false
	_ = control.Do(context.Background(), func(s *state) {
		for _, departed := range s.registry.Departed() {
			left = left || departed == incarnation
		}
	})
	return left
}

// Guards against an acknowledged departure that a restart of the node forgets while the store is
// down (review, case 3).
func TestADepartureOutlivesItsProcessWithoutTheStore(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newKeeperFleet(t)
	store := &rowStore{down: true}
	for node := 2; node <= 4; node++ {
		f.start(node, 4, true, &rowStore{})
	}
	departed := registration.Incarnation{ID: "s", StartedMs: 7}
	keeper, _ := f.start(1, 4, true, store)
	g.Expect(keeper.saveAndWait(ctx, departed)).To(BeTrue())
	next, control := f.start(1, 4, false, &rowStore{})
	g.Expect(next.restoreRow(ctx)).To(BeTrue())
	next.askHolders(ctx)
	g.Expect(hasLeft(control, departed)).To(BeTrue())
}

// Guards against an acknowledgement that binds only the process that gave it.
func TestADepartureThatNothingElseHoldsIsNotAcknowledged(t *testing.T) {
	g := NewWithT(t)
	f := newKeeperFleet(t)
	f.start(2, 2, true, &rowStore{})
	f.cut[beaconAddr(1)] = true
	store := &rowStore{down: true}
	keeper, _ := f.start(1, 2, true, store)
	departed := registration.Incarnation{ID: "s", StartedMs: 7}
	g.Expect(keeper.saveAndWait(context.Background(), departed)).To(BeFalse())
	store.setDown(false)
	g.Eventually(func() bool { return keeper.saveAndWait(context.Background(), departed) }, "5s").Should(BeTrue())
}

// Guards against a row in which the departure of one incarnation replaces that of another.
func TestTheRowHoldsTheDeparturesOfSeveralIncarnations(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newKeeperFleet(t)
	// An earlier version of the program wrote a single incarnation.
	store := &rowStore{row: platform.Row{Version: 3, Value: []byte(`{"id":"old","born":1}`)}}
	keeper, _ := f.start(1, 1, false, store)
	var group sync.WaitGroup
	for i := range 3 {
		group.Go(func() { keeper.saveAndWait(ctx, registration.Incarnation{ID: "s", StartedMs: int64(i)}) })
	}
	group.Wait()
	next, control := f.start(1, 1, false, store)
	g.Expect(next.restoreRow(ctx)).To(BeTrue())
	for _, left := range []registration.Incarnation{{ID: "old", StartedMs: 1}, {ID: "s", StartedMs: 0}, {ID: "s", StartedMs: 1}, {ID: "s", StartedMs: 2}} {
		g.Expect(hasLeft(control, left)).To(BeTrue(), "%v", left)
	}
}

// Guards against a server that is used after one late report although the other nodes, which may hold
// its departure, have not been asked yet.
func TestAStartedNodeAsksTheOthersBeforeItUsesAServer(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	f := newKeeperFleet(t)
	keeper, control := f.start(1, 1, false, &rowStore{})
	g.Expect(control.Do(ctx, func(s *state) {
		s.registry.AwaitDepartures()
		s.heartbeat(time.Now(), registration.Report{ID: "s", StartedMs: 1, Sequence: 1, Service: "measures", Addr: "x", Slots: 1})
	})).To(Succeed())
	g.Expect(keeper.restoreRow(ctx)).To(BeTrue())
	unconfirmed := func() bool {
		g.Expect(control.Do(ctx, func(*state) {})).To(Succeed())
		return control.View().Server.Unconfirmed
	}
	g.Expect(unconfirmed()).To(BeTrue())
	keeper.askHolders(ctx)
	g.Expect(unconfirmed()).To(BeFalse())
}

// Guards against a departure without a start time that loses the time by which its server had started on the way: in
// a hop, at the nodes that hold it, or in the row. It would then stand for no incarnation.
func TestADepartureWithoutAStartTimeKeepsItsBound(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	departed := registration.Incarnation{ID: "by;s", StartedByMs: 7}
	for _, incarnation := range []registration.Incarnation{departed, {ID: "s", StartedMs: 7}, {ID: "s"}} {
		g.Expect(decodeIncarnation(encodeIncarnation(incarnation))).To(HaveValue(Equal(incarnation)))
	}
	for _, invalid := range []string{"", "by", "by;s", "by7", "7", "x;s"} {
		g.Expect(decodeIncarnation(invalid)).To(BeNil(), invalid)
	}

	f := newKeeperFleet(t)
	row, lost := &rowStore{}, &rowStore{down: true}
	for node := 2; node <= 3; node++ {
		f.start(node, 3, true, &rowStore{})
	}
	for _, store := range []*rowStore{row, lost} {
		keeper, _ := f.start(1, 3, true, store)
		g.Expect(keeper.saveAndWait(ctx, departed)).To(BeTrue())
	}
	g.Eventually(func() string { row.mu.Lock(); defer row.mu.Unlock(); return string(row.row.Value) }).Should(ContainSubstring(`"born_by":7`))
	fromRow, control := f.start(1, 1, false, row)
	g.Expect(fromRow.restoreRow(ctx)).To(BeTrue())
	g.Expect(hasLeft(control, departed)).To(BeTrue())
	fromHolders, control := f.start(1, 3, false, &rowStore{})
	fromHolders.askHolders(ctx)
	g.Expect(hasLeft(control, departed)).To(BeTrue())
}

// Guards against an acknowledged departure that is lost because all processes end right after the acknowledgement: nodes
// that hold it answer sooner than the store.
func TestAnAcknowledgementWaitsForAStoreThatAnswers(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	f := newKeeperFleet(t)
	for node := 2; node <= 4; node++ {
		f.start(node, 4, true, &rowStore{})
	}
	departed := registration.Incarnation{ID: "s", StartedMs: 7}
	slow := &rowStore{delay: 100 * time.Millisecond}
	keeper, _ := f.start(1, 4, true, slow)
	g.Expect(keeper.saveAndWait(ctx, departed)).To(BeTrue())
	slow.mu.Lock()
	g.Expect(string(slow.row.Value)).To(ContainSubstring(`"born":7`))
	slow.mu.Unlock()

	for name, store := range map[string]*rowStore{"refuses": {down: true}, "does not answer": {delay: time.Minute}} {
		keeper, _ = f.start(1, 4, true, store)
		started := time.Now()
		g.Expect(keeper.saveAndWait(ctx, departed)).To(BeTrue(), name)
		g.Expect(time.Since(started)).To(BeNumerically("<", time.Second), "the server waits a second; the store %s", name)
	}
}

// Guards against a departure that counts as held by a node that could not read the call.
func TestAnUnreadableCallHoldsNoDeparture(t *testing.T) {
	g := NewWithT(t)
	f := newKeeperFleet(t)
	f.start(2, 2, true, &rowStore{})
	keeper, _ := f.start(1, 2, true, &rowStore{})
	g.Expect(keeper.askToHold(t.Context(), keeper.holders()[0], []byte("no departure"))).To(BeFalse())
	g.Expect(keeper.askToHold(t.Context(), keeper.holders()[0], []byte(`{"node":"n1","departed":{"id":"s","born":7}}`))).To(BeTrue())
}
