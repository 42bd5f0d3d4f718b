package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

const (
	evenSlots   = 6
	evenService = 300 * time.Millisecond
	// evenObjective is the latency objective; a request may wait for evenMaxWait.
	evenObjective = 2 * time.Second
	evenMaxWait   = 1200 * time.Millisecond
	// evenHops is the number of servers that are asked for a free slot before a request queues.
	evenHops = 3
	// evenRemoteFactor is how much rarer the reports from other data centres are.
	evenRemoteFactor = 4
	// Every evenSlowEvery-th server of an unequal fleet is slower by evenSlowdown, and every
	// evenColdEvery-th is cold and slower by evenColdSlowdown.
	evenSlowEvery, evenColdEvery   = 4, 9
	evenSlowdown, evenColdSlowdown = 3.0, 2.0
	// evenServiceWeight is the weight of one request in the mean service time that a server tells.
	evenServiceWeight = 1.0 / 8
	evenWindow        = 500 * time.Millisecond
	// evenWarmUp is the time after which results count.
	evenWarmUp = 2 * time.Second
	// In a failing fleet, servers fail evenFailures of their requests during episodes, after
	// evenFailureTime. evenFailingTime and evenHealthyTime are the mean times of episodes and between
	// them.
	evenFailures    = 0.9
	evenFailureTime = 2 * time.Millisecond
	evenFailingTime = 3 * time.Second
	evenHealthyTime = 7 * time.Second
	// evenTrialPause is the time between two trials of an unhealthy server.
	evenTrialPause = 150 * time.Millisecond
	// evenIdempotent is the share of requests that may be sent again after a failure.
	evenIdempotent = 0.4
	// evenShare is the share of the demand that arises in the first of several data centres.
	evenShare = 0.5
)

var evenStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// evenWorld is the state of one run.
type evenWorld struct {
	evenCase
	random  *rand.Rand
	now     time.Time
	events  evenEvents
	servers []*evenServer
	nodes   []pick.Candidate
	pickers []*evenChooser
	result  evenResult
}

type evenChooser struct {
	*pick.Picker
	dataCentre string
}

type evenServer struct {
	slowdown float64
	running  int
	service  time.Duration
	cold     bool
	queue    []evenRequest
	// health is the host's estimate; failing and nextChange are the true state.
	health     gate.HealthEstimate
	lastUse    time.Time
	nextTrial  time.Time
	failing    bool
	nextChange time.Time
	// busy is the time integral of the load in the current window, and since when it is up to
	// date.
	busy  time.Duration
	since time.Time
}

type evenRequest struct {
	chooser    *evenChooser
	arrived    time.Time
	idempotent bool
	// failed is set after a failed attempt.
	failed bool
}

// evenEvent is a completion if request is set, and otherwise a report of the server.
type evenEvent struct {
	at      time.Time
	order   int
	server  int
	request *evenRequest
	started time.Time
	lost    bool
	// remote is set for a report to the other data centres.
	remote bool
}

type evenEvents []evenEvent

func (e evenEvents) Len() int { return len(e) }
func (e evenEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e evenEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *evenEvents) Push(x any)   { *e = append(*e, x.(evenEvent)) }
func (e *evenEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newEvenWorld(c evenCase) *evenWorld {
	w := &evenWorld{evenCase: c, random: rand.New(rand.NewPCG(c.seed, 1)), now: evenStart}
	dataCentre := func(i int) string { return fmt.Sprint(i % c.fleet.dataCentres) }
	for i := range evenServers {
		s := &evenServer{
			slowdown: 1, service: evenService, since: evenStart, health: gate.NewHealthEstimate(evenStart), lastUse: evenStart,
			nextChange: evenStart,
		}
		switch {
		case c.fleet.unequal && i%evenSlowEvery == 1:
			s.slowdown = evenSlowdown
		case c.fleet.unequal && i%evenColdEvery == 0:
			s.slowdown, s.cold = evenColdSlowdown, true
		}
		w.servers = append(w.servers, s)
		w.nodes = append(w.nodes, pick.Candidate{ID: fmt.Sprint(i), DataCentre: dataCentre(i / evenSlowEvery), Region: "r"})
		w.scheduleReport(i, false, time.Duration(w.random.Float64()*float64(c.interval)))
		w.scheduleReport(i, true, time.Duration(w.random.Float64()*float64(evenRemoteFactor*c.interval)))
	}
	for i := range c.choosers {
		w.pickers = append(w.pickers, &evenChooser{pick.NewWithPolicy(dataCentre(i), "r", c.policy.rule), dataCentre(i)})
	}
	return w
}

func (w *evenWorld) schedule(e evenEvent) {
	e.order = w.result.events
	w.result.events++
	heap.Push(&w.events, e)
}

func (w *evenWorld) scheduleReport(server int, remote bool, after time.Duration) {
	w.schedule(evenEvent{at: w.now.Add(after), server: server, remote: remote})
}

func (w *evenWorld) run() evenResult {
	capacity := 0.0
	for _, s := range w.servers {
		capacity += evenSlots / (s.slowdown * evenService.Seconds())
	}
	perSecond := w.fleet.load * capacity
	end, window := evenStart.Add(w.duration), evenStart.Add(evenWindow)
	for {
		next := w.now.Add(time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)))
		if next.After(end) {
			return w.result
		}
		for len(w.events) > 0 && !w.events[0].at.After(next) {
			e := heap.Pop(&w.events).(evenEvent)
			w.now = e.at
			w.process(e)
		}
		w.now = next
		if next.After(window) {
			w.closeWindow()
			window = window.Add(evenWindow)
		}
		if w.fleet.failing {
			w.changeHealth()
		}
		if w.counted() {
			w.result.requests++
		}
		w.offer(evenRequest{chooser: w.arrivalChooser(), arrived: next, idempotent: w.random.Float64() < evenIdempotent})
	}
}

// changeHealth begins and ends failure episodes.
func (w *evenWorld) changeHealth() {
	for _, s := range w.servers {
		for w.now.After(s.nextChange) {
			mean := evenHealthyTime
			if s.failing = !s.failing && !s.nextChange.Equal(evenStart); s.failing {
				mean = evenFailingTime
			}
			s.nextChange = s.nextChange.Add(time.Duration(w.random.ExpFloat64() * float64(mean)))
		}
	}
}

// arrivalChooser returns the chooser at which a request arrives.
func (w *evenWorld) arrivalChooser() *evenChooser {
	if w.fleet.dataCentres > 1 && w.random.Float64() < evenShare {
		n := (len(w.pickers) + w.fleet.dataCentres - 1) / w.fleet.dataCentres
		return w.pickers[w.random.IntN(n)*w.fleet.dataCentres]
	}
	return w.pickers[w.random.IntN(len(w.pickers))]
}

func (w *evenWorld) process(e evenEvent) {
	if e.request != nil {
		w.complete(e)
		return
	}
	home := w.nodes[e.server].DataCentre
	for _, p := range w.pickers {
		if (p.dataCentre != home) == e.remote {
			p.UpdateLoad(w.now, w.nodes[e.server].ID, w.servers[e.server].load(w.now), true)
		}
	}
	interval := w.interval
	if e.remote {
		interval *= evenRemoteFactor
	}
	w.scheduleReport(e.server, e.remote, interval)
}

// offer sends a request to servers until one accepts it.
func (w *evenWorld) offer(r evenRequest) {
	counted := w.counted()
	tried := map[string]bool{}
	q := pick.Query{Objective: evenObjective, Idempotent: r.idempotent, LastAttempt: r.failed, Exclude: func(id string) bool { return tried[id] }}
	for range 2 * evenHops {
		i, ok := w.choose(r.chooser, q)
		if !ok && q.MaxWait == 0 {
			q.MaxWait = evenMaxWait
			clear(tried)
			i, ok = w.choose(r.chooser, q)
		}
		if !ok {
			break
		}
		if counted && w.nodes[i].DataCentre != r.chooser.dataCentre {
			w.result.otherDataCentre++
		}
		if w.admit(i, r, q.MaxWait) {
			return
		}
		if counted {
			w.result.refusedHops++
		}
		r.chooser.Report(w.now, w.nodes[i].ID, w.servers[i].load(w.now))
		tried[w.nodes[i].ID] = true
		if len(tried) == evenHops && q.MaxWait == 0 {
			q.MaxWait = evenMaxWait
			clear(tried)
		}
	}
	if counted {
		w.result.rejected++
	}
}

func (w *evenWorld) choose(p *evenChooser, q pick.Query) (int, bool) {
	if w.policy.oracle {
		for i, s := range w.servers {
			p.UpdateLoad(w.now, w.nodes[i].ID, s.load(w.now), true)
		}
	}
	if w.policy.sample > 0 {
		sampled := make([]pick.Candidate, 0, w.policy.sample)
		indices := w.random.Perm(len(w.nodes))[:w.policy.sample]
		for _, i := range indices {
			sampled = append(sampled, w.nodes[i])
		}
		if choice, ok := p.Choose(w.now, w.random.Float64, sampled, q); ok {
			return indices[choice.Index], true
		}
	}
	choice, ok := p.Choose(w.now, w.random.Float64, w.nodes, q)
	return choice.Index, ok
}

// admit starts or queues a request at a server; it returns false for a refusal.
func (w *evenWorld) admit(i int, r evenRequest, maxWait time.Duration) bool {
	s := w.servers[i]
	if w.fleet.failing && s.health.At(w.now) >= gate.UnhealthyThreshold && (!r.idempotent || w.now.Before(s.nextTrial)) {
		return false
	}
	if s.running >= evenSlots && s.load(w.now).ExpectedWait(0, 0, 0) > maxWait {
		return false
	}
	s.account(w.now)
	if s.running >= evenSlots {
		s.queue = append(s.queue, r)
		return true
	}
	w.start(i, r)
	return true
}

func (w *evenWorld) start(i int, r evenRequest) {
	s := w.servers[i]
	s.running++
	s.lastUse = w.now
	if w.counted() {
		w.result.waits = append(w.result.waits, w.now.Sub(r.arrived))
	}
	took := time.Duration(w.random.ExpFloat64() * s.slowdown * float64(evenService))
	lost := s.failing && w.random.Float64() < evenFailures
	if lost {
		took = evenFailureTime
	}
	w.schedule(evenEvent{at: w.now.Add(took), server: i, request: &r, started: w.now, lost: lost})
}

func (w *evenWorld) complete(e evenEvent) {
	s := w.servers[e.server]
	s.account(w.now)
	s.running--
	evidence := gate.Failure
	if !e.lost {
		evidence = gate.Success
		s.service += time.Duration(evenServiceWeight * float64(w.now.Sub(e.started)-s.service))
	} else {
		s.nextTrial = w.now.Add(evenTrialPause)
	}
	s.health.Observe(w.now, evidence)
	s.lastUse = w.now
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(e.server, next)
	}
	e.request.chooser.Report(w.now, w.nodes[e.server].ID, s.load(w.now))
	switch {
	case e.lost && e.request.idempotent && !e.request.failed:
		again := *e.request
		again.failed = true
		w.offer(again)
	case !w.counted():
	case e.lost:
		w.result.failed++
	default:
		w.result.responses = append(w.result.responses, w.now.Sub(e.request.arrived))
	}
}

func (w *evenWorld) counted() bool { return w.now.Sub(evenStart) > evenWarmUp }

func (s *evenServer) load(now time.Time) gate.Load {
	return gate.Load{
		Open: true, Cold: s.cold, Running: s.running, Slots: evenSlots, Service: s.service,
		Waiting:            [gate.PriorityLevels]int{len(s.queue)},
		FailureProbability: s.health.At(now), SinceLastUse: now.Sub(s.lastUse), TrialIn: max(s.nextTrial.Sub(now), 0),
	}
}

// account adds the load up to now to the current window.
func (s *evenServer) account(now time.Time) {
	s.busy += time.Duration(s.running+len(s.queue)) * now.Sub(s.since)
	s.since = now
}

func (w *evenWorld) closeWindow() {
	var sum, largest time.Duration
	for _, s := range w.servers {
		s.account(w.now)
		sum, largest = sum+s.busy, max(largest, s.busy)
		s.busy = 0
	}
	if w.counted() && sum > 0 {
		w.result.ratios = append(w.result.ratios, float64(largest)*float64(len(w.servers))/float64(sum))
	}
}

// evenResult counts what happened after the warm-up.
type evenResult struct {
	events, requests, refusedHops, rejected, otherDataCentre, failed int
	waits, responses                                                 []time.Duration
	// ratios are the largest over the mean load of each window.
	ratios []float64
}

func (r *evenResult) add(other evenResult) {
	r.requests += other.requests
	r.refusedHops += other.refusedHops
	r.rejected += other.rejected
	r.otherDataCentre += other.otherDataCentre
	r.failed += other.failed
	r.waits = append(r.waits, other.waits...)
	r.responses = append(r.responses, other.responses...)
	r.ratios = append(r.ratios, other.ratios...)
}

func (r *evenResult) perRequest(n int) float64 { return float64(n) / float64(max(r.requests, 1)) }

func (r *evenResult) largestOverMean() float64 {
	sum := 0.0
	for _, ratio := range r.ratios {
		sum += ratio
	}
	return sum / float64(max(len(r.ratios), 1))
}

func (r *evenResult) meanWaitMS() float64 {
	sum := time.Duration(0)
	for _, wait := range r.waits {
		sum += wait
	}
	return sum.Seconds() * 1000 / float64(max(len(r.waits), 1))
}

func (r *evenResult) p99MS() float64 {
	if len(r.responses) == 0 {
		return 0
	}
	slices.Sort(r.responses)
	return r.responses[len(r.responses)*99/100].Seconds() * 1000
}
