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

func healthy(running int) gate.Load {
	return gate.Load{Open: true, Running: running, Slots: 6, Service: 500 * time.Millisecond}
}

// chosen returns the ID of the node chosen for a query; empty if there is none.
func chosen(p *Picker, q Query) string {
	q.Objective = 2 * time.Second
	choice, ok := p.Choose(start, zero, nodes, q)
	if !ok {
		return ""
	}
	return nodes[choice.Index].ID
}

func TestTheNearNodeIsChosenWhileItIsHealthy(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", healthy(2))
	p.Report(start, "far", healthy(0))
	g.Expect(chosen(p, Query{})).To(Equal("near"))

	failing := healthy(2)
	failing.FailureProbability = 0.5
	p.Report(start, "near", failing)
	g.Expect(chosen(p, Query{})).To(Equal("far"), "a failed booking costs more than the transfer")
}

func TestAFarNodeIsChosenWhenTheNearOneIsFull(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.Report(start, "near", healthy(6))
	p.Report(start, "far", healthy(1))
	g.Expect(chosen(p, Query{})).To(Equal("far"))
	p.Report(start, "far", healthy(5))
	g.Expect(chosen(p, Query{})).To(BeEmpty(), "the last slot of a far node may be gone")
	g.Expect(chosen(p, Query{MaxWait: time.Second})).NotTo(BeEmpty())
}

// Urgent requests are not kept out by less urgent ones that wait.
func TestTheWaitCountsOnlyRequestsThatRunBefore(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	full := healthy(6)
	full.Waiting = [gate.PriorityLevels]int{0, 0, 20, 0}
	p.Report(start, "near", full)
	p.Report(start, "far", full)
	q := Query{MaxWait: 500 * time.Millisecond}
	q.Priority = 2
	g.Expect(chosen(p, q)).To(BeEmpty())
	q.Priority = 1
	g.Expect(chosen(p, q)).To(Equal("near"))
}

func TestUnhealthyNodesGetOnlyTrials(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	failing := healthy(0)
	failing.FailureProbability = 0.95
	p.Report(start, "near", failing)
	p.Report(start, "far", gate.Load{})
	g.Expect(chosen(p, Query{})).To(BeEmpty(), "a booking")
	g.Expect(chosen(p, Query{Idempotent: true, LastAttempt: true})).To(BeEmpty(), "a lookup that cannot be retried")
	g.Expect(chosen(p, Query{Idempotent: true})).To(Equal("near"), "a trial")
	g.Expect(chosen(p, Query{Idempotent: true})).To(BeEmpty(), "only one trial at a time")
}

func TestAnUnreachableNodeIsExcludedWithExponentialBackoff(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	p.MarkUnreachable(start, "near")
	g.Expect(chosen(p, Query{})).To(Equal("far"))
	g.Expect(p.NextAvailable(start, nodes[:1])).To(Equal(minBackoff))
	p.MarkUnreachable(start, "near")
	g.Expect(p.NextAvailable(start, nodes[:1])).To(Equal(2 * minBackoff))
	p.Report(start, "near", healthy(0))
	g.Expect(p.NextAvailable(start, nodes[:1])).To(BeZero())
}

// A server that failed some time ago is tried by requests that can be retried, only from its own
// data centre: with many servers, some always lack results, and bytes between data centres are
// expensive.
func TestAServerWithoutResultsIsTriedFromItsDataCentre(t *testing.T) {
	g := NewWithT(t)
	quiet, used := healthy(0), healthy(2)
	quiet.FailureProbability, quiet.SinceLastUse = 0.3, 2*unusedTime
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

// All local servers are full, another data centre has free ones, and answers or uploads have
// several kB, which are expensive to transfer. A request waits locally as long as the transfer is
// worth, but no longer than it may.
func TestAShortLocalWaitAvoidsATransfer(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	full := healthy(6)
	p.Report(start, "near", full)
	p.Report(start, "far", healthy(0))
	g.Expect(chosen(p, Query{LocalMaxWait: time.Second})).To(Equal("far"), "a small answer is not worth waiting for")
	g.Expect(chosen(p, Query{LocalMaxWait: time.Second, Bytes: 8 << 10})).To(Equal("near"))
	g.Expect(chosen(p, Query{Bytes: 8 << 10})).To(Equal("far"), "without time to wait")

	full.Waiting[0] = 12
	p.Report(start, "near", full)
	g.Expect(chosen(p, Query{LocalMaxWait: 2 * time.Second, Bytes: 8 << 10})).To(Equal("far"), "a long wait")
}

// Guards against requests that wait for a connection to instances that have ended: after a power loss of a
// part of a fleet, each entry tried each of them again every two seconds.
func TestANodeThatEndedIsNotTriedAfterEachBackoff(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	candidates := []Candidate{{ID: "ended", DataCentre: "a", Region: "r"}}
	accepted := func(at time.Duration) bool {
		_, ok := p.Choose(start.Add(at), func() float64 { return 0.5 }, candidates, Query{Idempotent: true, Objective: time.Second, Remaining: time.Second})
		return ok
	}
	p.UpdateLoad(start, "ended", gate.Load{Open: true, Slots: 6}, true)
	p.MarkUnreachable(start.Add(time.Second), "ended")
	g.Expect(accepted(4 * time.Second)).To(BeFalse())
	// Another node has heard of it since: it lives, and only the backoff counts.
	p.UpdateLoad(start.Add(4*time.Second), "ended", gate.Load{Open: true, Slots: 6}, false)
	g.Expect(accepted(4 * time.Second)).To(BeTrue())
	p.MarkUnreachable(start.Add(5*time.Second), "ended")
	g.Expect(accepted(14 * time.Second)).To(BeFalse())
	g.Expect(accepted(16*time.Second)).To(BeTrue(), "it is tried again at last")
}

// Guards against nodes of other data centres that stay excluded after they were closed for a moment, as all
// are right after a restart of the fleet: their reports arrive by other nodes only.
func TestAForwardedReportEndsTheExclusionOfAClosedNode(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	candidates := []Candidate{{ID: "far", DataCentre: "b", Region: "r"}}
	query := Query{Idempotent: true, Objective: time.Second, Remaining: time.Second}
	for range 4 {
		p.MarkRefused(start, "far", gate.Closed)
	}
	at := start.Add(300 * time.Millisecond)
	_, ok := p.Choose(at, func() float64 { return 0.5 }, candidates, query)
	g.Expect(ok).To(BeFalse())
	p.UpdateLoad(at, "far", gate.Load{Open: true, Slots: 6}, false)
	_, ok = p.Choose(at, func() float64 { return 0.5 }, candidates, query)
	g.Expect(ok).To(BeTrue())
}

// Load: all servers of a service have hardly any retries left, and entries of all data centres look for one.
// Guards against hops to other data centres that are refused for the budget because the report was old.
func TestTheLastRetryStaysInTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	last := healthy(0)
	last.RetriesLeft = 1
	p.Report(start, "near", last)
	p.Report(start, "far", last)
	exclude := func(id string) bool { return id == "near" }
	g.Expect(chosen(p, Query{Retry: true})).To(Equal("near"))
	g.Expect(chosen(p, Query{Retry: true, Exclude: exclude})).To(BeEmpty())
	g.Expect(chosen(p, Query{Exclude: exclude})).To(Equal("far"))
	last.RetriesLeft = 2
	p.Report(start, "far", last)
	g.Expect(chosen(p, Query{Retry: true, Exclude: exclude})).To(Equal("far"))
}

// Guards against a stopping node that keeps requests waiting for a service whose servers have all left, and against one
// that refuses them while a server may still accept them.
func TestOnlyServersThatMayAcceptAreWorthAWait(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	near := nodes[:1]
	g.Expect(p.AnyMayAccept(start, nil)).To(BeFalse(), "no server")
	g.Expect(p.AnyMayAccept(start, near)).To(BeTrue(), "nothing is known of the server yet")
	closed := healthy(0)
	closed.Open = false
	p.Report(start, "near", closed)
	g.Expect(p.AnyMayAccept(start, near)).To(BeFalse())
	g.Expect(p.AnyMayAccept(start.Add(2*maxReportAge), near)).To(BeTrue(), "the report is too old")
	p.MarkUnreachable(start.Add(2*maxReportAge), "near")
	g.Expect(p.AnyMayAccept(start.Add(2*maxReportAge), near)).To(BeFalse(), "nothing was heard since the node could not be reached")
	p.Report(start.Add(3*maxReportAge), "near", healthy(6))
	g.Expect(p.AnyMayAccept(start.Add(3*maxReportAge), near)).To(BeTrue(), "a full server accepts requests later")
}
