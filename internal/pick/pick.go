package pick

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Candidate is a node beside a backend server of the service.
type Candidate struct {
	ID         string
	DataCentre string
	Region     string
}

// Query describes the request that needs a server.
type Query struct {
	Idempotent bool
	// Priority is the rank of the request among those that wait, as gate.Rank gives it.
	Priority int
	// Objective is the remaining time of the latency objective.
	Objective time.Duration
	// LastAttempt is set if a failure of this attempt cannot be retried elsewhere.
	LastAttempt bool
	// MaxWait is the longest expected wait for a slot; 0 if the request may not wait.
	MaxWait time.Duration
	// LocalMaxWait is the longest expected wait in the own data centre where that avoids a transfer
	// to another one.
	LocalMaxWait time.Duration
	// Retry is set if an earlier attempt reached a server.
	Retry bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Bytes is the size of the body plus the expected size of the answer.
	Bytes int
	// Exclude reports the candidates that the request has already tried.
	Exclude func(id string) bool
}

// Policy tells how a choice makes up for the age of reports.
type Policy int

const (
	// WaterFilling draws among the servers that the requests since the reports leave cheapest.
	WaterFilling Policy = iota
	// LeastCost takes the server of the lowest cost, and lets a reported load fade with its age.
	LeastCost
)

// Picker chooses between nodes by their reports. It is safe for concurrent use.
type Picker struct {
	dataCentre, region string
	policy             Policy

	mu    sync.Mutex
	nodes map[string]*nodeState
	// groups and known describe the data centres and the candidates of the current request. Their
	// memory is used again.
	groups []group
	known  []knowledge
}

// knowledge is what a choice uses of a candidate's report.
type knowledge struct {
	state *nodeState
	// group is the index of the data centre.
	group int
	// stillRunning is the share of the reported requests that is expected to run still.
	stillRunning float64
}

// New returns a picker for an entry in a data centre.
func New(dataCentre, region string) *Picker { return NewWithPolicy(dataCentre, region, WaterFilling) }

// NewWithPolicy returns a picker that follows a policy.
func NewWithPolicy(dataCentre, region string, policy Policy) *Picker {
	return &Picker{dataCentre: dataCentre, region: region, policy: policy, nodes: map[string]*nodeState{}}
}

// Choice is the chosen candidate and what was known of it.
type Choice struct {
	// Index is the index of the candidate.
	Index int
	// Known is set if the node has reported; Age is the age of its report.
	Known bool
	Age   time.Duration
	// FailureProbability and ExpectedWait are the estimates that the choice used: the probability
	// of a failure episode and the time until a slot is free.
	FailureProbability float64
	ExpectedWait       time.Duration
	// Service is the mean service time that the node reported last; 0 before its first report.
	Service time.Duration
}

// Choose returns the candidate for a request, or false if none accepts it. random yields uniform
// numbers from 0 to 1.
func (p *Picker) Choose(now time.Time, random func() float64, candidates []Candidate, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(now, candidates, q)
	p.admit(now, random, candidates, q)
	g, best, lowest := p.cheapest()
	if best == nil {
		return Choice{}, false
	}
	chosen := *best
	if p.policy == WaterFilling {
		chosen = g.choose(chosen, lowest, random)
	}
	k := &p.known[chosen.index]
	s := k.state
	load := p.upToDate(k, g)
	choice := s.choice(now)
	choice.Index, choice.ExpectedWait = chosen.index, load.ExpectedWait(q.Priority, len(s.sent), s.age(now))
	s.sent = append(newerThan(s.sent, now.Add(-maxReportAge)), now)
	return choice, true
}

// cheapest returns the server with the lowest cost by the reports and its data centre. Unseen
// arrivals do not count here, so that a request leaves its data centre only for a certain gain.
func (p *Picker) cheapest() (in *group, best *curve, lowest float64) {
	limit := math.Inf(1)
	for i := range p.groups {
		g := &p.groups[i]
		if c, cost := g.cheapest(); c != nil && cost+g.transfer < limit {
			in, best, lowest, limit = g, c, cost, cost+g.transfer
		}
	}
	return in, best, lowest
}

// observe reads what is known of the candidates and sorts them by data centre.
func (p *Picker) observe(now time.Time, candidates []Candidate, q Query) {
	p.groups, p.known = p.groups[:0], p.known[:0]
	for i := range candidates {
		k := knowledge{state: p.state(candidates[i].ID), group: p.groupOf(&candidates[i], &q)}
		k.stillRunning = k.state.stillRunning(now)
		p.groups[k.group].observe(&k)
		p.known = append(p.known, k)
	}
}

// admit adds the candidates that accept the request to their groups.
func (p *Picker) admit(now time.Time, random func() float64, candidates []Candidate, q Query) {
	for i := range candidates {
		c, s := &candidates[i], p.known[i].state
		g := &p.groups[p.known[i].group]
		load := p.upToDate(&p.known[i], g)
		if p.objection(now, &p.known[i], c, &load, &q) != NoObjection {
			continue
		}
		added := s.curve(p.policy, now, &q, p.runningNow(&p.known[i], g, now))
		added.index = i
		added.base += tieBreakRange * random()
		if c.DataCentre == p.dataCentre && s.needsTrial(now, &q) {
			added.base -= trialBonus
		}
		g.curves = append(g.curves, added)
	}
}

// objection returns why a candidate is not considered.
func (p *Picker) objection(now time.Time, k *knowledge, c *Candidate, load *gate.Load, q *Query) Objection {
	o := k.state.objection(now, q, load, p.maxWait(c, q), c.DataCentre != p.dataCentre)
	if o == NoObjection && q.Exclude != nil && q.Exclude(c.ID) {
		return Tried
	}
	return o
}

// upToDate returns the load that a server is expected to have now, for the expected wait.
func (p *Picker) upToDate(k *knowledge, g *group) gate.Load {
	load := k.state.load
	if p.policy == WaterFilling {
		load.Running = int(math.Ceil(g.runningNow(k)))
	}
	return load
}

// runningNow returns how many requests a server is expected to run.
func (p *Picker) runningNow(k *knowledge, g *group, now time.Time) float64 {
	if p.policy == LeastCost {
		return float64(k.state.load.Running) * math.Exp(-k.state.age(now).Seconds()/loadDecayTime.Seconds())
	}
	return g.runningNow(k)
}

// groupOf returns the index of the group of a candidate's data centre. A new group uses the memory
// of earlier requests.
func (p *Picker) groupOf(c *Candidate, q *Query) int {
	for i := range p.groups {
		if p.groups[i].dataCentre == c.DataCentre {
			return i
		}
	}
	n := len(p.groups)
	if n < cap(p.groups) {
		p.groups = p.groups[:n+1]
	} else {
		p.groups = append(p.groups, group{})
	}
	p.groups[n] = group{dataCentre: c.DataCentre, transfer: p.transferCost(c, q), curves: p.groups[n].curves[:0]}
	return n
}

// NextAvailable returns the time after which one of the candidates may accept requests.
func (p *Picker) NextAvailable(now time.Time, candidates []Candidate) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	soonest := MaxBackoff
	for i := range candidates {
		s := p.state(candidates[i].ID)
		after := s.excludedUntil.Sub(now)
		if s.load.Open {
			after = max(after, s.load.ExpectedWait(gate.PriorityLevels, len(s.sent), s.age(now)))
		}
		if !s.load.Healthy() {
			after = max(after, s.load.TrialIn)
		}
		soonest = min(soonest, max(after, 0))
	}
	return soonest
}

// AnyMayAccept reports whether one of the candidates may accept requests: its last report says that its
// server is open, or there is no recent one and its node is not known to be unreachable.
func (p *Picker) AnyMayAccept(now time.Time, candidates []Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range candidates {
		s := p.state(candidates[i].ID)
		if s.age(now) > maxReportAge {
			if !s.silent(now) {
				return true
			}
		} else if s.load.Open {
			return true
		}
	}
	return false
}

// RateLimitedFor returns the time for which the rate limits of all candidates that accept requests
// keep out a request of the priority; 0 if one has no limit or has not reported lately.
func (p *Picker) RateLimitedFor(now time.Time, candidates []Candidate, priority int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(math.MaxInt64)
	limited := false
	for i := range candidates {
		s := p.state(candidates[i].ID)
		if s.age(now) > maxReportAge || s.load.Open && !s.load.RateLimited() {
			return 0
		}
		if s.load.Open {
			limited = true
			shortest = min(shortest, s.load.RateWait(s.load.Ahead(priority)+len(s.sent), s.age(now)))
		}
	}
	if !limited {
		return 0
	}
	return shortest
}

// WithRetriesLeft returns the share of the candidates with a recent report that have retries left; 1
// if none has one.
func (p *Picker) WithRetriesLeft(now time.Time, candidates []Candidate) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	reported, left := 0, 0
	for i := range candidates {
		s := p.state(candidates[i].ID)
		if s.reported.IsZero() || s.age(now) > maxReportAge {
			continue
		}
		reported++
		if s.load.RetriesLeft > 0 {
			left++
		}
	}
	if reported == 0 {
		return 1
	}
	return float64(left) / float64(reported)
}
