package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/route"
)

// The modelled service: 20 servers as at the size to design for, with the
// slots and the latencies of the present deployments.
const (
	trafficServers   = 20
	trafficSlots     = 6
	trafficConnLimit = 350
	// trafficEntries is one entry in the instance of each server.
	trafficEntries = trafficServers
	// manyEntries is the number of entries at the size to design for. An entry
	// then sees little of a server's load in its own requests.
	manyEntries        = 500
	trafficDataCentres = 3
	trafficService     = "s"
	// trafficMeanService is the mean of the exponential service time.
	trafficMeanService = 40 * time.Millisecond
	trafficNearDelay   = 250 * time.Microsecond
	trafficFarDelay    = 1500 * time.Microsecond
	// trafficWarmUp is left out of the figures.
	trafficWarmUp = 2 * time.Second
)

// trafficChooser is a way to choose a server.
type trafficChooser int

const (
	choosePowerOfTwo trafficChooser = iota
	chooseRoundRobin
	chooseLeastOutstanding
)

// trafficPolicy is what an entry does with a request.
type trafficPolicy struct {
	name    string
	chooser trafficChooser
	// retries bounds the attempts after the first.
	retries int
	// budgeted retries and hedges need a token of the budget.
	budgeted bool
	// hedge sends a second attempt after the p95 of the service.
	hedge bool
}

// trafficCase is one run.
type trafficCase struct {
	seed   uint64
	policy trafficPolicy
	// entryNodes is the number of entry nodes; the first ones host the servers.
	entryNodes int
	// load is relative to the capacity of all servers without a fault.
	load     float64
	length   time.Duration
	deadline time.Duration
	// graySlowdown multiplies the service time of the first server; 1 is healthy.
	graySlowdown float64
	// shedding makes every server refuse every request from shedFrom on. The
	// figures are those of the requests after that.
	shedding bool
	shedFrom time.Duration
}

// trafficResult holds the figures of one run.
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

// quantileMS returns a quantile of the latency of answers in milliseconds; the
// latencies are sorted.
func (r *trafficResult) quantileMS(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	i := min(int(q*float64(len(r.latencies))), len(r.latencies)-1)
	return float64(r.latencies[i]) / float64(time.Millisecond)
}

// trafficSim runs one case.
type trafficSim struct {
	trafficClock
	trafficCase
	arrivals, service, choice *rand.Rand
	servers                   []*trafficServer
	byID                      map[string]*trafficServer
	entries                   []*trafficEntry
	result                    trafficResult
}

func runTraffic(c trafficCase) *trafficResult {
	s := &trafficSim{
		trafficCase: c,
		arrivals:    rand.New(rand.NewPCG(c.seed, 1)),
		service:     rand.New(rand.NewPCG(c.seed, 2)),
		choice:      rand.New(rand.NewPCG(c.seed, 3)),
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

// scheduleArrival lets the next request arrive at a random entry.
func (s *trafficSim) scheduleArrival() {
	perSecond := s.load * trafficServers * trafficSlots / trafficMeanService.Seconds()
	gap := time.Duration(s.arrivals.ExpFloat64() / perSecond * float64(time.Second))
	if s.elapsed+gap > s.length {
		return
	}
	s.after(gap, func() {
		s.entries[s.arrivals.IntN(len(s.entries))].accept()
		s.scheduleArrival()
	})
}

func (s *trafficSim) delay(entry *trafficEntry, server *trafficServer) time.Duration {
	if entry.view.Self.DataCentre == server.dataCentre {
		return trafficNearDelay
	}
	return trafficFarDelay
}

// choose returns a server by the policy of the case.
func (e *trafficEntry) choose(tried []string) (*trafficServer, bool) {
	switch e.sim.policy.chooser {
	case chooseRoundRobin:
		return e.roundRobin(tried)
	case chooseLeastOutstanding:
		return e.leastOutstanding(tried)
	}
	q := route.Query{Service: trafficService, Idempotent: true, Exclude: tried}
	c, ok := e.router.Choose(e.sim.choice, e.sim.now(), e.view, q)
	if !ok {
		return nil, false
	}
	return e.sim.byID[c.Server.ID], true
}

func (e *trafficEntry) roundRobin(tried []string) (*trafficServer, bool) {
	for range e.sim.servers {
		e.turn++
		server := e.sim.servers[e.turn%len(e.sim.servers)]
		if !slices.Contains(tried, server.id) {
			return server, true
		}
	}
	return nil, false
}

// leastOutstanding starts its search at a random server, so that ties do not
// favour the first one.
func (e *trafficEntry) leastOutstanding(tried []string) (*trafficServer, bool) {
	var best *trafficServer
	least := 0
	start := e.sim.choice.IntN(len(e.sim.servers))
	for k := range e.sim.servers {
		server := e.sim.servers[(start+k)%len(e.sim.servers)]
		own := e.router.Loads().Server(server.id).Outstanding()
		if (best == nil || own < least) && !slices.Contains(tried, server.id) {
			best, least = server, own
		}
	}
	return best, best != nil
}
