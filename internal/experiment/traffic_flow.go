package experiment

import (
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/route"
)

// trafficRequest is one request from a caller.
type trafficRequest struct {
	entry    *trafficEntry
	arrived  time.Duration
	measured bool
	done     bool
	retries  int
	tried    []string
	inFlight []*trafficAttempt
}

// trafficAttempt is one dispatch of a request to a server.
type trafficAttempt struct {
	request   *trafficRequest
	server    *trafficServer
	sent      time.Duration
	started   time.Duration
	waiter    *admit.Waiter
	running   bool
	cancelled bool
}

// trafficEntry is an entry node.
type trafficEntry struct {
	sim             *trafficSim
	view            *fleet.View
	router          *route.Router
	roundRobinIndex int
}

func newTrafficEntry(s *trafficSim, view *fleet.View) *trafficEntry {
	return &trafficEntry{sim: s, view: view, router: route.New(route.NewLoads())}
}

func (e *trafficEntry) accept() {
	s := e.sim
	r := &trafficRequest{entry: e, arrived: s.elapsed, measured: s.elapsed >= max(trafficWarmUp, s.shedFrom)}
	if r.measured {
		s.result.requests++
	}
	e.router.Budget(trafficService).RecordRequest(s.now(), 0)
	s.after(s.deadline, func() { e.finish(r) })
	e.send(r)
	e.scheduleHedge(r)
}

// send dispatches one attempt. It does nothing if no server is left.
func (e *trafficEntry) send(r *trafficRequest) {
	server, ok := e.choose(r.tried)
	if !ok {
		return
	}
	if r.measured {
		e.sim.result.sent++
	}
	a := &trafficAttempt{request: r, server: server, sent: e.sim.elapsed}
	r.tried = append(r.tried, server.id)
	r.inFlight = append(r.inFlight, a)
	e.router.Loads().Server(server.id).Begin()
	e.sim.after(e.sim.delay(e, server), func() { server.receive(a) })
}

func (e *trafficEntry) scheduleHedge(r *trafficRequest) {
	delay, ok := e.router.Hedge(trafficService).Delay()
	if !ok || !e.sim.policy.hedge {
		return
	}
	e.sim.after(delay, func() {
		if !r.done && len(r.inFlight) == 1 && e.router.Budget(trafficService).TakeHedge(e.sim.now()) {
			e.send(r)
		}
	})
}

// handleResponse handles a response or a refusal, with the load that the host reports.
func (e *trafficEntry) handleResponse(a *trafficAttempt, ok bool, running, queued int) {
	if a.cancelled {
		return
	}
	r := a.request
	r.removeInFlight(a)
	load := e.router.Loads().Server(a.server.id)
	load.End()
	load.Report(e.sim.now(), running, queued)
	if !ok {
		e.retry(r)
		return
	}
	e.router.Hedge(trafficService).Observe(e.sim.elapsed - a.sent)
	if !r.done && r.measured {
		e.sim.result.answered++
		e.sim.result.latencies = append(e.sim.result.latencies, e.sim.elapsed-r.arrived)
	}
	e.finish(r)
}

func (r *trafficRequest) removeInFlight(a *trafficAttempt) {
	for i, other := range r.inFlight {
		if other == a {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}

func (e *trafficEntry) retry(r *trafficRequest) {
	policy := e.sim.policy
	if r.done || len(r.inFlight) > 0 || r.retries >= policy.retries {
		return
	}
	if policy.budgeted && !e.router.Budget(trafficService).TakeRetry(e.sim.now()) {
		return
	}
	r.retries++
	e.send(r)
}

// finish ends a request at its first response or at its deadline, and cancels the
// attempts still in flight.
func (e *trafficEntry) finish(r *trafficRequest) {
	r.done = true
	for _, a := range r.inFlight {
		a.cancelled = true
		e.router.Loads().Server(a.server.id).End()
		e.router.Hedge(trafficService).Observe(e.sim.elapsed - a.sent)
		e.sim.after(e.sim.delay(e, a.server), func() { a.server.cancel(a) })
	}
	r.inFlight = nil
}

// trafficServer is a backend server with the admission queue of its host.
type trafficServer struct {
	sim        *trafficSim
	id         string
	dataCentre string
	slowdown   float64
	queue      *admit.Queue
}

func newTrafficServer(s *trafficSim, i int, dataCentre string) *trafficServer {
	server := &trafficServer{sim: s, id: fmt.Sprintf("server-%02d", i), dataCentre: dataCentre, slowdown: 1}
	if i == 0 {
		server.slowdown = s.graySlowdown
	}
	server.queue = admit.NewQueue(trafficSlots, 0, func(w *admit.Waiter, err *codes.Error) {
		a := w.Value.(*trafficAttempt)
		a.waiter = nil
		server.startOrRefuse(a, err == nil)
	})
	return server
}

func (t *trafficServer) receive(a *trafficAttempt) {
	if a.cancelled {
		return
	}
	now := t.sim.now()
	deadline := now.Add(a.request.arrived + t.sim.deadline - t.sim.elapsed)
	if t.sim.shedding && t.sim.elapsed >= t.sim.shedFrom {
		t.startOrRefuse(a, false)
		return
	}
	started, err := t.queue.TryStart(now, deadline)
	if !started && err == nil {
		a.waiter, err = t.queue.Enqueue(now, "account", 1, deadline, a)
	}
	if started || err != nil {
		t.startOrRefuse(a, started)
	}
}

// startOrRefuse starts an attempt, or refuses it if start is false.
func (t *trafficServer) startOrRefuse(a *trafficAttempt, start bool) {
	if !start {
		t.reply(a, false)
		return
	}
	a.running = true
	a.started = t.sim.elapsed
	mean := float64(trafficMeanServiceTime) * t.slowdown
	t.sim.after(time.Duration(t.sim.serviceRand.ExpFloat64()*mean), func() { t.complete(a) })
}

func (t *trafficServer) complete(a *trafficAttempt) {
	if !a.running {
		return
	}
	a.running = false
	t.queue.Finish(t.sim.now(), t.sim.elapsed-a.started)
	t.reply(a, true)
}

// cancel frees the slot or queue entry of an attempt whose caller no longer waits.
func (t *trafficServer) cancel(a *trafficAttempt) {
	if a.waiter != nil {
		t.queue.Cancel(a.waiter)
		a.waiter = nil
	}
	if a.running {
		a.running = false
		t.queue.Finish(t.sim.now(), 0)
	}
}

func (t *trafficServer) reply(a *trafficAttempt, ok bool) {
	e := a.request.entry
	running, queued := t.queue.Running(), t.queue.Queued()
	t.sim.after(t.sim.delay(e, t), func() { e.handleResponse(a, ok, running, queued) })
}
