package pick

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Costs are relative to the loss of a request that cannot be retried, which costs 1. An expected
// wait as long as the remaining time of the latency objective costs the same.
const (
	// IdempotentFailureCost is the cost of a failed attempt of an idempotent request that can be
	// retried.
	IdempotentFailureCost = 0.35
	// otherDataCentreCost and otherRegionCost are the costs of sending a request to another data
	// centre of the same region and to another region. costPerKilobyte is added for each kilobyte
	// of its body and answer.
	otherDataCentreCost = 0.04
	otherRegionCost     = 0.2
	costPerKilobyte     = 0.025
	// utilizationCost is the cost of taking the last free slot of a server. Slots before it cost
	// less, since servers slow down as they fill.
	utilizationCost = 0.15
	// coldCost is the cost of a server that is slow after its start.
	coldCost = 0.15
	// noResultTime is the time without a result after which a server gets an idempotent request as
	// a trial, to learn its health. It is less than the 2 s within which the platform requires every
	// healthy server to get requests.
	noResultTime = 1500 * time.Millisecond
	// trialBonus is deducted from the cost of a server that needs such a trial. It applies only in
	// the entry's own data centre, since each data centre has entries that try its servers.
	trialBonus = 0.25
	// maxReportAge is the age up to which a report is taken as the node's own decision, slightly
	// more than the longest time between two beacons.
	maxReportAge = 1200 * time.Millisecond
	// usualFailureProbability is the failure probability of a server that has not reported.
	usualFailureProbability = 0.2
	// healthDecayTime and loadDecayTime are the times within which a report loses most of its
	// weight.
	healthDecayTime = 2 * time.Second
	loadDecayTime   = time.Second
	// tieBreakRange is the range of a random cost that spreads the choice over candidates of about
	// the same cost.
	tieBreakRange = 0.02
	// minBackoff and MaxBackoff bound the time for which an unreachable node is excluded.
	minBackoff = 250 * time.Millisecond
	MaxBackoff = 2 * time.Second
	// defaultSlots is the capacity assumed before the first report.
	defaultSlots = 4
	// defaultServiceTime is the service time assumed before the first report.
	defaultServiceTime = 300 * time.Millisecond
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

// Picker chooses between nodes by their reports. It is safe for concurrent use.
type Picker struct {
	dataCentre, region string

	mu    sync.Mutex
	nodes map[string]*nodeState
}

// nodeState is what is known of one node.
type nodeState struct {
	load gate.Load
	// reported is the arrival time of load; zero before the first report.
	reported time.Time
	// sent are the times of the requests that this picker has sent there since the report.
	sent []time.Time
	// excludedUntil is the end of the backoff after a refusal or a failed connection.
	excludedUntil time.Time
	backoff       time.Duration
}

// New returns a picker for an entry in a data centre.
func New(dataCentre, region string) *Picker {
	return &Picker{dataCentre: dataCentre, region: region, nodes: map[string]*nodeState{}}
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

// Choose returns the candidate with the lowest cost, or false if none accepts the request. random
// yields uniform numbers from 0 to 1.
func (p *Picker) Choose(now time.Time, random func() float64, candidates []Candidate, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		s := p.state(c.ID)
		if !s.accepts(now, q, p.maxWait(c, q), c.DataCentre != p.dataCentre) || q.Exclude != nil && q.Exclude(c.ID) {
			continue
		}
		cost := s.cost(now, q) + p.transferCost(c, q) + tieBreakRange*random()
		if c.DataCentre == p.dataCentre && s.needsTrial(now, q) {
			cost -= trialBonus
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	s := p.state(candidates[best].ID)
	choice := s.choice(now, q)
	choice.Index = best
	s.sent = append(newerThan(s.sent, now.Add(-maxReportAge)), now)
	return choice, true
}

func (s *nodeState) choice(now time.Time, q Query) Choice {
	c := Choice{FailureProbability: usualFailureProbability, Service: s.load.Service, ExpectedWait: s.load.ExpectedWait(q.Priority, len(s.sent), s.age(now))}
	if !s.reported.IsZero() {
		c.Known, c.Age = true, now.Sub(s.reported)
		c.FailureProbability = s.failureProbability(now)
	}
	return c
}

// age is the age of the newest report.
func (s *nodeState) age(now time.Time) time.Duration { return now.Sub(s.reported) }

// failureProbability returns the reported probability, which drifts to the usual one as the report
// ages.
func (s *nodeState) failureProbability(now time.Time) float64 {
	age := now.Sub(s.reported).Seconds()
	return usualFailureProbability + (s.load.FailureProbability-usualFailureProbability)*math.Exp(-age/healthDecayTime.Seconds())
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

func (p *Picker) state(id string) *nodeState {
	s, ok := p.nodes[id]
	if !ok {
		s = &nodeState{}
		p.nodes[id] = s
	}
	return s
}

// accepts reports whether the node is not known to refuse the request.
func (s *nodeState) accepts(now time.Time, q Query, maxWait time.Duration, remote bool) bool {
	if now.Before(s.excludedUntil) {
		return false
	}
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > maxReportAge {
		return true
	}
	// The node refuses all requests, or has no retries left for this one, or stops before the
	// deadline of the request.
	if !s.load.Open || q.Retry && !s.hasRetryFor(remote) || s.load.StopsIn > 0 && q.Remaining > s.load.StopsIn-age {
		return false
	}
	// An unhealthy server gets only a trial: an idempotent request that can be retried elsewhere,
	// when a trial is due and nothing was sent there since the report. A request that may not wait
	// is no trial in another data centre. A trial does not wait for a rate limit.
	if !s.load.Healthy() && (!q.Idempotent || q.LastAttempt || age < s.load.TrialIn || len(s.sent) > 0 || remote && maxWait == 0 ||
		s.load.RateWait(s.load.Ahead(gate.PriorityLevels), age) > 0) {
		return false
	}
	unreported := len(s.sent)
	if remote && maxWait == 0 {
		// Reports from other data centres are older, and a refused hop costs more there.
		unreported++
	}
	return s.load.ExpectedWait(q.Priority, unreported, age) <= maxWait
}

// hasRetryFor reports whether the retry budget of the server probably admits a retry. The last one is
// left to entries of its own data centre: reports from others are older, and a refused hop costs more.
func (s *nodeState) hasRetryFor(remote bool) bool {
	if remote {
		return s.load.RetriesLeft > 1
	}
	return s.load.RetriesLeft > 0
}

// maxWait returns how long the request may be expected to wait at a candidate: MaxWait, or longer
// in the entry's own data centre, up to LocalMaxWait, while the wait costs no more than a transfer
// to another data centre, even if a slot is free there.
func (p *Picker) maxWait(c *Candidate, q Query) time.Duration {
	if c.DataCentre != p.dataCentre {
		return q.MaxWait
	}
	worth := time.Duration((otherDataCentreCost + bytesCost(q)) * float64(q.Objective))
	return max(q.MaxWait, min(q.LocalMaxWait, worth))
}

// bytesCost is the cost of sending the bytes of a request and its answer between data centres.
func bytesCost(q Query) float64 { return costPerKilobyte * float64(q.Bytes) / 1024 }

func (s *nodeState) cost(now time.Time, q Query) float64 {
	loss := 1.0
	if q.Idempotent && !q.LastAttempt {
		loss = IdempotentFailureCost
	}
	load, probability := s.load, usualFailureProbability
	if s.reported.IsZero() {
		load = gate.Load{Slots: defaultSlots, Service: defaultServiceTime}
	} else {
		age := now.Sub(s.reported).Seconds()
		probability = s.failureProbability(now)
		load.Running = int(float64(load.Running) * math.Exp(-age/loadDecayTime.Seconds()))
	}
	cost := loss*probability + s.loadCost(load, q, s.age(now))
	if load.Cold {
		cost += coldCost
	}
	return cost
}

// needsTrial reports whether the request is suited to show the health of a server that has had no
// result for a while.
func (s *nodeState) needsTrial(now time.Time, q Query) bool {
	return q.Idempotent && !q.LastAttempt && len(s.sent) == 0 && !s.reported.IsZero() &&
		s.load.SinceLastResult+now.Sub(s.reported) >= noResultTime
}

// loadCost returns the cost of the expected utilization and wait.
func (s *nodeState) loadCost(load gate.Load, q Query, age time.Duration) float64 {
	utilization := min(float64(load.Running+len(s.sent)+1)/float64(max(load.Slots, 1)), 1)
	cost := utilizationCost * utilization * utilization
	if q.Objective > 0 {
		cost += load.ExpectedWait(q.Priority, len(s.sent), age).Seconds() / q.Objective.Seconds()
	}
	return cost
}

func (p *Picker) transferCost(c *Candidate, q Query) float64 {
	bytes := bytesCost(q)
	switch {
	case c.DataCentre == p.dataCentre:
		return 0
	case c.Region == p.region:
		return otherDataCentreCost + bytes
	}
	return otherRegionCost + bytes
}

// Report records the load that a node sent with an answer. It returns true if the node was
// considered unreachable before.
func (p *Picker) Report(now time.Time, id string, load gate.Load) (recovered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	recovered = s.backoff > 0
	s.update(now, load, true)
	return recovered
}

// UpdateLoad records the load of a node as it was at a time, unless a newer one is known. direct is
// set if it came from the node itself; a report that others forward does not show that the node can
// be reached.
func (p *Picker) UpdateLoad(at time.Time, id string, load gate.Load, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); at.After(s.reported) {
		s.update(at, load, direct)
	}
}

func (s *nodeState) update(at time.Time, load gate.Load, reachable bool) {
	s.load, s.reported, s.sent = load, at, newerThan(s.sent, at)
	if !reachable {
		return
	}
	s.backoff = 0
	if load.Open {
		s.excludedUntil = time.Time{}
	}
}

// newerThan drops the times up to a limit from an ascending list.
func newerThan(times []time.Time, limit time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(limit) {
		i++
	}
	return append(times[:0], times[i:]...)
}

// MarkRefused excludes a node for a while whose server does not accept requests. Other refusals
// need no exclusion: the report that comes with them shows which requests the node refuses.
func (p *Picker) MarkRefused(now time.Time, id string, refusal gate.Refusal) {
	if refusal != gate.Closed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).backOff(now)
}

// MarkUnreachable records a failed connection. It returns the time for which the node is excluded.
func (p *Picker) MarkUnreachable(now time.Time, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.backOff(now)
	return s.backoff
}

func (s *nodeState) backOff(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), MaxBackoff)
	s.excludedUntil = now.Add(s.backoff)
}

// Retain forgets the nodes that known does not report.
func (p *Picker) Retain(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if !known(id) {
			delete(p.nodes, id)
		}
	}
}
