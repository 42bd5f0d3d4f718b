package pick

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

const (
	// IdempotentFailureCost is the cost of a failed run of an idempotent request.
	IdempotentFailureCost = 0.35
	// otherDataCentre and otherRegion are the costs of the way, and perKilobyte
	// those of the bytes of body and answer on it.
	otherDataCentre = 0.04
	otherRegion     = 0.2
	perKilobyte     = 0.025
	// useCost is the cost of the last free slot, since servers slow down as
	// they fill.
	useCost = 0.15
	// coldCost is the cost of a server that is slow after its start.
	coldCost = 0.15
	// quietTime is the time without a result after which a server is worth a
	// repeatable request only to learn how it does, less than the 2 s within which
	// the users' platform asks for work to each sound server. trialGain is what
	// that is worth, in the own data centre: each has entries.
	quietTime = 1500 * time.Millisecond
	trialGain = 0.25
	// freshReport is the age up to which a report is taken as the node's answer,
	// a little more than the longest time between two beacons.
	freshReport = 1200 * time.Millisecond
	// usualDoubt is the doubt about a server that has not reported.
	usualDoubt = 0.2
	// doubtMemory and loadMemory are the times within which a report loses most
	// of its weight.
	doubtMemory = 2 * time.Second
	loadMemory  = time.Second
	// tieBreak spreads the choice over candidates of about the same cost.
	tieBreak = 0.02
	// minPause and MaxPause bound the time for which a node that cannot be
	// reached is left out.
	minPause   = 250 * time.Millisecond
	MaxBackoff = 2 * time.Second
	// usualSlots is the capacity assumed before the first report.
	usualSlots = 4
	// usualService is the service time assumed before the first report.
	usualService = 300 * time.Millisecond
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
	Priority   int
	// Objective is the latency objective that is left.
	Objective time.Duration
	// LastAttempt tells that a failure of this run cannot be made good elsewhere.
	LastAttempt bool
	// MaxWait is the longest expected wait for a slot; 0 for not at all.
	MaxWait time.Duration
	// LocalMaxWait is the longest expected wait in the own data centre where that
	// spares the way to another one.
	LocalMaxWait time.Duration
	// Retry tells that an earlier attempt reached a server.
	Retry bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Bytes is the size of the body and the expected size of the answer.
	Bytes int
	// Exclude reports candidates that the request has tried already.
	Exclude func(id string) bool
}

// Picker chooses between nodes by their reports. It is safe for concurrent use.
type Picker struct {
	dataCentre, region string

	mu    sync.Mutex
	nodes map[string]*state
}

// state is what is known of one node.
type state struct {
	load gate.Load
	// reported is the arrival of load; zero before the first.
	reported time.Time
	// sent are the times of the own requests since the report.
	sent []time.Time
	// until is the end of the pause after a refusal or a failed connection.
	until time.Time
	pause time.Duration
}

// New returns a picker for an entry in a data centre.
func New(dataCentre, region string) *Picker {
	return &Picker{dataCentre: dataCentre, region: region, nodes: map[string]*state{}}
}

// Choice is the candidate that was chosen and what was known of it.
type Choice struct {
	// Index is that of the candidate.
	Index int
	// Known tells that the node has reported; Age is the age of its report.
	Known bool
	Age   time.Duration
	// FailureProbability and Wait are what the choice took for the probability of a spell of
	// failures and for the time until a slot is free.
	FailureProbability float64
	ExpectedWait       time.Duration
	// Service is the mean service time that the node reported last; 0 before.
	Service time.Duration
}

// Choose returns the candidate of the lowest cost, or false if none can take the
// request. random yields uniform numbers from 0 to 1.
func (p *Picker) Choose(now time.Time, random func() float64, candidates []Candidate, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		s := p.state(c.ID)
		if !s.takes(now, q, p.patience(c, q), c.DataCentre != p.dataCentre) || q.Exclude != nil && q.Exclude(c.ID) {
			continue
		}
		cost := s.cost(now, q) + p.way(c, q) + tieBreak*random()
		if c.DataCentre == p.dataCentre && s.isUntried(now, q) {
			cost -= trialGain
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
	s.sent = append(since(s.sent, now.Add(-freshReport)), now)
	return choice, true
}

func (s *state) choice(now time.Time, q Query) Choice {
	c := Choice{FailureProbability: usualDoubt, Service: s.load.Service, ExpectedWait: s.load.ExpectedWait(q.Priority, len(s.sent))}
	if !s.reported.IsZero() {
		c.Known, c.Age = true, now.Sub(s.reported)
		c.FailureProbability = s.doubt(now)
	}
	return c
}

// doubt returns the reported doubt, which drifts to the usual one with its age.
func (s *state) doubt(now time.Time) float64 {
	age := now.Sub(s.reported).Seconds()
	return usualDoubt + (s.load.FailureProbability-usualDoubt)*math.Exp(-age/doubtMemory.Seconds())
}

// NextAvailable returns the time after which one of the candidates may take work.
func (p *Picker) NextAvailable(now time.Time, candidates []Candidate) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	soonest := MaxBackoff
	for i := range candidates {
		s := p.state(candidates[i].ID)
		after := s.until.Sub(now)
		if s.load.Open {
			after = max(after, s.load.ExpectedWait(gate.PriorityLevels, len(s.sent)))
		}
		if !s.load.Healthy() {
			after = max(after, s.load.TrialIn)
		}
		soonest = min(soonest, max(after, 0))
	}
	return soonest
}

func (p *Picker) state(id string) *state {
	s, ok := p.nodes[id]
	if !ok {
		s = &state{}
		p.nodes[id] = s
	}
	return s
}

// takes reports whether the node is not known to refuse the request.
func (s *state) takes(now time.Time, q Query, patience time.Duration, far bool) bool {
	if now.Before(s.until) {
		return false
	}
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > freshReport {
		return true
	}
	if !s.load.Open || q.Retry && s.load.RetriesLeft < 1 || s.load.StopsIn > 0 && q.Remaining > s.load.StopsIn-age {
		return false
	}
	if !s.load.Healthy() && (!q.Idempotent || q.LastAttempt || age < s.load.TrialIn || len(s.sent) > 0 || far && patience == 0) {
		return false
	}
	further := len(s.sent)
	if far && patience == 0 {
		// Reports from afar are older, and a vain hop is dearer.
		further++
	}
	return s.load.ExpectedWait(q.Priority, further) <= patience
}

// patience returns how long the request may be expected to wait at a candidate. At home
// it waits as long as the way to another data centre is worth, although others may
// have a free slot.
func (p *Picker) patience(c *Candidate, q Query) time.Duration {
	if c.DataCentre != p.dataCentre {
		return q.MaxWait
	}
	worth := time.Duration((otherDataCentre + bytesCost(q)) * float64(q.Objective))
	return max(q.MaxWait, min(q.LocalMaxWait, worth))
}

// bytesCost is the cost of the bytes of a request on the way between data centres.
func bytesCost(q Query) float64 { return perKilobyte * float64(q.Bytes) / 1024 }

func (s *state) cost(now time.Time, q Query) float64 {
	loss := 1.0
	if q.Idempotent && !q.LastAttempt {
		loss = IdempotentFailureCost
	}
	load, doubt := s.load, usualDoubt
	if s.reported.IsZero() {
		load = gate.Load{Slots: usualSlots, Service: usualService}
	} else {
		age := now.Sub(s.reported).Seconds()
		doubt = s.doubt(now)
		load.Running = int(float64(load.Running) * math.Exp(-age/loadMemory.Seconds()))
	}
	cost := loss*doubt + s.busy(load, q)
	if load.Cold {
		cost += coldCost
	}
	return cost
}

// isUntried reports whether the request may show how a server does that has had no
// result for a while.
func (s *state) isUntried(now time.Time, q Query) bool {
	return q.Idempotent && !q.LastAttempt && len(s.sent) == 0 && !s.reported.IsZero() &&
		s.load.SinceLastResult+now.Sub(s.reported) >= quietTime
}

// busy returns the cost of the expected use and wait.
func (s *state) busy(load gate.Load, q Query) float64 {
	use := min(float64(load.Running+len(s.sent)+1)/float64(max(load.Slots, 1)), 1)
	cost := useCost * use * use
	if q.Objective > 0 {
		cost += load.ExpectedWait(q.Priority, len(s.sent)).Seconds() / q.Objective.Seconds()
	}
	return cost
}

func (p *Picker) way(c *Candidate, q Query) float64 {
	bytes := bytesCost(q)
	switch {
	case c.DataCentre == p.dataCentre:
		return 0
	case c.Region == p.region:
		return otherDataCentre + bytes
	}
	return otherRegion + bytes
}

// Report takes the load that a node sent with an answer. It returns true if the
// node was held for unreachable before.
func (p *Picker) Report(now time.Time, id string, load gate.Load) (reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	reached = s.pause > 0
	s.take(now, load, true)
	return reached
}

// UpdateLoad takes the load of a node as it was at a time, unless something newer is
// known. direct tells that it came from the node itself; what others pass on does
// not show that the node can be reached.
func (p *Picker) UpdateLoad(at time.Time, id string, load gate.Load, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); at.After(s.reported) {
		s.take(at, load, direct)
	}
}

func (s *state) take(at time.Time, load gate.Load, reachable bool) {
	s.load, s.reported, s.sent = load, at, since(s.sent, at)
	if !reachable {
		return
	}
	s.pause = 0
	if load.Open {
		s.until = time.Time{}
	}
}

// since drops the times up to a limit from an ascending list.
func since(times []time.Time, limit time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(limit) {
		i++
	}
	return append(times[:0], times[i:]...)
}

// MarkRefused takes the refusal of a node without a server that takes work. Other
// refusals come with a report that says enough.
func (p *Picker) MarkRefused(now time.Time, id string, refusal gate.Refusal) {
	if refusal != gate.Closed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).pauseFrom(now)
}

// MarkUnreachable takes a failed connection. It returns the time for which the node
// is left out.
func (p *Picker) MarkUnreachable(now time.Time, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.pauseFrom(now)
	return s.pause
}

func (s *state) pauseFrom(now time.Time) {
	s.pause = min(max(2*s.pause, minPause), MaxBackoff)
	s.until = now.Add(s.pause)
}

// Retain forgets the nodes that are not listed.
func (p *Picker) Retain(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if !known(id) {
			delete(p.nodes, id)
		}
	}
}
