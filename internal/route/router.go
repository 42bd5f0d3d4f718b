package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife = time.Second
	// SpilloverUtilisation is the utilisation, in requests per effective slot, from
	// which the next tier is considered. Below it a request starts without queueing.
	SpilloverUtilisation = 0.8
	// ProbationShare is the fraction of its normal share of idempotent requests
	// that a server on probation gets: 1 of 20 requests/s, enough to judge its
	// health within seconds.
	ProbationShare = 0.05
	// ConnIdleTimeout is the time after which callers must close an idle connection
	// to a host; the package comment derives it.
	ConnIdleTimeout = 30 * time.Second
	// nodeCountInterval is the minimum time between counts of the nodes. A count
	// visits every node record, and subset sizes need not be updated at once.
	nodeCountInterval = 10 * time.Second
)

// tierPenalties are the differences in utilisation that outweigh the longer
// network path to each tier.
var tierPenalties = [tierCount]float64{0, 0.2, 0.5}

// Source yields uniform random bits, for example *rand.Rand of math/rand/v2. A
// Source shared by several goroutines must be safe for concurrent use.
type Source interface{ Uint64() uint64 }

// Query describes the request that needs a server.
type Query struct {
	Service string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Exclude lists the IDs of servers that were already tried.
	Exclude []string
	// Key, if not empty, seeds the selection instead of the random source, so
	// that requests with the same key draw the same servers while the view is
	// unchanged.
	Key string
}

// Router chooses servers for one entry node. It is safe for concurrent use.
type Router struct {
	loads *Loads
	// services is copied on write when a service is added, so that reads take no lock.
	services     atomic.Pointer[map[string]*serviceState]
	servicesMu   sync.Mutex
	cachedCounts atomic.Pointer[cachedNodeCounts]
}

// serviceState is the state that a Router keeps for one service.
type serviceState struct {
	mu     sync.Mutex
	plan   atomic.Pointer[plan]
	budget Budget
	hedge  Hedge
}

type cachedNodeCounts struct {
	at     time.Time
	nodes  int
	counts nodeCounts
}

// New returns a Router that uses the given load table.
func New(loads *Loads) *Router {
	r := &Router{loads: loads}
	r.services.Store(&map[string]*serviceState{})
	return r
}

// Loads returns the load table.
func (r *Router) Loads() *Loads { return r.loads }

// Budget returns the retry and hedge budget of a service.
func (r *Router) Budget(service string) *Budget { return &r.state(service).budget }

// Hedge returns the hedge delay estimator of a service.
func (r *Router) Hedge(service string) *Hedge { return &r.state(service).hedge }

// Choose returns a server for the request, or false if no server of the
// service can take it. It allocates only after the view of the service has changed.
func (r *Router) Choose(rng Source, now time.Time, view *fleet.View, q Query) (*fleet.Candidate, bool) {
	service, ok := view.Services[q.Service]
	if !ok {
		return nil, false
	}
	p := r.planFor(now, view, service, r.state(q.Service))
	d := newBitSource(rng, q.Key)
	m := p.choose(&d, now.UnixNano(), q)
	if m == nil {
		return nil, false
	}
	return m.candidate, true
}

// choose first serves the probation share, then tries the subsets and the full
// set, and as a last resort servers on probation or behind a broken path.
func (p *plan) choose(d *bitSource, nowNanos int64, q Query) *member {
	if q.Idempotent && p.probationShare > 0 && unitFloat(d.next()) < p.probationShare {
		m := p.onProbation.choose(d, nowNanos, q.Exclude)
		if m != nil && m.load.Outstanding() == 0 {
			return m
		}
	}
	if m := chooseFromTiers(&p.subset, d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if m := chooseFromTiers(&p.full, d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if m := p.onProbation.choose(d, nowNanos, q.Exclude); m != nil {
		return m
	}
	if !q.Idempotent {
		return nil
	}
	return p.unreachable.choose(d, nowNanos, q.Exclude)
}

// chooseFromTiers goes from the nearest tier outwards while the utilisation of the
// servers drawn is SpilloverUtilisation or more.
func chooseFromTiers(tiers *[tierCount]pool, d *bitSource, nowNanos int64, exclude []string) *member {
	var best *member
	var bestCost float64
	for t := range tiers {
		m := tiers[t].chooseWithRedraw(d, nowNanos, exclude)
		if m == nil {
			continue
		}
		utilisation := m.utilisation(nowNanos)
		cost := utilisation + tierPenalties[t]
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
		if utilisation < SpilloverUtilisation {
			return best
		}
	}
	return best
}

// planFor returns the plan for the view of the service. A request that holds
// an older view gets the newer plan.
func (r *Router) planFor(now time.Time, view *fleet.View, service *fleet.ServiceView, s *serviceState) *plan {
	counts := r.countsFor(now, view)
	if p := s.plan.Load(); p.matches(view, service, counts) {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.plan.Load(); p.matches(view, service, counts) {
		return p
	}
	p := newPlan(view, service, counts, r.loads)
	s.plan.Store(p)
	return p
}

func (p *plan) matches(view *fleet.View, service *fleet.ServiceView, counts nodeCounts) bool {
	if p == nil {
		return false
	}
	return p.view == service && p.nodes == counts || view.At.Before(p.viewAt)
}

// countsFor returns the number of nodes of each tier. It counts them at most
// once per nodeCountInterval unless their number has changed by more than a
// quarter, as it does while a starting node discovers the others.
func (r *Router) countsFor(now time.Time, view *fleet.View) nodeCounts {
	cached := r.cachedCounts.Load()
	if cached != nil && now.Sub(cached.at) < nodeCountInterval && withinQuarter(cached.nodes, len(view.Nodes)) {
		return cached.counts
	}
	fresh := &cachedNodeCounts{at: now, nodes: len(view.Nodes), counts: countNodes(view)}
	if r.cachedCounts.CompareAndSwap(cached, fresh) {
		return fresh.counts
	}
	return r.cachedCounts.Load().counts
}

// withinQuarter reports whether the number changed by at most a quarter.
func withinQuarter(before, after int) bool { return 4*max(before-after, after-before) <= before }

func countNodes(view *fleet.View) nodeCounts {
	var counts nodeCounts
	for _, node := range view.Nodes {
		if node.Left || view.DownNodes[node.ID] {
			continue
		}
		counts[otherRegion]++
		if node.Region != view.Self.Region {
			continue
		}
		counts[sameRegion]++
		if node.DataCentre == view.Self.DataCentre {
			counts[sameDataCentre]++
		}
	}
	return counts
}

func (r *Router) state(service string) *serviceState {
	if s, ok := (*r.services.Load())[service]; ok {
		return s
	}
	r.servicesMu.Lock()
	defer r.servicesMu.Unlock()
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

// bitSource yields random bits from a Source, or from a key if one is set.
type bitSource struct {
	source Source
	keyed  keyedSource
}

func newBitSource(rng Source, key string) bitSource {
	if key == "" {
		return bitSource{source: rng}
	}
	return bitSource{keyed: keyedSource{state: hashString(key)}}
}

func (d *bitSource) next() uint64 {
	if d.source != nil {
		return d.source.Uint64()
	}
	return d.keyed.next()
}
