package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// The modelled service has requests of its own callers and calls of running requests of another
// service, in the proportions and with the service times of a billing service.
const (
	roomServers        = 10
	roomSlots          = 5
	roomEntries        = 12
	roomDuration       = 20 * time.Second
	roomReportInterval = 200 * time.Millisecond
	roomHopDelay       = time.Millisecond
	roomRecheck        = 25 * time.Millisecond
	roomMaxHops        = 10
)

// roomLoads are relative to the capacity of the service.
var roomLoads = []float64{0.7, 1, 1.5, 2, 3}

// roomKind is a kind of request.
type roomKind struct {
	name     string
	call     bool
	priority int
	// share is its part of the offered work.
	share                        float64
	service, objective, deadline time.Duration
}

// useful is the time within which an answer is fully useful. A call is so for as long as its parent waits.
func (k roomKind) useful() time.Duration {
	if k.call {
		return k.deadline
	}
	return k.objective
}

var roomKinds = []roomKind{
	{name: "call", call: true, share: 0.4, service: 100 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond},
	{name: "upload", priority: 2, share: 0.35, service: 490 * time.Millisecond, objective: 6 * time.Second, deadline: 20 * time.Second},
	{name: "change", share: 0.25, service: 340 * time.Millisecond, objective: 1500 * time.Millisecond, deadline: 8 * time.Second},
}

// roomPolicy switches the mechanisms of the admission on.
type roomPolicy struct {
	name string
	// ranked gives calls their rank; otherwise only objectives order the queue.
	ranked bool
	// boundedWaits lets only calls wait beyond their share of the objective.
	boundedWaits bool
	// oracle has one queue for all servers and knows every service time.
	oracle bool
}

var roomPolicies = []roomPolicy{
	{name: "room-unranked"},
	{name: "room-ranked", ranked: true},
	{name: "room-bounded-waits", boundedWaits: true},
	{name: "room-all", ranked: true, boundedWaits: true},
	{name: "room-oracle", oracle: true},
}

// roomResult counts the requests of a kind.
type roomResult struct {
	trafficResult
	inTime int
}

// roomSim simulates one policy at one load.
type roomSim struct {
	trafficClock
	policy     roomPolicy
	random     *rand.Rand
	gates      []*gate.Gate
	waiting    [][]*roomRequest
	candidates []pick.Candidate
	pickers    []*pick.Picker
	results    []roomResult
	oracle     roomOracle
}

// roomRequest is one request with its progress.
type roomRequest struct {
	kind    int
	arrived time.Duration
	service time.Duration
	picker  *pick.Picker
	hops    int
	tried   map[string]bool
	ticket  *gate.Ticket
	counts  bool
}

func runRoom(seed uint64, duration time.Duration, policy roomPolicy, load float64) []roomResult {
	s := &roomSim{policy: policy, random: rand.New(rand.NewPCG(seed, 4)), results: make([]roomResult, len(roomKinds))}
	for i := range roomServers {
		g := gate.New(s.now(), func() {})
		g.Open(s.now(), roomSlots, time.Time{}, true)
		s.gates = append(s.gates, g)
		s.candidates = append(s.candidates, pick.Candidate{ID: fmt.Sprint(i), DataCentre: "d", Region: "r"})
	}
	s.waiting = make([][]*roomRequest, roomServers)
	for range roomEntries {
		s.pickers = append(s.pickers, pick.New("d", "r"))
	}
	for kind := range roomKinds {
		s.scheduleArrivals(kind, load, duration)
	}
	for at := time.Duration(0); at < duration; at += roomReportInterval {
		s.after(at, s.report)
	}
	s.drain()
	for i := range s.results {
		slices.Sort(s.results[i].latencies)
	}
	return s.results
}

func (s *roomSim) scheduleArrivals(kind int, load float64, duration time.Duration) {
	k := roomKinds[kind]
	perSecond := load * k.share * roomServers * roomSlots / k.service.Seconds()
	for at := time.Duration(0); ; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return
		}
		service := time.Duration(s.random.ExpFloat64() * float64(k.service))
		r := &roomRequest{kind: kind, arrived: at, service: service, tried: map[string]bool{}, counts: at > trafficWarmUp}
		r.picker = s.pickers[s.random.IntN(len(s.pickers))]
		s.after(at, func() { s.arrive(r) })
	}
}

func (s *roomSim) report() {
	for i, g := range s.gates {
		for _, p := range s.pickers {
			p.UpdateLoad(s.now(), s.candidates[i].ID, g.Load(s.now()), true)
		}
	}
}

func (s *roomSim) arrive(r *roomRequest) {
	if r.counts {
		s.results[r.kind].requests++
	}
	if s.policy.oracle {
		s.oracle.arrive(s, r)
		return
	}
	s.send(r)
}

// maxWait is the longest expected wait of a request.
func (s *roomSim) maxWait(r *roomRequest) time.Duration {
	k, passed := roomKinds[r.kind], s.elapsed-r.arrived
	remaining := k.deadline - passed
	if s.policy.boundedWaits && !k.call {
		remaining = 0
	}
	return gate.MaxWaitFor(k.objective-passed, remaining)
}

// send offers the request to a node, or looks again later.
func (s *roomSim) send(r *roomRequest) {
	k := roomKinds[r.kind]
	call := k.call && s.policy.ranked
	limit := s.maxWait(r)
	query := pick.Query{
		Idempotent: true, Priority: gate.Rank(call, k.priority), Objective: k.objective, MaxWait: limit, LocalMaxWait: limit,
		Remaining: k.deadline, Exclude: func(id string) bool { return r.tried[id] },
	}
	choice, ok := r.picker.Choose(s.now(), s.random.Float64, s.candidates, query)
	if !ok {
		clear(r.tried)
		if s.elapsed-r.arrived+roomRecheck < gate.MaxWaitFor(k.objective, 0) && r.hops < roomMaxHops {
			s.after(roomRecheck, func() { s.send(r) })
		}
		return
	}
	if r.hops++; r.hops > roomMaxHops {
		return
	}
	if r.counts {
		s.results[r.kind].sent++
	}
	s.after(roomHopDelay, func() { s.admit(r, choice.Index, call, limit) })
}

func (s *roomSim) admit(r *roomRequest, server int, call bool, limit time.Duration) {
	k := roomKinds[r.kind]
	ticket, refusal, _ := s.gates[server].Admit(s.now(), gate.Request{
		Call: call, Priority: k.priority, Flow: gate.Flow{Kind: uint32(r.kind)}, Idempotent: true,
		Objective: s.now().Add(r.arrived + k.objective - s.elapsed), MaxWait: limit, FirstAttempt: r.hops == 1,
	})
	if refusal != gate.NotRefused {
		s.refused(r, server)
		return
	}
	r.ticket = ticket
	if s.gates[server].Running(ticket) {
		s.begin(r, server)
		return
	}
	s.waiting[server] = append(s.waiting[server], r)
	s.after(limit, func() {
		if r.ticket == ticket && !s.gates[server].Running(ticket) {
			s.gates[server].Cancel(s.now(), ticket)
			s.leaveQueue(r, server)
			s.refused(r, server)
		}
	})
	s.checkQueue(server)
}

func (s *roomSim) refused(r *roomRequest, server int) {
	r.ticket = nil
	r.tried[s.candidates[server].ID] = true
	r.picker.Report(s.now(), s.candidates[server].ID, s.gates[server].Load(s.now()))
	s.send(r)
}

func (s *roomSim) leaveQueue(r *roomRequest, server int) {
	s.waiting[server] = slices.DeleteFunc(s.waiting[server], func(other *roomRequest) bool { return other == r })
}

// checkQueue acts on the decisions that an event has caused.
func (s *roomSim) checkQueue(server int) {
	for _, r := range slices.Clone(s.waiting[server]) {
		select {
		case refusal := <-r.ticket.Decision():
			s.leaveQueue(r, server)
			if refusal != gate.NotRefused {
				s.refused(r, server)
				continue
			}
			s.begin(r, server)
		default:
		}
	}
}

func (s *roomSim) begin(r *roomRequest, server int) {
	ticket := r.ticket
	s.after(r.service, func() {
		r.ticket = nil
		s.gates[server].Done(s.now(), ticket, gate.Success)
		r.picker.Report(s.now(), s.candidates[server].ID, s.gates[server].Load(s.now()))
		s.finish(r)
		s.checkQueue(server)
	})
}

func (s *roomSim) finish(r *roomRequest) {
	took := s.elapsed - r.arrived
	if !r.counts || took > roomKinds[r.kind].deadline {
		return
	}
	result := &s.results[r.kind]
	result.answered++
	result.latencies = append(result.latencies, took)
	if took <= roomKinds[r.kind].useful() {
		result.inTime++
	}
}

// roomOracle is one queue for all slots, calls first and then the earliest objective. It knows how long
// each request takes and runs none that would be late.
type roomOracle struct {
	running int
	queue   []*roomRequest
}

func (o *roomOracle) arrive(s *roomSim, r *roomRequest) {
	at, _ := slices.BinarySearchFunc(o.queue, r, func(a, b *roomRequest) int { return int(a.latestStart() - b.latestStart()) })
	o.queue = slices.Insert(o.queue, at, r)
	o.start(s)
}

func (r *roomRequest) latestStart() time.Duration {
	start := r.arrived + roomKinds[r.kind].useful() - r.service
	if roomKinds[r.kind].call {
		return start - time.Hour
	}
	return start
}

func (o *roomOracle) start(s *roomSim) {
	for o.running < roomServers*roomSlots && len(o.queue) > 0 {
		r := o.queue[0]
		o.queue = o.queue[1:]
		if s.elapsed+r.service > r.arrived+roomKinds[r.kind].useful() {
			continue
		}
		o.running++
		s.after(r.service, func() {
			o.running--
			s.finish(r)
			o.start(s)
		})
	}
}

// addRoomRows adds a row for all requests of each policy and load, and one for the kind that is served worst.
// Goodput is the fraction of requests answered while that is fully useful.
func addRoomRows(table *Table, seed uint64, duration time.Duration) {
	for _, policy := range roomPolicies {
		var worst [][]string
		for _, load := range roomLoads {
			results := runRoom(seed, duration, policy, load)
			var all, least roomResult
			share := 2.0
			for _, r := range results {
				all.add(r)
				if goodput := ratio(r.inTime, r.requests); goodput < share {
					share, least = goodput, r
				}
			}
			slices.Sort(all.latencies)
			table.Rows = append(table.Rows, all.row(policy.name, load))
			worst = append(worst, least.row(policy.name+"-worst-kind", load))
		}
		table.Rows = append(table.Rows, worst...)
	}
}

func (r *roomResult) add(other roomResult) {
	r.requests += other.requests
	r.answered += other.answered
	r.inTime += other.inTime
	r.sent += other.sent
	r.latencies = append(r.latencies, other.latencies...)
}

func (r *roomResult) row(name string, load float64) []string {
	return []string{
		name, formatDecimal(load, 2), formatDecimal(ratio(r.inTime, r.requests), 4), formatDecimal(r.quantileMS(0.5), 2),
		formatDecimal(r.quantileMS(0.99), 2), formatDecimal(r.sentPerRequest(), 4),
	}
}
