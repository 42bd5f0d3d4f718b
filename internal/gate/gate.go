package gate

import (
	"sort"
	"sync"
	"time"
)

const (
	// UnhealthyThreshold is the doubt above which a server runs no non-idempotent
	// request.
	UnhealthyThreshold = 0.7
	// trialPause is the time between the failure of a trial and the next one.
	trialPause = 150 * time.Millisecond
	// meanWeight is the weight of one request in the mean service time.
	meanWeight = 1.0 / 8
	// initialService is the mean service time before the first result.
	initialService = 300 * time.Millisecond
	// excuseWindow is the time after a failed call of the server within which
	// its own failure is put down to that call.
	excuseWindow = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait, as a multiple of the slots.
	maxWaiting = 4
)

// Refusal says why a request does not run.
type Refusal int

// The refusals.
const (
	// NotRefused stands for a request that runs.
	NotRefused Refusal = iota
	// Closed gates have no server, or one that leaves.
	Closed
	// Unhealthy servers have failed lately.
	Unhealthy
	// Busy servers have no slot in time.
	Busy
	// RetryBudgetExhausted servers have taken the repeats that the retry budget allows them.
	RetryBudgetExhausted
)

// String returns the name of the refusal for logs.
func (r Refusal) String() string {
	return [...]string{"none", "closed", "doubtful", "busy", "spent"}[r]
}

// Request describes a request that asks for a slot.
type Request struct {
	// Priority ranks the request; 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Objective is the time until which the answer is fully useful.
	Objective time.Time
	// MaxWait is the longest expected wait with which the request may join the
	// queue; 0 if it may not wait.
	MaxWait time.Duration
	// Retry tells that an earlier attempt reached a server. The retry budget
	// bounds repeats.
	Retry bool
	// FirstAttempt tells that no other node was asked before, so that a request counts
	// once for the retry budget, whatever number of nodes refuse it.
	FirstAttempt bool
	// RetryShare is the probability that the request is a call of a run that is
	// itself a repeat, and so counts as one.
	RetryShare float64
}

// before reports whether w takes a free slot before other: by priority, then by
// the objective. Short requests that others wait for have near objectives.
func (w Request) before(other Request) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.Objective.Before(other.Objective)
}

// Shares of the time that a request has which it may be expected to wait.
const (
	patienceOfObjective = 0.6
	patienceOfLeft      = 0.4
	// maxLatePatience bounds the wait of a request beyond its share of the
	// objective.
	maxLatePatience = time.Second
)

// MaxWaitFor returns how long a request with an objective and the time that is
// left may be expected to wait. A request with a short objective that is left
// much more time may be late rather than refused, for it is likely part of
// another one.
func MaxWaitFor(objective, left time.Duration) time.Duration {
	late := min(time.Duration(patienceOfLeft*float64(left)), maxLatePatience)
	return max(time.Duration(patienceOfObjective*float64(objective)), late, 0)
}

// PriorityLevels is the number of priorities that a Load tells apart.
const PriorityLevels = 4

// ExpectedWait returns the expected time until a request of the priority gets a slot,
// with further requests that the server does not know of yet.
func (l Load) ExpectedWait(priority, further int) time.Duration {
	ahead := l.Running + further + 1 - l.Slots
	for level := 0; level <= min(priority, PriorityLevels-1); level++ {
		ahead += l.Waiting[level]
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(max(l.Slots, 1)) * float64(l.Service))
}

// Load describes the server for the nodes that choose between servers.
type Load struct {
	Running, Slots int
	// Waiting counts the waiting requests by priority; the last level holds all
	// less urgent ones.
	Waiting [PriorityLevels]int
	// FailureProbability is the probability that the server is in a spell of failures.
	FailureProbability float64
	// Service is the mean service time.
	Service time.Duration
	// Open tells that the server takes work.
	Open bool
	// Cold tells that the server is slow after its start.
	Cold bool
	// TrialIn is the time until a doubtful server takes one idempotent request as
	// a trial; trialRunning while one runs.
	TrialIn time.Duration
	// RetriesLeft is the number of repeats that the retry budget leaves.
	RetriesLeft int
	// SinceLastResult is the time since the last result that tells of the server's health.
	SinceLastResult time.Duration
	// StopsIn is the time until the node beside the server stops; 0 if it does not.
	// Until then it takes the work that must have ended by then.
	StopsIn time.Duration
}

// trialRunning is the Load.Trial of a server whose trial has not ended.
const trialRunning = time.Second

// Healthy reports whether the server takes non-idempotent requests.
func (l Load) Healthy() bool { return l.FailureProbability < UnhealthyThreshold }

// Ticket is a request that runs or waits.
type Ticket struct {
	work    Request
	order   uint64
	trial   bool
	running bool
	started time.Time
	// turn receives the end of the wait.
	turn chan Refusal
}

// Decision receives NotRefused when a waiting request may run, or its refusal.
func (t *Ticket) Decision() <-chan Refusal { return t.turn }

// Gate admits the requests of one server. It is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	slots     int
	open      bool
	warmUntil time.Time
	running   int
	waiting   []*Ticket
	order     uint64
	doubt     HealthEstimate
	trial     bool
	nextTrial time.Time
	service   time.Duration
	repeats   repeatBudget
	// repeating counts the repeats among the running requests.
	repeating int
	// callFailed is the time of the newest failed call of the server that has
	// not excused a failure yet.
	callFailed time.Time
	onChange   func()
}

// New returns a closed gate. onChange is called after each change of the load,
// with a lock held; it must not call the gate.
func New(now time.Time, onChange func()) *Gate {
	return &Gate{doubt: NewHealthEstimate(now), service: initialService, onChange: onChange, repeats: repeatBudget{started: now}}
}

// SetRetryBudget sets the part of this server in the retry budget.
func (g *Gate) SetRetryBudget(terms RetryBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.terms = terms
}

// RetryShare returns the share of repeats among the running requests, which is
// the probability that a call of the server belongs to one of them.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return 0
	}
	return float64(g.repeating) / float64(g.running)
}

// Open sets the capacity of the server. A new incarnation starts without the
// evidence of the last one.
func (g *Gate) Open(now time.Time, slots int, warmUntil time.Time, fresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fresh {
		g.doubt = NewHealthEstimate(now)
		g.trial = false
	}
	g.open, g.slots, g.warmUntil = true, slots, warmUntil
	g.startWaiting(now)
	g.onChange()
}

// Close refuses new and waiting requests; running ones go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, ticket := range g.waiting {
		ticket.turn <- Closed
	}
	g.waiting = nil
	g.onChange()
}

// IsOpen reports whether the server takes work. It is the last check before a
// request is sent.
func (g *Gate) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// Admit asks for a slot. The ticket runs at once, or waits if it is not
// running; a refusal comes without a ticket and with the time after which a
// slot may be free.
func (g *Gate) Admit(now time.Time, work Request) (ticket *Ticket, refusal Refusal, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if work.FirstAttempt {
		g.repeats.request(now, work.RetryShare)
	}
	if !g.open {
		return nil, Closed, 0
	}
	if work.Retry && g.repeats.left(now) < 1 {
		return nil, RetryBudgetExhausted, 0
	}
	trial, allowed := g.healthAllows(now, work)
	if !allowed {
		return nil, Unhealthy, max(g.nextTrial.Sub(now), trialPause)
	}
	ticket = &Ticket{work: work, trial: trial, order: g.order, turn: make(chan Refusal, 1)}
	g.order++
	if g.running < g.slots && len(g.waiting) == 0 {
		g.start(now, ticket)
		return ticket, NotRefused, 0
	}
	wait := g.expectedWait(work)
	if trial || len(g.waiting) >= maxWaiting*g.slots || wait > work.MaxWait || work.MaxWait == 0 {
		return nil, Busy, wait
	}
	g.insert(ticket)
	g.onChange()
	return ticket, NotRefused, 0
}

// Running reports whether the request may be sent now.
func (g *Gate) Running(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.running
}

// healthAllows reports whether the request may run as a normal one or as a
// trial of a doubtful server.
func (g *Gate) healthAllows(now time.Time, work Request) (trial, allowed bool) {
	if g.doubt.At(now) < UnhealthyThreshold {
		return false, true
	}
	if !work.Idempotent || g.trial || now.Before(g.nextTrial) {
		return false, false
	}
	return true, true
}

// expectedWait returns the mean time until a slot is free for the request.
func (g *Gate) expectedWait(work Request) time.Duration {
	ahead := g.running - g.slots + 1
	for _, other := range g.waiting {
		if !work.before(other.work) {
			ahead++
		}
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(g.slots) * float64(g.service))
}

func (g *Gate) insert(ticket *Ticket) {
	at := sort.Search(len(g.waiting), func(i int) bool {
		return ticket.work.before(g.waiting[i].work)
	})
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = ticket
}

func (g *Gate) start(now time.Time, ticket *Ticket) {
	ticket.running = true
	ticket.started = now
	g.running++
	if ticket.trial {
		g.trial = true
	}
	if ticket.work.Retry {
		g.repeats.repeat(now)
		g.repeating++
	}
	g.onChange()
}

// Cancel ends the wait of a request, or its run without evidence.
func (g *Gate) Cancel(now time.Time, ticket *Ticket) { g.Done(now, ticket, None) }

// Done ends a request with what it showed of the server.
func (g *Gate) Done(now time.Time, ticket *Ticket, evidence Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ticket.running {
		g.drop(ticket)
		return
	}
	ticket.running = false
	g.running--
	if ticket.trial {
		g.trial = false
	}
	if ticket.work.Retry {
		g.repeating--
	}
	if evidence == Success {
		g.service += time.Duration(meanWeight * float64(now.Sub(ticket.started)-g.service))
	}
	if evidence == Failure && g.excused(now) {
		evidence = None
	}
	g.observe(now, evidence)
	g.startWaiting(now)
	g.onChange()
}

// CallFailed takes the failure of a request that began on the server's instance,
// which may be a call that a running request needs.
func (g *Gate) CallFailed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callFailed = now
}

// excused reports whether a failure follows a failed call of the server, which
// then says little about the server itself.
func (g *Gate) excused(now time.Time) bool {
	excused := !g.callFailed.IsZero() && now.Sub(g.callFailed) <= excuseWindow
	g.callFailed = time.Time{}
	return excused
}

// Stalled takes evidence of a request that has not ended yet.
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
	g.doubt.Observe(now, evidence)
	if evidence != Success {
		g.nextTrial = now.Add(trialPause)
	}
}

func (g *Gate) drop(ticket *Ticket) {
	for i, other := range g.waiting {
		if other == ticket {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			g.onChange()
			return
		}
	}
}

// startWaiting gives free slots to waiting requests, and refuses those that the
// health or the retry budget no longer allows.
func (g *Gate) startWaiting(now time.Time) {
	kept := g.waiting[:0]
	for _, ticket := range g.waiting {
		trial, allowed := g.healthAllows(now, ticket.work)
		switch {
		case !allowed:
			ticket.turn <- Unhealthy
		case ticket.work.Retry && g.repeats.left(now) < 1:
			ticket.turn <- RetryBudgetExhausted
		case g.running < g.slots:
			ticket.trial = trial
			g.start(now, ticket)
			ticket.turn <- NotRefused
		default:
			kept = append(kept, ticket)
		}
	}
	g.waiting = kept
}

// Load returns the load and health of the server.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	var waiting [PriorityLevels]int
	for _, ticket := range g.waiting {
		waiting[min(max(ticket.work.Priority, 0), PriorityLevels-1)]++
	}
	return Load{
		Running:            g.running,
		Waiting:            waiting,
		Slots:              g.slots,
		FailureProbability: g.doubt.At(now),
		Service:            g.service,
		Open:               g.open,
		Cold:               now.Before(g.warmUntil),
		TrialIn:            g.untilTrial(now),
		RetriesLeft:        g.repeats.left(now),
		SinceLastResult:    max(now.Sub(g.doubt.at), 0),
	}
}

func (g *Gate) untilTrial(now time.Time) time.Duration {
	if g.trial {
		return trialRunning
	}
	return max(g.nextTrial.Sub(now), 0)
}
