package gate

import (
	"sort"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/origin"
)

const (
	// UnhealthyThreshold is the failure probability from which on a server runs no non-idempotent
	// request.
	UnhealthyThreshold = 0.7
	// trialPause is the time between the failure of a trial and the next trial.
	trialPause = 150 * time.Millisecond
	// serviceTimeWeight is the weight of one request in the moving average of the service time.
	serviceTimeWeight = 1.0 / 8
	// initialServiceTime is the mean service time assumed before the first result.
	initialServiceTime = 300 * time.Millisecond
	// callFailureWindow is the time after a failed call of the server within which a failure of the
	// server is attributed to that call.
	callFailureWindow = 50 * time.Millisecond
	// maxQueuePerSlot bounds the queue, as a multiple of the slots.
	maxQueuePerSlot = 4
)

// Ticket is the place of an admitted request, which runs or waits.
type Ticket struct {
	request Request
	order   uint64
	trial   bool
	running bool
	started time.Time
	// waitUntil is the end of MaxWait.
	waitUntil time.Time
	// decision receives the outcome of the wait.
	decision chan Refusal
}

// Decision receives NotRefused when a waiting request may run, or the reason why it is refused.
func (t *Ticket) Decision() <-chan Refusal { return t.decision }

// Gate admits the requests of one server. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	slots     int
	open      bool
	warmUntil time.Time
	running   int
	// lastStart is when the newest run began.
	lastStart time.Time
	waiting   []*Ticket
	flows     flows
	// calls is the mean number of slots that calls take.
	calls        decayingMean
	origins      *origin.Classifier
	order        uint64
	health       HealthEstimate
	trialRunning bool
	nextTrial    time.Time
	serviceTime  time.Duration
	// workTime is the mean service time of requests that are no calls.
	workTime time.Duration
	retries  retryCounter
	rate     rateLimit
	// rateUnknown is set if incarnations may have named a rate limit before this process started.
	rateUnknown bool
	// incarnationSince is when the gate opened for the current incarnation of the server.
	incarnationSince time.Time
	// runs counts the running requests of each kind.
	runs map[uint32]runCount
	// makers tells which kinds make calls.
	makers callMakers
	// lastCallFailure is the time of the newest failed call of the server that has not yet
	// explained a failure.
	lastCallFailure time.Time
	onChange        func()
}

// New returns a closed gate. onChange is called after each change of the load, with a lock held; it
// must not call the gate.
func New(now time.Time, onChange func()) *Gate {
	return &Gate{
		health: NewHealthEstimate(now), serviceTime: initialServiceTime, workTime: initialServiceTime, onChange: onChange,
		retries: retryCounter{started: now}, rate: rateLimit{burst: DefaultRateBurst},
		flows: newFlows(), origins: origin.New(now), runs: map[uint32]runCount{},
		makers: callMakers{since: now, kinds: map[uint32]*soloRuns{}},
	}
}

// Origin estimates whether a request of a kind that arrives at the node was made by its server.
func (g *Gate) Origin(now time.Time, kind uint32) origin.Estimate {
	return g.origins.Observe(now, kind)
}

// SetRetryBudget sets the part of this server in the retry budget.
func (g *Gate) SetRetryBudget(budget RetryBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.budget = budget
}

// runCount counts running requests, and the retries among them.
type runCount struct {
	all, retries int
}

// RetryShare returns the probability that a call of the server belongs to a retry: the share of
// retries among the running requests of the kinds that are being retried. Any of these kinds may be the
// one that makes calls, and others may make none.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum runCount
	for _, kind := range g.runs {
		if kind.retries > 0 {
			sum.all += kind.all
			sum.retries += kind.retries
		}
	}
	if sum.all == 0 {
		return 0
	}
	return float64(sum.retries) / float64(sum.all)
}

// countRun adds a number of runs of the kind of a request.
func (g *Gate) countRun(now time.Time, request Request, change int) {
	g.makers.advance(now, g.runs)
	kind := request.Flow.Kind
	count := g.runs[kind]
	count.all += change
	if request.Retry {
		count.retries += change
	}
	if g.runs[kind] = count; count.all == 0 {
		delete(g.runs, kind)
	}
}

// Open admits requests and sets the capacity of the server. A new incarnation starts without the
// evidence of the previous one.
func (g *Gate) Open(now time.Time, slots int, warmUntil time.Time, newIncarnation bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if newIncarnation {
		g.health = NewHealthEstimate(now)
		g.trialRunning = false
		g.incarnationSince = now
		g.rate.lift()
		if g.rateUnknown {
			g.rate.setProvisional()
		}
	}
	g.open, g.slots, g.warmUntil = true, slots, warmUntil
	g.admitWaiting(now)
	g.onChange()
}

// Close refuses new and waiting requests; running ones go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, ticket := range g.waiting {
		ticket.decision <- Closed
	}
	g.waiting = nil
	g.onChange()
}

// IsOpen reports whether the server accepts requests. It is the last check before a request is
// sent.
func (g *Gate) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Admit asks for a slot. The ticket runs at once, or waits if Running is false for it. A refusal
// comes without a ticket and with the time after which a slot may be free.
func (g *Gate) Admit(now time.Time, request Request) (ticket *Ticket, refusal Refusal, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.FirstAttempt {
		g.retries.recordRequest(now, request.RetryShare)
	}
	if !g.open {
		return nil, Closed, 0
	}
	if request.Retry && g.retries.remaining(now) < 1 {
		return nil, RetryBudgetExhausted, 0
	}
	trial, allowed := g.healthAllows(now, request)
	if !allowed {
		return nil, Unhealthy, max(g.nextTrial.Sub(now), trialPause)
	}
	ticket = &Ticket{
		request: request, trial: trial, order: g.order, decision: make(chan Refusal, 1), waitUntil: now.Add(request.MaxWait),
	}
	g.order++
	if len(g.waiting) == 0 && g.mayStart(now) {
		g.start(now, ticket)
		return ticket, NotRefused, 0
	}
	wait, reason := g.expectedWait(now, request)
	if trial || wait > request.MaxWait || request.MaxWait == 0 ||
		len(g.waiting) >= maxQueuePerSlot*g.slots && !g.displaceFor(request) {
		return nil, reason, wait
	}
	g.insert(ticket)
	g.onChange()
	return ticket, NotRefused, 0
}

// mayStart reports whether a slot is free and the rate limit admits a request.
func (g *Gate) mayStart(now time.Time) bool {
	return g.running < g.slots && g.rate.wait(now, 0) == 0
}

// Running reports whether the request may be sent now.
func (g *Gate) Running(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.running
}

// healthAllows reports whether the request may run normally or as a trial of an unhealthy server.
func (g *Gate) healthAllows(now time.Time, request Request) (trial, allowed bool) {
	if g.health.At(now) < UnhealthyThreshold {
		return false, true
	}
	if !request.Idempotent || g.trialRunning || now.Before(g.nextTrial) {
		return false, false
	}
	return true, true
}

// expectedWait returns the mean time until a slot is free for the request and the rate limit admits
// it, and the reason for the wait.
func (g *Gate) expectedWait(now time.Time, request Request) (time.Duration, Refusal) {
	ahead := 0
	for _, other := range g.waiting {
		if !request.before(other.request) {
			ahead++
		}
	}
	forSlot := time.Duration(0)
	if excess := g.running + ahead + 1 - g.slots; excess > 0 {
		load := g.load(now)
		forSlot = min(load.slotWait(excess, request.rank()), load.floorWait(request.rank()))
	}
	if forRate := g.rate.wait(now, ahead); forRate > forSlot {
		return forRate, RateLimited
	}
	return forSlot, Busy
}

func (g *Gate) insert(ticket *Ticket) {
	at := sort.Search(len(g.waiting), func(i int) bool {
		return ticket.request.before(g.waiting[i].request)
	})
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = ticket
}

// displaceFor refuses a waiting request that has less claim to a place in a full queue than another
// one: the last one that runs after it, or the last one of the kind with most places if the other
// one's kind has none. The last request of a kind stays, so that no kind is kept out as a whole. It
// returns false if there is none.
func (g *Gate) displaceFor(request Request) bool {
	places := map[uint32]int{}
	most := 1
	for _, ticket := range g.waiting {
		kind := ticket.request.Flow.Kind
		places[kind]++
		most = max(most, places[kind])
	}
	absent := places[request.Flow.Kind] == 0
	for i := len(g.waiting) - 1; i >= 0; i-- {
		other := g.waiting[i].request
		held := places[other.Flow.Kind]
		if held > 1 && (request.before(other) || absent && held == most) {
			g.waiting[i].decision <- Busy
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (g *Gate) start(now time.Time, ticket *Ticket) {
	ticket.running = true
	ticket.started = now
	g.running++
	g.lastStart = now
	g.origins.SetRunning(now, true)
	g.rate.take(now)
	if ticket.trial {
		g.trialRunning = true
	}
	if ticket.request.Retry {
		g.retries.recordRetry(now)
	}
	g.countRun(now, ticket.request, 1)
	g.onChange()
}

// Cancel ends a waiting request, or a running one that gives no evidence.
func (g *Gate) Cancel(now time.Time, ticket *Ticket) { g.Done(now, ticket, None) }

// Done ends a request and records the evidence that it gave of the server's health.
func (g *Gate) Done(now time.Time, ticket *Ticket, evidence Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ticket.running {
		g.removeWaiting(ticket)
		return
	}
	ticket.running = false
	g.running--
	if g.running == 0 {
		g.origins.SetRunning(now, false)
	}
	if ticket.request.Call {
		g.calls.add(now, now.Sub(ticket.started))
	}
	if ticket.trial {
		g.trialRunning = false
	}
	g.countRun(now, ticket.request, -1)
	if evidence == Success {
		g.serviceTime += time.Duration(serviceTimeWeight * float64(now.Sub(ticket.started)-g.serviceTime))
		if !ticket.request.Call {
			g.workTime += time.Duration(serviceTimeWeight * float64(now.Sub(ticket.started)-g.workTime))
		}
		g.flows.observe(ticket.request.Flow.Kind, now.Sub(ticket.started))
	}
	if evidence == Failure && g.explainedByCall(now) {
		evidence = None
	}
	g.observe(now, evidence)
	g.admitWaiting(now)
	g.onChange()
}

// CallFailed records the failure of a request that began on the server's instance and may be a call
// that a running request needs.
func (g *Gate) CallFailed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCallFailure = now
}

// explainedByCall reports whether a failure follows a failed call of the server; such a failure
// says little about the server itself.
func (g *Gate) explainedByCall(now time.Time) bool {
	explained := !g.lastCallFailure.IsZero() && now.Sub(g.lastCallFailure) <= callFailureWindow
	g.lastCallFailure = time.Time{}
	return explained
}

// Stalled records that a request has not ended after an unusually long time.
func (g *Gate) Stalled(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now, Stall)
	g.onChange()
}

func (g *Gate) observe(now time.Time, evidence Evidence) {
	if evidence == None {
		return
	}
	g.health.Observe(now, evidence)
	if evidence != Success {
		g.nextTrial = now.Add(trialPause)
	}
}

func (g *Gate) removeWaiting(ticket *Ticket) {
	for i, other := range g.waiting {
		if other == ticket {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			g.onChange()
			return
		}
	}
}

// admitWaiting gives free slots to waiting requests, and refuses those that the health or the retry
// budget no longer allows.
func (g *Gate) admitWaiting(now time.Time) {
	for g.refuseBarred(now); len(g.waiting) > 0 && g.mayStart(now); g.refuseBarred(now) {
		i := g.flows.next(g.waiting)
		ticket := g.waiting[i]
		g.flows.charge(g.waiting, ticket.request.Flow)
		g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
		ticket.trial, _ = g.healthAllows(now, ticket.request)
		g.start(now, ticket)
		ticket.decision <- NotRefused
	}
}

// refuseBarred refuses the waiting requests that the health or the retry budget no longer allows.
func (g *Gate) refuseBarred(now time.Time) {
	kept := g.waiting[:0]
	for _, ticket := range g.waiting {
		_, allowed := g.healthAllows(now, ticket.request)
		switch {
		case !allowed:
			ticket.decision <- Unhealthy
		case ticket.request.Retry && g.retries.remaining(now) < 1:
			ticket.decision <- RetryBudgetExhausted
		default:
			kept = append(kept, ticket)
		}
	}
	g.waiting = kept
}
