package pick

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/gate"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	nodes = []Candidate{
		{ID: "near", DataCentre: "a", Region: "r"},
		{ID: "far", DataCentre: "b", Region: "r"},
	}
)

func zero() float64 { return 0 }

func sound(running int) gate.Load {
	return gate.Load{Open: true, Running: running, Slots: 6, Service: 500 * time.Millisecond}
}

// chosen returns the node for a query, empty if there is none.
func chosen(p *Picker, q Query) string {
	q.Objective = 2 * time.Second
	choice, ok := p.Choose(start, zero, nodes, q)
	if !ok {
		return ""
	}
	return nodes[choice.Index].ID
}

func TestTheNearNodeIsChosenWhileItIsSound(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", sound(2))
	p.Report(start, "far", sound(0))
	g.Expect(chosen(p, Query{})).To(Equal("near"))

	doubtful := sound(2)
	doubtful.FailureProbability = 0.5
	p.Report(start, "near", doubtful)
	g.Expect(chosen(p, Query{})).To(Equal("far"), "a failed booking costs more than the way")
}

func TestAFullNodeIsLeftForAFarOne(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", sound(6))
	p.Report(start, "far", sound(1))
	g.Expect(chosen(p, Query{})).To(Equal("far"))
	p.Report(start, "far", sound(5))
	g.Expect(chosen(p, Query{})).To(BeEmpty(), "the last slot of a far node may be gone")
	g.Expect(chosen(p, Query{MaxWait: time.Second})).NotTo(BeEmpty())
}

// Urgent work is not kept away by the less urgent work that waits.
func TestTheWaitCountsOnlyWorkThatGoesBefore(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	full := sound(6)
	full.Waiting = [gate.PriorityLevels]int{0, 0, 20, 0}
	p.Report(start, "near", full)
	p.Report(start, "far", full)
	q := Query{MaxWait: 500 * time.Millisecond}
	q.Priority = 2
	g.Expect(chosen(p, q)).To(BeEmpty())
	q.Priority = 1
	g.Expect(chosen(p, q)).To(Equal("near"))
}

func TestDoubtfulNodesGetOnlyTrials(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	failing := sound(0)
	failing.FailureProbability = 0.95
	p.Report(start, "near", failing)
	p.Report(start, "far", gate.Load{})
	g.Expect(chosen(p, Query{})).To(BeEmpty(), "a booking")
	g.Expect(chosen(p, Query{Idempotent: true, LastAttempt: true})).To(BeEmpty(), "a lookup that cannot be repeated")
	g.Expect(chosen(p, Query{Idempotent: true})).To(Equal("near"), "a trial")
	g.Expect(chosen(p, Query{Idempotent: true})).To(BeEmpty(), "a second one beside it")
}

func TestAnUnreachableNodeIsLeftOutForAPauseThatGrows(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.MarkUnreachable(start, "near")
	g.Expect(chosen(p, Query{})).To(Equal("far"))
	g.Expect(p.NextAvailable(start, nodes[:1])).To(Equal(minPause))
	p.MarkUnreachable(start, "near")
	g.Expect(p.NextAvailable(start, nodes[:1])).To(Equal(2 * minPause))
	p.Report(start, "near", sound(0))
	g.Expect(p.NextAvailable(start, nodes[:1])).To(BeZero())
}

// A server that failed some time ago is tried by requests that can run again, from
// its own data centre only: with many servers some are always without a result, and
// bytes between data centres are dear.
func TestAServerWithoutResultsIsTriedFromItsDataCentre(t *testing.T) {
	g := NewWithT(t)
	quiet, used := sound(0), sound(2)
	quiet.FailureProbability, quiet.SinceLastResult = 0.3, 2*quietTime
	p := New("a", "r")
	p.Report(start, "near", quiet)
	p.Report(start, "far", used)
	g.Expect(chosen(p, Query{})).To(Equal("far"), "a booking")
	g.Expect(chosen(p, Query{Idempotent: true})).To(Equal("near"), "a lookup")
	p = New("b", "r")
	p.Report(start, "near", quiet)
	p.Report(start, "far", used)
	g.Expect(chosen(p, Query{Idempotent: true})).To(Equal("far"), "from another data centre")
}

// The pattern: full servers at home, free ones in another data centre, and answers or
// uploads of several kB, whose bytes on the way there are dear. A request waits at home
// as long as the way is worth, and no longer than it can.
func TestAShortWaitAtHomeSparesTheWay(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	full := sound(6)
	p.Report(start, "near", full)
	p.Report(start, "far", sound(0))
	g.Expect(chosen(p, Query{LocalMaxWait: time.Second})).To(Equal("far"), "a small answer is worth no wait")
	g.Expect(chosen(p, Query{LocalMaxWait: time.Second, Bytes: 8 << 10})).To(Equal("near"))
	g.Expect(chosen(p, Query{Bytes: 8 << 10})).To(Equal("far"), "without time to wait")

	full.Waiting[0] = 12
	p.Report(start, "near", full)
	g.Expect(chosen(p, Query{LocalMaxWait: 2 * time.Second, Bytes: 8 << 10})).To(Equal("far"), "a long wait")
}
