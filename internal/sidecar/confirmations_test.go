package sidecar

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// confirming returns the confirmations of a node with version 3 in force, which asks the given nodes,
// and its clock.
func confirming(t *testing.T, ask func(to string) ([]byte, error), nodes ...string) (*confirmations, *time.Duration) {
	t.Helper()
	now := new(time.Duration)
	*now = time.Hour
	c := &confirmations{
		policy: currency.Policy{Within: 4 * time.Second}, control: NewControlLoop(Member{ID: "self"}, func(_, _ *View) {}),
		log: zap.NewNop(), metrics: discardedMetrics(t),
		clock:     func() (time.Duration, error) { return *now, nil },
		onVersion: func(uint64, string) {},
		ask:       func(_ context.Context, to netip.AddrPort) ([]byte, error) { return ask(to.String()) },
		candidates: func() (members []Member) {
			for _, addr := range nodes {
				members = append(members, Member{ID: addr, Beacon: addr})
			}
			return members
		},
	}
	c.control.apply(func(s *state) { s.config = &fleet.Config{Version: 3, Keys: &fleet.AccountKeys{}} })
	return c, now
}

// Guards against a node that gives up when the first watcher is lost, and against a proof that counts
// from the arrival of the reply: the node is suspended for 2 s while it waits.
func TestAProofCountsFromItsQuestion(t *testing.T) {
	g := NewWithT(t)
	other, clock := confirming(t, nil)
	other.add(currency.Proof{Version: 3, At: *clock - 500*time.Millisecond}, confirmedByStore)
	var now *time.Duration
	var asked []string
	c, now := confirming(t, func(to string) ([]byte, error) {
		asked = append(asked, to)
		if to == "10.0.0.1:1" {
			return nil, errNoReply
		}
		reply := other.answer(time.Time{}, 0, nil)
		*now += 2 * time.Second
		return reply, nil
	}, "10.0.0.1:1", "10.0.0.2:1")
	g.Expect(c.confirmed(3)).To(BeFalse(), "a node that has just started has no proof")
	c.askOthers(t.Context())
	g.Expect(asked).To(Equal([]string{"10.0.0.1:1", "10.0.0.2:1"}))
	age, proved := c.age()
	g.Expect(proved).To(BeTrue())
	g.Expect(age).To(Equal(2500 * time.Millisecond))
	g.Expect(c.confirmed(3)).To(BeTrue())
	*now += 501 * time.Millisecond
	g.Expect(c.confirmed(3)).To(BeFalse())
}

// Guards against a node that relies on a version after it has heard of a newer one, and against replies
// that cannot be read.
func TestAProofOfANewerVersionConfirmsNoOlderOne(t *testing.T) {
	g := NewWithT(t)
	other, clock := confirming(t, nil)
	other.add(currency.Proof{Version: 4, At: *clock}, confirmedByStore)
	for _, reply := range [][]byte{nil, {0xff}, {4}, {4, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, other.answer(time.Time{}, 0, nil)} {
		c, _ := confirming(t, func(string) ([]byte, error) { return reply, nil }, "10.0.0.1:1")
		c.askOthers(t.Context())
		g.Expect(c.confirmed(3)).To(BeFalse())
	}
}

func discardedMetrics(t *testing.T) *telemetry.Metrics {
	t.Helper()
	process, err := telemetry.NewForProcess(t.Context(), telemetry.Process{Name: "test", Log: io.Discard}, settings.Node{ID: "self"})
	if err != nil {
		t.Fatal(err)
	}
	return process.Metrics
}

// Guards against a node that asks only the watchers of its own data centre, which may be lost together,
// and against one that asks nobody while it hears no watcher.
func TestWatchersOfSeveralDataCentresAreAskedByTurns(t *testing.T) {
	g := NewWithT(t)
	self := Member{ID: "self", DataCentre: "a"}
	b := &beacons{self: self, control: NewControlLoop(self, func(_, _ *View) {}), table: beacon.NewTable()}
	rows := memberChanges{Revision: revisionOf(1), Complete: true}
	for id, dataCentre := range map[string]string{"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "c-1": "c", "c-2": "c"} {
		rows.Rows = append(rows.Rows, memberRow{Member: Member{ID: id, DataCentre: dataCentre, Beacon: "10.0.0.1:1"}, Revision: revisionOf(1)})
	}
	b.control.apply(func(s *state) { s.mergeMembers(rows) })
	places := func() (places string) {
		for _, member := range b.confirmCandidates() {
			places += member.DataCentre
		}
		return places
	}
	g.Expect(places()).To(HaveLen(6))
	for _, id := range []string{"a-1", "a-2", "b-1"} {
		b.table.Update(time.Now(), beacon.AgedReport{Report: beacon.Report{Node: beacon.HashNode(id), FollowsStore: true}})
	}
	g.Expect(places()).To(HavePrefix("aba"))
	g.Expect(places()).To(HaveLen(6))
}
