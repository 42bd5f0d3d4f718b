package pick

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

const (
	// LossIfRepeatable is the cost of a failed run of an idempotent request.
	LossIfRepeatable = 0.35
	// otherDataCentre and otherRegion are the costs of the way.
	otherDataCentre = 0.12
	otherRegion     = 0.3
	// useCost is the cost of the last free slot, since servers slow down as
	// they fill.
	useCost = 0.15
	// coldCost is the cost of a server that is slow after its start.
	coldCost = 0.15
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
	minPause = 250 * time.Millisecond
	MaxPause = 2 * time.Second
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
	// Objective is the latency objective that is left.
	Objective time.Duration
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
	// sent counts the own requests since the report.
	sent int
	// until is the end of the pause after a refusal or a failed connection.
	until time.Time
	pause time.Duration
	// refusesOnce is the end of the time for which the node runs no
	// non-idempotent requests.
	refusesOnce time.Time
}

// New returns a picker for an entry in a data centre.
func New(dataCentre, region string) *Picker {
	return &Picker{dataCentre: dataCentre, region: region, nodes: map[string]*state{}}
}

// Choose returns the index of the candidate of the lowest cost, or false if
// none can take the request. random yields uniform numbers from 0 to 1.
func (p *Picker) Choose(now time.Time, random func() float64, candidates []Candidate, q Query) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		s := p.state(c.ID)
		if !s.takes(now, q) || q.Exclude != nil && q.Exclude(c.ID) {
			continue
		}
		cost := s.cost(now, q) + p.way(c) + tieBreak*random()
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return 0, false
	}
	p.state(candidates[best].ID).sent++
	return best, true
}

// Soonest returns the time until the first of the candidates ends its pause.
func (p *Picker) Soonest(now time.Time, candidates []Candidate) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	soonest := MaxPause
	for i := range candidates {
		s := p.state(candidates[i].ID)
		soonest = min(soonest, max(s.until.Sub(now), s.refusesOnce.Sub(now), 0))
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
func (s *state) takes(now time.Time, q Query) bool {
	if now.Before(s.until) {
		return false
	}
	return q.Idempotent || !now.Before(s.refusesOnce)
}

func (s *state) cost(now time.Time, q Query) float64 {
	loss := 1.0
	if q.Idempotent {
		loss = LossIfRepeatable
	}
	if s.reported.IsZero() {
		return loss*usualDoubt + s.busy(usualSlots, usualService, float64(s.sent), q)
	}
	age := now.Sub(s.reported)
	doubt := usualDoubt + (s.load.Doubt-usualDoubt)*math.Exp(-age.Seconds()/doubtMemory.Seconds())
	running := float64(s.load.Running+s.load.Waiting)*math.Exp(-age.Seconds()/loadMemory.Seconds()) + float64(s.sent)
	cost := loss*doubt + s.busy(max(s.load.Slots, 1), s.load.Service, running, q)
	if s.load.Cold {
		cost += coldCost
	}
	return cost
}

// busy returns the cost of the expected use and wait.
func (s *state) busy(slots int, service time.Duration, running float64, q Query) float64 {
	use := min((running+1)/float64(slots), 1)
	cost := useCost * use * use
	if ahead := running + 1 - float64(slots); ahead > 0 && q.Objective > 0 {
		wait := ahead / float64(slots) * service.Seconds()
		cost += wait / q.Objective.Seconds()
	}
	return cost
}

func (p *Picker) way(c *Candidate) float64 {
	switch {
	case c.DataCentre == p.dataCentre:
		return 0
	case c.Region == p.region:
		return otherDataCentre
	}
	return otherRegion
}

// Report takes the load that a node sent.
func (p *Picker) Report(now time.Time, id string, load gate.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.load, s.reported, s.sent, s.pause = load, now, 0, 0
	s.refusesOnce = time.Time{}
	if load.Open {
		s.until = time.Time{}
	}
}

// Refused takes the refusal of a node and the time after which it may take the
// request.
func (p *Picker) Refused(now time.Time, id string, refusal gate.Refusal, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	switch refusal {
	case gate.Closed:
		s.pauseFrom(now)
	case gate.Doubtful:
		s.refusesOnce = now.Add(min(after, MaxPause))
	case gate.Busy, gate.NotRefused:
		// The report that came with the refusal says enough.
	}
}

// Unreachable takes a failed connection.
func (p *Picker) Unreachable(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).pauseFrom(now)
}

func (s *state) pauseFrom(now time.Time) {
	s.pause = min(max(2*s.pause, minPause), MaxPause)
	s.until = now.Add(s.pause)
}

// Keep forgets the nodes that are not listed.
func (p *Picker) Keep(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if !known(id) {
			delete(p.nodes, id)
		}
	}
}
