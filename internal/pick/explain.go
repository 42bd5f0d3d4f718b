package pick

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Explanation tells where a request would go.
type Explanation struct {
	// DataCentre is the chosen data centre; empty if no candidate accepts the request. Unseen is the
	// number of requests that its reports are expected not to show, and Level the cost up to which
	// they fill its servers.
	DataCentre    string
	Unseen, Level float64
	Candidates    []Assessment
}

// Assessment is what a choice knows of a candidate, and how it values it.
type Assessment struct {
	Candidate
	// Known is set if the node has reported. Load is its last report, Age the age of that report, and
	// Sent the number of requests sent there since.
	Known bool
	Age   time.Duration
	Load  gate.Load
	Sent  int
	// FailureProbability and ExpectedWait are the estimates for the present.
	FailureProbability float64
	ExpectedWait       time.Duration
	Objection          Objection
	// Held is the estimated number of requests that run there or wait ahead. Fixed is the part of
	// the cost that does not depend on it: failure, cold start and trial. LoadCost and Transfer are
	// the other parts.
	Held, Fixed, LoadCost, Transfer float64
	// Share is the probability that the candidate is chosen, apart from the random tie break.
	Share float64
}

// Cost is the sum of the parts.
func (a Assessment) Cost() float64 { return a.Fixed + a.LoadCost + a.Transfer }

// Explain tells where Choose would send the request. It changes nothing.
func (p *Picker) Explain(now time.Time, candidates []Candidate, q Query) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	noTie := func() float64 { return 0 }
	p.observe(now, candidates, q)
	p.admit(now, noTie, candidates, q)
	e := Explanation{Candidates: make([]Assessment, len(candidates))}
	for i := range candidates {
		e.Candidates[i] = p.assess(now, i, candidates[i], q)
	}
	for i := range p.groups {
		g := &p.groups[i]
		for c := range g.curves {
			a, cost := &e.Candidates[g.curves[c].index], &g.curves[c]
			a.Held, a.Fixed, a.LoadCost = cost.held, cost.base, cost.cost(cost.held)-cost.base
		}
	}
	g, best, lowest := p.cheapest()
	if best == nil {
		return e
	}
	e.DataCentre, e.Level = g.dataCentre, lowest
	cheapest := best.index
	if p.policy == WaterFilling {
		g.keepSimilar(best.base)
		e.Unseen = g.unseenArrivals()
	}
	if e.Unseen < negligibleArrivals {
		e.Candidates[cheapest].Share = 1
		return e
	}
	e.Level = g.level(e.Unseen, lowest)
	total := g.room(e.Level)
	for c := range g.curves {
		e.Candidates[g.curves[c].index].Share = g.curves[c].room(e.Level) / total
	}
	return e
}

// assess returns what is known of a candidate, without its costs.
func (p *Picker) assess(now time.Time, i int, c Candidate, q Query) Assessment {
	k := &p.known[i]
	load := p.upToDate(k, &p.groups[k.group])
	a := Assessment{
		Candidate: c, Load: k.state.load, Sent: len(k.state.sent), FailureProbability: usualFailureProbability,
		ExpectedWait: load.ExpectedWait(q.Priority, len(k.state.sent), k.state.age(now)),
		Objection:    p.objection(now, k, &c, &load, &q), Transfer: p.transferCost(&c, &q),
	}
	if a.Known = !k.state.reported.IsZero(); a.Known {
		a.Age, a.FailureProbability = k.state.age(now), k.state.failureProbability(now)
	}
	return a
}
