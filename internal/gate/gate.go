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

// Refusal is the reason why a request does not run.
type Refusal int

// Reasons for a refusal.
const (
	// NotRefused stands for a request that runs or waits.
	NotRefused Refusal = iota
	// Closed: the gate has no server, or the server is leaving.
	Closed
	// Unhealthy: the server is probably in a failure episode.
	Unhealthy
	// Busy: no slot becomes free in time.
	Busy
	// RetryBudgetExhausted: the server has received all retries that the retry budget allows.
	RetryBudgetExhausted
	// RateLimited: the server gets as many requests per second as it accepts.
	RateLimited
)

// String returns the name of the reason for logs.
func (r Refusal) String() string {
	return [...]string{"none", "closed", "doubtful", "busy", "spent", "rate-limited"}[r]
}

// Request describes a request that asks for a slot.
type Request struct {
	// Priority is the combined priority of the request; 0 is the most urgent.
	Priority int
	// Call is set if a running request of another server waits for this one.
	Call bool
	// Flow is the flow that the request belongs to.
	Flow       Flow
	Idempotent bool
	// Objective is the time until which the answer is fully useful.
	Objective time.Time
	// MaxWait is the longest expected wait with which the request may join the queue; 0 if it may
	// not wait.
	MaxWait time.Duration
	// Retry is set if an earlier attempt reached a server. The retry budget bounds retries.
	Retry bool
	// FirstAttempt is set if no other node was asked before, so that a request counts once for the
	// retry budget, however many nodes refuse it.
	FirstAttempt bool
	// RetryShare is the probability that the request is a call made by a server for a request that
	// is itself a retry, and so counts as one.
	RetryShare float64
}

// routePriorities is the number of priorities of routes that a combined priority distinguishes.
const routePriorities = 16

// CombinePriorities returns the priority of a request from that of its account, which goes first, and
// that of its route.
func CombinePriorities(account, route int) int {
	return max(account, 0)*routePriorities + min(max(route, 0), routePriorities-1)
}

// Rank returns the rank of a request among those that wait: calls of running work come first, since
// work that other servers have done depends on them, then the combined priorities.
func Rank(call bool, priority int) int {
	if call {
		return 0
	}
	account, route := max(priority, 0)/routePriorities, max(priority, 0)%routePriorities
	return 1 + min(account*rankedPriorities+min(route, rankedPriorities-1), PriorityLevels-2)
}

func (r Request) rank() int { return Rank(r.Call, r.Priority) }

// before reports whether r takes a free slot before other: by rank, then by the objective.
func (r Request) before(other Request) bool {
	if r.rank() != other.rank() {
		return r.rank() < other.rank()
	}
	if !r.Call && r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Objective.Before(other.Objective)
}

// Shares of the time that a request has which it may be expected to wait.
const (
	objectiveWaitShare = 0.6
	remainingWaitShare = 0.4
	// maxLateWait bounds the wait of a request beyond its share of the objective.
	maxLateWait = time.Second
)

// MaxWaitFor returns how long a request with a latency objective and the remaining time until its
// deadline may be expected to wait. A request with a short objective but a much later deadline is
// better answered late than refused, because it is probably a call on which another request waits.
func MaxWaitFor(objective, remaining time.Duration) time.Duration {
	late := min(time.Duration(remainingWaitShare*float64(remaining)), maxLateWait)
	return max(time.Duration(objectiveWaitShare*float64(objective)), late, 0)
}

// rankedPriorities is the number of priorities of accounts and of routes that ranks distinguish, and
// PriorityLevels the number of ranks: calls, the combinations of these priorities, and all others.
const (
	rankedPriorities = 3
	PriorityLevels   = 1 + rankedPriorities*rankedPriorities + 1
)

// ExpectedWait returns the expected time until a request of the rank gets a slot and the rate limit
// admits it. unreported is the number of requests on their way that the load, which has the given
// age, does not include yet.
func (l Load) ExpectedWait(rank, unreported int, age time.Duration) time.Duration {
	ahead := l.Ahead(rank) + unreported
	wait := l.RateWait(ahead, age)
	if excess := l.Running + ahead + 1 - l.Slots; excess > 0 {
		wait = max(wait, min(l.slotWait(excess, rank), l.floorWait(rank)))
	}
	return wait
}

// floorWait returns the time after which the floor of its flow pays for a request, if the requests
// of each rank are one flow.
func (l Load) floorWait(rank int) time.Duration {
	flows, ahead := 1, 0
	for other, waiting := range l.Waiting {
		switch {
		case other == min(rank, PriorityLevels-1):
			ahead = waiting
		case waiting > 0:
			flows++
		}
	}
	service := max(l.Service, l.WorkService)
	return time.Duration(float64((ahead+1)*flows) * float64(service) / (floorShare * float64(max(l.Slots, 1))))
}

// slotWait returns the expected time until a number of runs have ended. A request that is no call
// waits for others of its sort, and for the calls that arrive meanwhile.
func (l Load) slotWait(runs, rank int) time.Duration {
	wait := float64(runs) / float64(max(l.Slots, 1))
	if rank == 0 || l.CallPercent == 0 {
		return time.Duration(wait * float64(l.Service))
	}
	return time.Duration(wait * float64(l.WorkService) / (1 - min(float64(l.CallPercent)/100, maxCallShare)))
}

// Ahead returns the number of waiting requests that come before another one of the rank.
func (l Load) Ahead(rank int) int {
	ahead := 0
	for level := 0; level <= min(rank, PriorityLevels-1); level++ {
		ahead += l.Waiting[level]
	}
	return ahead
}

// WaitingRanks returns the number of ranks up to the last one of which requests wait.
func (l Load) WaitingRanks() int {
	ranks := len(l.Waiting)
	for ranks > 0 && l.Waiting[ranks-1] == 0 {
		ranks--
	}
	return ranks
}

// QueueLength returns the number of waiting requests.
func (l Load) QueueLength() int { return l.Ahead(PriorityLevels - 1) }

// RateLimited reports whether the server limits the rate of requests.
func (l Load) RateLimited() bool { return l.RateInterval > 0 }

// RateWait returns the time until the rate limit admits a request with a number of others ahead of
// it, for a load of the given age.
func (l Load) RateWait(ahead int, age time.Duration) time.Duration {
	return max(rateWait(ahead, l.RateTokens, l.RateInterval)-age, 0)
}

// Load describes the server for the nodes that choose between servers.
type Load struct {
	Running, Slots int
	// Waiting counts the waiting requests by rank; the last one includes all less urgent ones.
	Waiting [PriorityLevels]int
	// FailureProbability is the probability that the server is in a failure episode.
	FailureProbability float64
	// Service is the mean service time.
	Service time.Duration
	// Open is set while the server accepts requests.
	Open bool
	// Cold is set while the server is slow after its start.
	Cold bool
	// TrialIn is the time until an unhealthy server accepts one idempotent request as a trial;
	// trialInFlight while a trial runs.
	TrialIn time.Duration
	// CallPercent is the share of the time of the server, in percent, that calls of running work take.
	CallPercent int
	// WorkService is the mean service time of requests that are no calls; 0 without calls.
	WorkService time.Duration
	// RetriesLeft is the number of retries that the retry budget still allows.
	RetriesLeft int
	// RateInterval is the mean time between two requests at the rate that the server accepts; 0
	// without a limit. RateTokens is the number of requests that may be sent at once, and the part
	// of the interval that has passed towards the next one.
	RateInterval time.Duration
	RateTokens   float64
	// SinceLastResult is the time since the last result that was evidence of the server's health.
	SinceLastResult time.Duration
	// StopsIn is the time until the node beside the server stops; 0 if it does not. Until then the
	// node accepts requests that must have ended by then.
	StopsIn time.Duration
}

// trialInFlight is the Load.TrialIn of a server with a running trial.
const trialInFlight = time.Second

// Healthy reports whether the server accepts non-idempotent requests.
func (l Load) Healthy() bool { return l.FailureProbability < UnhealthyThreshold }

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

// Load returns the load and health of the server.
func (g *Gate) Load(now time.Time) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(now)
}

func (g *Gate) load(now time.Time) Load {
	var waiting [PriorityLevels]int
	for _, ticket := range g.waiting {
		waiting[ticket.request.rank()]++
	}
	load := Load{
		Running:            g.running,
		Waiting:            waiting,
		Slots:              g.slots,
		FailureProbability: g.health.At(now),
		Service:            g.serviceTime,
		Open:               g.open,
		Cold:               now.Before(g.warmUntil),
		TrialIn:            g.untilTrial(now),
		RetriesLeft:        g.retries.remaining(now),
		SinceLastResult:    max(now.Sub(g.health.updatedAt), 0),
	}
	if g.rate.bucket != nil {
		load.RateInterval, load.RateTokens = g.rate.interval(), g.rate.bucket.TokensAt(now)
	}
	return g.callLoad(now, load)
}

// callLoad adds what calls take of the server to a load.
func (g *Gate) callLoad(now time.Time, load Load) Load {
	load.CallPercent = min(int(100*g.calls.at(now)/float64(max(g.slots, 1))), 100)
	if load.CallPercent > 0 {
		load.WorkService = g.workTime
	}
	return load
}

func (g *Gate) untilTrial(now time.Time) time.Duration {
	if g.trialRunning {
		return trialInFlight
	}
	return max(g.nextTrial.Sub(now), 0)
}
