package beacon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/gate"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func anyReport(t *rapid.T) AgedReport {
	number := func(name string) int { return rapid.IntRange(0, 1e6).Draw(t, name) }
	ms := func(name string) time.Duration { return time.Duration(number(name)) * time.Millisecond }
	r := AgedReport{Age: ms("age"), Report: Report{
		Node: NodeHash(rapid.Uint32().Draw(t, "node")), FollowsStore: rapid.Bool().Draw(t, "follows"), Stamp: rapid.Uint32().Draw(t, "stamp"),
		Load: gate.Load{
			Running: number("running"), Slots: number("slots"), FailureProbability: float64(rapid.IntRange(0, probabilityScale).Draw(t, "doubt")) / probabilityScale,
			Service: ms("service"), TrialIn: ms("trial"), RetriesLeft: number("repeats"), CallPercent: number("calls"), StopsIn: ms("ends"), SinceLastUse: ms("quiet"),
			Open: rapid.Bool().Draw(t, "open"), Cold: rapid.Bool().Draw(t, "cold"),
		},
	}}
	for i := range r.Load.Waiting {
		r.Load.Waiting[i] = number("waiting")
	}
	if r.Load.CallPercent > 0 {
		r.Load.WorkService = ms("work")
	}
	if rapid.Bool().Draw(t, "rate limited") {
		r.Load.RateInterval, r.Load.RateTokens = ms("interval")+time.Millisecond, float64(number("tokens"))
	}
	return r
}

func TestDatagramsArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Datagram{
			Sender: NodeHash(rapid.Uint32().Draw(t, "sender")), Version: rapid.Uint64().Draw(t, "version"), Members: currency.Revision{Era: rapid.Uint64().Draw(t, "era"), Version: rapid.Uint64().Draw(t, "members")}, Forward: rapid.Bool().Draw(t, "pass on"),
			Reports: rapid.SliceOfN(rapid.Custom(anyReport), 0, 120).Draw(t, "reports"),
		}
		var got []AgedReport
		for _, part := range sent.Encode() {
			if len(part) > MaxBytes {
				t.Fatalf("a datagram has %d bytes", len(part))
			}
			d, ok := Decode(part)
			if !ok || d.Sender != sent.Sender || d.Version != sent.Version || d.Members != sent.Members || d.Forward != sent.Forward {
				t.Fatalf("sent %+v, got %+v", sent, d)
			}
			got = append(got, d.Reports...)
		}
		if len(got) != len(sent.Reports) {
			t.Fatalf("sent %d reports, got %d", len(sent.Reports), len(got))
		}
		for i := range got {
			if diff := got[i].Load.FailureProbability - sent.Reports[i].Load.FailureProbability; diff > 1e-3 || diff < -1e-3 {
				t.Fatalf("failure probability %v, sent %v", got[i].Load.FailureProbability, sent.Reports[i].Load.FailureProbability)
			}
			got[i].Load.FailureProbability = sent.Reports[i].Load.FailureProbability
			if got[i] != sent.Reports[i] {
				t.Fatalf("sent %+v, got %+v", sent.Reports[i], got[i])
			}
		}
	})
}

// With seven data centres of 71 nodes, the size of a digest determines the cost of control traffic
// between data centres, so a usual report takes at most 30 bytes.
func TestAUsualReportIsShort(t *testing.T) {
	g := NewWithT(t)
	usual := AgedReport{Age: 150 * time.Millisecond, Report: Report{Load: gate.Load{
		Open: true, Running: 12, Slots: 13, FailureProbability: 0.31, Service: 1300 * time.Millisecond, TrialIn: 150 * time.Millisecond,
		RetriesLeft: 20, SinceLastUse: 200 * time.Millisecond, Waiting: [gate.PriorityLevels]int{1, 9, 20, 0},
	}}}
	g.Expect(len(usual.append(nil))).To(BeNumerically("<=", 30))
}

// Datagrams can arrive late, twice and by several routes.
func TestTheNewestReportWins(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	update := func(at time.Duration, stamp uint32, age time.Duration) bool {
		return table.Update(start.Add(at), AgedReport{Report: Report{Node: 1, Stamp: stamp}, Age: age})
	}
	g.Expect(update(0, 5, 0)).To(BeTrue())
	g.Expect(update(0, 5, 0)).To(BeFalse(), "duplicate")
	g.Expect(update(0, 4, 0)).To(BeFalse(), "late")
	g.Expect(update(time.Millisecond, 1<<31+4, 0)).To(BeTrue(), "newer")
	g.Expect(update(2*time.Millisecond, 2, 0)).To(BeTrue(), "newer, after the stamp wrapped around")
	g.Expect(update(StampExpiry+2*time.Millisecond, 1, 0)).To(BeTrue(), "a restarted node whose clock was set back")
}

func TestOldReportsAreNotSentOn(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Update(start, AgedReport{Report: Report{Node: 1, Stamp: 1}, Age: time.Second})
	table.Update(start, AgedReport{Report: Report{Node: 2, Stamp: 1}})
	later := start.Add(500 * time.Millisecond)
	g.Expect(table.Fresh(later, []NodeHash{1, 2, 3})).To(HaveExactElements(AgedReport{Report: Report{Node: 2, Stamp: 1}, Age: 500 * time.Millisecond}))
}

// Input from other nodes must not crash the node.
func FuzzDatagram(f *testing.F) {
	for _, part := range (Datagram{Sender: 1, Version: 2, Reports: []AgedReport{{Age: time.Second}}}).Encode() {
		f.Add(part)
	}
	f.Add([]byte("T2"))
	f.Fuzz(func(_ *testing.T, b []byte) { Decode(b) })
}
