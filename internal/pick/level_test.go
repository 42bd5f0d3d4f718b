package pick

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a level that leaves requests over, or that gives some to a server which costs more
// than others with room.
func TestALevelTakesTheRequestsAtTheLowestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := group{}
		free := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "servers") {
			c := curve{
				base:     rapid.Float64Range(0, 1).Draw(t, "base"),
				lastSlot: utilizationCost,
				slots:    float64(rapid.IntRange(1, 40).Draw(t, "slots")),
				rateWait: rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "rate wait"),
			}
			c.held = rapid.Float64Range(0, c.slots).Draw(t, "held")
			c.waitPerRequest = rapid.SampledFrom([]float64{0, 0.01, 0.5}).Draw(t, "wait")
			free += max(c.slots-1-c.held, 0)
			g.curves = append(g.curves, c)
		}
		requests := rapid.Float64Range(0, 1).Draw(t, "requests") * free
		_, lowest := g.cheapest()
		level := g.level(requests, lowest)
		if got := g.room(level); got < requests-1e-9 {
			t.Fatalf("room for %v of %v requests", got, requests)
		}
		if below := g.room(level - 0.01); below > requests && level > lowest+0.01 {
			t.Fatalf("room for %v already below the level, of %v requests", below, requests)
		}
		for i := range g.curves {
			if c := &g.curves[i]; c.room(level) > 0 && c.cost(c.held) > level+1e-9 {
				t.Fatalf("a server that costs %v has room below %v", c.cost(c.held), level)
			}
		}
	})
}

// Guards against herds: reports of 100 ms ago show one idle server among busy ones, and 40 entry
// nodes choose before the next report. The idle server must not get more than it has room for.
func TestManyChoosersDoNotOverrunTheServerThatLookedIdle(t *testing.T) {
	g := NewWithT(t)
	const servers, choosers, age = 12, 40, 100 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	candidates := make([]Candidate, servers)
	for i := range candidates {
		candidates[i] = Candidate{ID: fmt.Sprint(i), DataCentre: "a", Region: "r"}
	}
	sent := map[Policy]int{}
	for _, policy := range []Policy{WaterFilling, LeastCost} {
		for range choosers {
			p := NewWithPolicy("a", "r", policy)
			for i := range candidates {
				running := 3
				if i == 0 {
					running = 1
				}
				p.Report(start.Add(-age), candidates[i].ID, healthy(running))
			}
			choice, ok := p.Choose(start, random.Float64, candidates, Query{Objective: 2 * time.Second})
			g.Expect(ok).To(BeTrue())
			if choice.Index == 0 {
				sent[policy]++
			}
		}
	}
	g.Expect(sent[WaterFilling]).To(BeNumerically("<=", 3*choosers/servers), "three times the mean")
	g.Expect(sent[LeastCost]).To(BeNumerically(">", choosers/2), "the herd that the policy avoids")
}

// Guards against lost precision where it is not needed: with fresh reports, the cheapest server is
// chosen.
func TestFreshReportsAreTakenAsTheyAre(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	candidates := []Candidate{{ID: "x", DataCentre: "a"}, {ID: "y", DataCentre: "a"}, {ID: "z", DataCentre: "a"}}
	for i, running := range []int{4, 1, 5} {
		p.Report(start, candidates[i].ID, healthy(running))
	}
	for i := range 100 {
		choice, ok := p.Choose(start, func() float64 { return float64(i) / 100 }, candidates, Query{Objective: 2 * time.Second})
		g.Expect(ok).To(BeTrue())
		g.Expect(choice.Index).To(Equal(1))
		p.Report(start, candidates[1].ID, healthy(1))
	}
}

// Guards against a server that stays left out after it was full, until its next report, while the
// others of its data centre are half empty; and against hops without use to a server that was full
// while the others still are, or that had requests waiting.
func TestAnOldReportOfAFullServerFades(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{{ID: "full", DataCentre: "a"}, {ID: "other", DataCentre: "a"}, {ID: "failing", DataCentre: "a"}}
	chosenAt := func(age time.Duration, others, waiting int) bool {
		p := New("a", "r")
		full, failing := healthy(6), healthy(0)
		full.Waiting[1], failing.FailureProbability = waiting, 0.9
		p.Report(start.Add(-age), "full", full)
		p.Report(start, "other", healthy(others))
		p.Report(start, "failing", failing)
		_, ok := p.Choose(start, zero, candidates, Query{Objective: 2 * time.Second, Exclude: func(id string) bool { return id == "other" }})
		return ok
	}
	g.Expect(chosenAt(50*time.Millisecond, 2, 0)).To(BeFalse())
	g.Expect(chosenAt(time.Second, 2, 0)).To(BeTrue())
	g.Expect(chosenAt(time.Second, 6, 0)).To(BeFalse(), "the service is overloaded")
	g.Expect(chosenAt(time.Second, 2, 1)).To(BeFalse(), "a request waited")
}

// Guards against unseen arrivals that move requests to another data centre without a gain: both have
// the same load, and the reports from the other one are older.
func TestUnseenArrivalsAreNoReasonForATransfer(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewSource(1))
	var candidates []Candidate
	for i := range 24 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint(i), DataCentre: string(rune('a' + i%2)), Region: "r"})
	}
	for range 100 {
		p := New("a", "r")
		for _, c := range candidates {
			age := 100 * time.Millisecond
			if c.DataCentre != "a" {
				age = 500 * time.Millisecond
			}
			p.UpdateLoad(start.Add(-age), c.ID, healthy(2+random.Intn(2)), true)
		}
		choice, ok := p.Choose(start, random.Float64, candidates, Query{Objective: 2 * time.Second})
		g.Expect(ok).To(BeTrue())
		g.Expect(candidates[choice.Index].DataCentre).To(Equal("a"))
	}
}

// Guards against a server that joins and gets nothing because it counts as loaded like the others, or
// because a large server is taken for one of their size.
func TestOnlyReportsAgeTowardsTheMeanUtilization(t *testing.T) {
	g := NewWithT(t)
	p := New("a", "r")
	large := healthy(30)
	large.Slots = 60
	p.Report(start.Add(-time.Hour), "large", large)
	p.Report(start.Add(-time.Hour), "small", healthy(3))
	candidates := []Candidate{{ID: "joining", DataCentre: "a"}, {ID: "large", DataCentre: "a"}, {ID: "small", DataCentre: "a"}}
	e := p.Explain(start, candidates, Query{Objective: 2 * time.Second})
	g.Expect(e.Candidates[0].Held).To(BeZero())
	g.Expect(e.Candidates[1].Held).To(BeNumerically("~", 30, 0.01))
	g.Expect(e.Candidates[2].Held).To(BeNumerically("~", 3, 0.01))
}
