package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/route"
)

// The modelled service: 20 servers, the design target, with the slots and latencies of
// the present deployments.
const (
	trafficServers   = 20
	trafficSlots     = 6
	trafficConnLimit = 350
	// trafficEntries is one entry node in the instance of each server.
	trafficEntries = trafficServers
	// largeFleetEntries is the number of entry nodes in the design target. Each of them
	// sends only a small part of a server's load itself.
	largeFleetEntries  = 500
	trafficDataCentres = 3
	trafficService     = "s"
	// trafficMeanServiceTime is the mean of the exponential service time.
	trafficMeanServiceTime      = 40 * time.Millisecond
	trafficSameDataCentreDelay  = 250 * time.Microsecond
	trafficCrossDataCentreDelay = 1500 * time.Microsecond
	// trafficWarmUp is the initial time excluded from the results.
	trafficWarmUp = 2 * time.Second
)

// trafficChooser is a server selection algorithm.
type trafficChooser int

const (
	choosePowerOfTwo trafficChooser = iota
	chooseRoundRobin
	chooseLeastOutstanding
)

// trafficPolicy defines how an entry node selects servers, retries and hedges.
type trafficPolicy struct {
	name    string
	chooser trafficChooser
	// retries is the maximum number of attempts after the first, excluding hedges.
	retries int
	// budgeted means that each retry needs a token of the retry budget.
	budgeted bool
	// hedge sends a second attempt after the p95 latency of the service.
	hedge bool
}

// trafficCase holds the parameters of one run.
type trafficCase struct {
	seed   uint64
	policy trafficPolicy
	// entryNodes is the number of entry nodes; the first ones host the servers.
	entryNodes int
	// load is relative to the capacity of all servers without a fault.
	load     float64
	duration time.Duration
	deadline time.Duration
	// graySlowdown multiplies the service time of the first server; 1 is healthy.
	graySlowdown float64
	// shedding makes every server refuse every request from shedFrom on. Only requests
	// after shedFrom are measured.
	shedding bool
	shedFrom time.Duration
}

// trafficResult holds the measurements of one run.
type trafficResult struct {
	requests, answered, sent int
	latencies                []time.Duration
}

func (r *trafficResult) goodput() float64 { return ratio(r.answered, r.requests) }

func (r *trafficResult) sentPerRequest() float64 { return ratio(r.sent, r.requests) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// quantileMS returns a quantile of the response latency in milliseconds. The latencies
// must be sorted.
func (r *trafficResult) quantileMS(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	i := min(int(q*float64(len(r.latencies))), len(r.latencies)-1)
	return float64(r.latencies[i]) / float64(time.Millisecond)
}

// trafficSim simulates one case.
type trafficSim struct {
	trafficClock
	trafficCase
	arrivalRand, serviceRand, choiceRand *rand.Rand
	servers                              []*trafficServer
	byID                                 map[string]*trafficServer
	entries                              []*trafficEntry
	result                               trafficResult
}

func runTraffic(c trafficCase) *trafficResult {
	s := &trafficSim{
		trafficCase: c,
		arrivalRand: rand.New(rand.NewPCG(c.seed, 1)),
		serviceRand: rand.New(rand.NewPCG(c.seed, 2)),
		choiceRand:  rand.New(rand.NewPCG(c.seed, 3)),
		byID:        map[string]*trafficServer{},
	}
	s.build()
	s.scheduleArrival()
	s.drain()
	slices.Sort(s.result.latencies)
	return &s.result
}

func (s *trafficSim) build() {
	nodes := trafficNodes(max(s.entryNodes, trafficServers))
	sv := &fleet.ServiceView{Service: fleet.Service{Name: trafficService}}
	for i := range trafficServers {
		node := nodes[trafficNodeID(i)]
		record := &fleet.ServerRecord{ID: fmt.Sprintf("server-%02d", i), Service: trafficService, Slots: trafficSlots, ConnLimit: trafficConnLimit}
		sv.Candidates = append(sv.Candidates, fleet.Candidate{Server: record, Host: node, Warmth: 1})
		server := newTrafficServer(s, i, node.DataCentre)
		s.servers = append(s.servers, server)
		s.byID[record.ID] = server
	}
	for i := range s.entryNodes {
		view := &fleet.View{
			Self:     nodes[trafficNodeID(i)],
			Nodes:    nodes,
			Services: map[string]*fleet.ServiceView{trafficService: sv},
		}
		s.entries = append(s.entries, newTrafficEntry(s, view))
	}
}

func trafficNodeID(i int) string { return fmt.Sprintf("node-%03d", i) }

func trafficNodes(n int) map[string]*fleet.NodeRecord {
	nodes := map[string]*fleet.NodeRecord{}
	for i := range n {
		id := trafficNodeID(i)
		nodes[id] = &fleet.NodeRecord{ID: id, Region: "r", DataCentre: fmt.Sprint(i % trafficDataCentres)}
	}
	return nodes
}

// scheduleArrival schedules the next request at a random entry node.
func (s *trafficSim) scheduleArrival() {
	perSecond := s.load * trafficServers * trafficSlots / trafficMeanServiceTime.Seconds()
	gap := time.Duration(s.arrivalRand.ExpFloat64() / perSecond * float64(time.Second))
	if s.elapsed+gap > s.duration {
		return
	}
	s.after(gap, func() {
		s.entries[s.arrivalRand.IntN(len(s.entries))].accept()
		s.scheduleArrival()
	})
}

func (s *trafficSim) delay(entry *trafficEntry, server *trafficServer) time.Duration {
	if entry.view.Self.DataCentre == server.dataCentre {
		return trafficSameDataCentreDelay
	}
	return trafficCrossDataCentreDelay
}

// choose selects a server by the policy of the case.
func (e *trafficEntry) choose(tried []string) (*trafficServer, bool) {
	switch e.sim.policy.chooser {
	case chooseRoundRobin:
		return e.roundRobin(tried)
	case chooseLeastOutstanding:
		return e.leastOutstanding(tried)
	}
	q := route.Query{Service: trafficService, Idempotent: true, Exclude: tried}
	c, ok := e.router.Choose(e.sim.choiceRand, e.sim.now(), e.view, q)
	if !ok {
		return nil, false
	}
	return e.sim.byID[c.Server.ID], true
}

func (e *trafficEntry) roundRobin(tried []string) (*trafficServer, bool) {
	for range e.sim.servers {
		e.roundRobinIndex++
		server := e.sim.servers[e.roundRobinIndex%len(e.sim.servers)]
		if !slices.Contains(tried, server.id) {
			return server, true
		}
	}
	return nil, false
}

// leastOutstanding starts its search at a random server, so that ties do not favour the
// first one.
func (e *trafficEntry) leastOutstanding(tried []string) (*trafficServer, bool) {
	var best *trafficServer
	least := 0
	start := e.sim.choiceRand.IntN(len(e.sim.servers))
	for k := range e.sim.servers {
		server := e.sim.servers[(start+k)%len(e.sim.servers)]
		own := e.router.Loads().Server(server.id).Outstanding()
		if (best == nil || own < least) && !slices.Contains(tried, server.id) {
			best, least = server, own
		}
	}
	return best, best != nil
}
