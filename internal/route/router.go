package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// ReportHalfLife is the age at which a reported load counts half.
	ReportHalfLife = time.Second
	// SpillUse is the use, in requests per effective slot, from which the next
	// tier is considered. Below it a request starts without queueing.
	SpillUse = 0.8
	// ProbationShare is the part of a full share of idempotent requests that a
	// server on probation takes: 1 of 20 requests/s, enough for evidence within
	// seconds.
	ProbationShare = 0.05
	// ConnIdle is the time after which an idle connection to a host is to be
	// closed; see the arithmetic in the package comment.
	ConnIdle = 30 * time.Second
	// populationInterval is the time between two counts of the nodes. A count
	// visits each node record, and subset sizes need not follow at once.
	populationInterval = 10 * time.Second
)

// tierPenalties is the difference in use that makes up for the longer way.
var tierPenalties = [tierCount]float64{0, 0.2, 0.5}

// Source yields uniform random bits; *rand.Rand of math/rand/v2 is one. A
// Source that is used from several goroutines must be safe for that.
type Source interface{ Uint64() uint64 }

// Query describes the request that needs a server.
type Query struct {
	Service string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Exclude lists the IDs of servers that were tried already.
	Exclude []string
	// Key, if not empty, replaces the random source, so that requests with the
	// same key consider the same servers while the view stays the same.
	Key string
}

// Router chooses servers for one entry node. It is safe for concurrent use.
type Router struct {
	loads *Loads
	// services is copied when a service is added, so that reads take no lock.
	services atomic.Pointer[map[string]*serviceState]
	addMu    sync.Mutex
	counted  atomic.Pointer[countedPopulation]
}

// serviceState is what a Router keeps of one service.
type serviceState struct {
	mu     sync.Mutex
	plan   atomic.Pointer[plan]
	budget Budget
	hedge  Hedge
}

type countedPopulation struct {
	at     time.Time
	nodes  int
	people population
}

// New returns a Router that reads the given loads.
func New(loads *Loads) *Router {
	r := &Router{loads: loads}
	r.services.Store(&map[string]*serviceState{})
	return r
}

// Loads returns the load table.
func (r *Router) Loads() *Loads { return r.loads }

// Budget returns the budget of retries and hedges of a service.
func (r *Router) Budget(service string) *Budget { return &r.state(service).budget }

// Hedge returns the hedge delay of a service.
func (r *Router) Hedge(service string) *Hedge { return &r.state(service).hedge }

// Choose returns a server for the request, or false if no server of the
// service can take it. It allocates only after the view of the service changed.
func (r *Router) Choose(rng Source, now time.Time, view *fleet.View, q Query) (*fleet.Candidate, bool) {
	service, ok := view.Services[q.Service]
	if !ok {
		return nil, false
	}
	p := r.planFor(now, view, service, r.state(q.Service))
	d := newDice(rng, q.Key)
	m := p.choose(&d, now.UnixNano(), q)
	if m == nil {
		return nil, false
	}
	return m.candidate, true
}

// choose tries the probation share, the subsets, the full set, and then the
// servers that are a last resort.
func (p *plan) choose(d *dice, nowNanos int64, q Query) *member {
	if q.Idempotent && p.probationShare > 0 && unit(d.next()) < p.probationShare {
		m := p.probation.choose(d, nowNanos, q.Exclude)
		if m != nil && m.load.Outstanding() == 0 {
			return m
		}
	}
	if m := chooseTier(&p.subset, d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if m := chooseTier(&p.full, d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if m := p.probation.choose(d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if !q.Idempotent {
		return nil
	}
	return p.cut.choose(d, nowNanos, q.Exclude)
}

// chooseTier goes from the nearest tier outwards while the servers drawn are
// used to SpillUse or more.
func chooseTier(tiers *[tierCount]pool, d *dice, nowNanos int64, exclude []string) *member {
	var best *member
	var bestCost float64
	for t := range tiers {
		m := tiers[t].chooseTwice(d, nowNanos, exclude)
		if m == nil {
			continue
		}
		use := m.use(nowNanos)
		cost := use + tierPenalties[t]
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
		if use < SpillUse {
			return best
		}
	}
	return best
}

// planFor returns the plan for the view of the service. A request that holds
// an older view gets the newer plan.
func (r *Router) planFor(now time.Time, view *fleet.View, service *fleet.ServiceView, s *serviceState) *plan {
	people := r.population(now, view)
	if p := s.plan.Load(); p.serves(view, service, people) {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.plan.Load(); p.serves(view, service, people) {
		return p
	}
	p := newPlan(view, service, people, r.loads)
	s.plan.Store(p)
	return p
}

func (p *plan) serves(view *fleet.View, service *fleet.ServiceView, people population) bool {
	if p == nil {
		return false
	}
	return p.view == service && p.people == people || view.At.Before(p.at)
}

// population counts the nodes of each tier, at most once in populationInterval
// unless their number changed by more than a quarter, as it does while a
// starting node learns of the others.
func (r *Router) population(now time.Time, view *fleet.View) population {
	counted := r.counted.Load()
	if counted != nil && now.Sub(counted.at) < populationInterval && similar(counted.nodes, len(view.Nodes)) {
		return counted.people
	}
	fresh := &countedPopulation{at: now, nodes: len(view.Nodes), people: countPopulation(view)}
	if r.counted.CompareAndSwap(counted, fresh) {
		return fresh.people
	}
	return r.counted.Load().people
}

func similar(before, after int) bool { return 4*max(before-after, after-before) <= before }

func countPopulation(view *fleet.View) population {
	var people population
	for _, node := range view.Nodes {
		if node.Left || view.DownNodes[node.ID] {
			continue
		}
		people[otherRegion]++
		if node.Region != view.Self.Region {
			continue
		}
		people[sameRegion]++
		if node.DataCentre == view.Self.DataCentre {
			people[sameDataCentre]++
		}
	}
	return people
}

func (r *Router) state(service string) *serviceState {
	if s, ok := (*r.services.Load())[service]; ok {
		return s
	}
	r.addMu.Lock()
	defer r.addMu.Unlock()
	known := *r.services.Load()
	if s, ok := known[service]; ok {
		return s
	}
	next := make(map[string]*serviceState, len(known)+1)
	for name, s := range known {
		next[name] = s
	}
	s := &serviceState{}
	next[service] = s
	r.services.Store(&next)
	return s
}

// dice yields random bits from a source, or from a key.
type dice struct {
	source Source
	keyed  keyed
}

func newDice(rng Source, key string) dice {
	if key == "" {
		return dice{source: rng}
	}
	return dice{keyed: keyed{state: hashString(key)}}
}

func (d *dice) next() uint64 {
	if d.source != nil {
		return d.source.Uint64()
	}
	return d.keyed.next()
}
