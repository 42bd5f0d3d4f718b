package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// The model of a backend server and of its load.
const (
	requestRate    = 20.0 // requests/s of a server
	medianLatency  = 50 * time.Millisecond
	latencySigma   = 0.5
	outlierShare   = 0.01
	outlierFactor  = 8.0
	backgroundFail = 0.003
	// serverSpread is the standard deviation of the logarithm of the speed of
	// servers relative to each other.
	serverSpread = 0.15
	// hopLatency is what an entry sees beyond the server's latency.
	hopLatency = 3 * time.Millisecond
	deadline   = 2 * time.Second
	failLength = 5 * time.Millisecond
	// At 95% load a server is slower by surgeSlowdown, and the rate follows
	// from the slots and the mean latency at that speed.
	surgeSlowdown = 1.3
	surgeLoad     = 0.95
	// shedShare of the requests is shed by a server whose slots are all taken.
	shedShare = 0.02
	// A cold server is slower by coldSlowdown at first and as fast as others
	// after coldLength. Each server restarts every restartInterval.
	coldSlowdown    = 3.0
	coldLength      = 30 * time.Second
	restartInterval = 120 * time.Second
	// Pauses are pauseGap and an exponential time of mean pauseMean apart. Less
	// apart, two of them would be one longer pause.
	pauseLength = 200 * time.Millisecond
	pauseGap    = 500 * time.Millisecond
	pauseMean   = 2500 * time.Millisecond

	controlTick = 100 * time.Millisecond
	// gossipDelay is the time after which all nodes know a record.
	gossipDelay    = 1500 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	probeInterval  = time.Second
)

// Shares of the work by standing, relative to a routable server.
var standingShare = map[fleet.Standing]float64{
	fleet.Routable: 1, fleet.Reduced: 0.25, fleet.OnProbation: 0.1, fleet.SetAside: 0,
}

// worldServer is one modelled server.
type worldServer struct {
	speed   float64
	running int
	queue   []worldRequest
	weight  float64
	health  fleet.Health
	since   time.Time
	asked   time.Time
	// coldFrom is the time of the last restart.
	coldFrom  time.Duration
	restartAt time.Duration
	pauseAt   time.Duration
}

// worldRequest is one request in the model.
type worldRequest struct {
	id      uint64
	server  int
	entry   int
	arrived time.Duration
	started time.Duration
	result  detect.Result
	// faulty tells that the fault ended it, so it counts as lost.
	faulty bool
}

// record is what the host of a server publishes at one time.
type record struct {
	at       time.Duration
	observed []fleet.Observed
	health   []fleet.Health
	asked    []time.Time
}

// world is one run of a case under one policy.
type world struct {
	detectionCase
	deployment
	rng     *rand.Rand
	judge   judge
	base    time.Time
	now     time.Duration
	servers []worldServer
	ends    eventQueue
	records []record
	nextID  uint64
	arrival time.Duration
	faultOn time.Duration

	outcome trialOutcome
}

// trialOutcome is the result of one run.
type trialOutcome struct {
	// detected is the time from the fault to the first verdict; negative if
	// there was none.
	detected time.Duration
	lost     int
	// false counts verdicts on well servers, and setAside those of them that
	// took effect after settling.
	false    int
	setAside int
	// republished counts changes of published summaries after steadyAfter.
	republished int
	seconds     float64
}

func newWorld(c detectionCase, d deployment, rng *rand.Rand, j judge) *world {
	w := &world{detectionCase: c, deployment: d, rng: rng, judge: j, base: time.Unix(1_000_000, 0)}
	w.servers = make([]worldServer, d.servers)
	for i := range w.servers {
		w.servers[i] = worldServer{
			speed:     math.Exp(serverSpread * rng.NormFloat64()),
			weight:    1,
			health:    fleet.Healthy,
			coldFrom:  -coldLength,
			restartAt: warmUp + time.Duration(rng.Float64()*float64(restartInterval)),
			pauseAt:   warmUp + w.exponential(pauseMean),
		}
	}
	w.faultOn = warmUp + time.Duration(rng.Float64()*float64(time.Second))
	w.outcome.detected = -1
	return w
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) time() time.Time { return w.base.Add(w.now) }

// run simulates the whole length of the case.
func (w *world) run() trialOutcome {
	nextGossip, nextProbe := gossipInterval, probeInterval
	for tick := controlTick; tick <= w.length; tick += controlTick {
		w.requestsUntil(tick)
		w.now = tick
		if w.probes && tick >= nextProbe {
			nextProbe += probeInterval
			w.judge.observe(0, detect.Event{At: w.time(), Finished: true, Probe: true, Result: detect.Success, Latency: failLength})
		}
		w.restartCold()
		w.applyVerdicts()
		if tick >= nextGossip {
			nextGossip += gossipInterval
			w.gossip()
		}
	}
	w.outcome.seconds = w.length.Seconds() * float64(w.wellServers())
	return w.outcome
}

func (w *world) wellServers() int {
	if w.well() {
		return len(w.servers)
	}
	return len(w.servers) - 1
}

// requestsUntil handles arrivals and ends in the order of time.
func (w *world) requestsUntil(limit time.Duration) {
	for {
		end, hasEnd := w.ends.first()
		if hasEnd && end <= w.arrival && end < limit {
			w.now = end
			w.finish(w.ends.pop())
			continue
		}
		if w.arrival >= limit {
			return
		}
		w.now = w.arrival
		w.arrive()
		w.arrival += w.exponential(time.Duration(float64(time.Second) / w.totalRate()))
	}
}

// totalRate is the load of the service in requests/s.
func (w *world) totalRate() float64 {
	rate := requestRate
	if w.surge && w.now >= warmUp {
		mean := medianLatency.Seconds() * surgeSlowdown * math.Exp(latencySigma*latencySigma/2) *
			(1 + outlierShare*(outlierFactor-1))
		rate = surgeLoad * float64(w.slots) / mean
	}
	return rate * float64(len(w.servers))
}

func (w *world) arrive() {
	w.nextID++
	r := worldRequest{id: w.nextID, server: w.choose(), entry: w.rng.IntN(w.nodes), arrived: w.now}
	s := &w.servers[r.server]
	if s.running < w.slots {
		w.dispatch(r)
		return
	}
	if len(s.queue) < w.slots {
		s.queue = append(s.queue, r)
		return
	}
	w.countLost(r, w.faultOf(r.server).any())
}

// choose picks a server by the weights of the standings.
func (w *world) choose() int {
	total := 0.0
	for i := range w.servers {
		total += w.servers[i].weight
	}
	pick := w.rng.Float64() * total
	for i := range w.servers {
		pick -= w.servers[i].weight
		if pick < 0 {
			return i
		}
	}
	return len(w.servers) - 1
}

func (w *world) faultOf(server int) serverFault { return w.faultAt(server, w.now, w.faultOn) }

func (w *world) dispatch(r worldRequest) {
	s := &w.servers[r.server]
	s.running++
	r.started = w.now
	w.judge.observe(r.server, detect.Event{Request: r.id, At: w.time()})
	length := w.work(&r)
	if left := r.arrived + deadline - w.now; length > left {
		length, r.result = max(left, 0), detect.Timeout
	}
	w.ends.push(w.now+length, r)
}

// work draws the result of a request and the time it takes.
func (w *world) work(r *worldRequest) time.Duration {
	s, fault := &w.servers[r.server], w.faultOf(r.server)
	if fault.failShare > 0 && w.rng.Float64() < fault.failShare {
		r.result, r.faulty = detect.Failure, true
		return failLength
	}
	if w.surge && s.running == w.slots && w.rng.Float64() < shedShare {
		r.result = detect.Shed
		return time.Millisecond
	}
	if w.rng.Float64() < backgroundFail {
		r.result = detect.Failure
	}
	factor := s.speed * math.Exp(latencySigma*w.rng.NormFloat64()) * w.loadFactor(s)
	if w.rng.Float64() < outlierShare {
		factor *= outlierFactor
	}
	if fault.slowShare > 0 && w.rng.Float64() < fault.slowShare {
		factor *= fault.slowdown
	}
	return w.throughPauses(s, time.Duration(factor*float64(medianLatency)))
}

func (w *world) loadFactor(s *worldServer) float64 {
	if w.surge && w.now >= warmUp {
		return surgeSlowdown
	}
	if left := s.coldFrom + coldLength - w.now; left > 0 {
		return 1 + (coldSlowdown-1)*float64(left)/float64(coldLength)
	}
	return 1
}

// throughPauses lengthens work by the pause that it meets. The next pause
// starts after the work has ended, so that one is enough.
func (w *world) throughPauses(s *worldServer, work time.Duration) time.Duration {
	if !w.pauses {
		return work
	}
	for w.now >= s.pauseAt+pauseLength {
		s.pauseAt += pauseLength + pauseGap + w.exponential(pauseMean)
	}
	if w.now+work <= s.pauseAt {
		return work
	}
	if w.now > s.pauseAt {
		return work + s.pauseAt + pauseLength - w.now
	}
	return work + pauseLength
}

func (w *world) finish(r worldRequest) {
	s, fault := &w.servers[r.server], w.faultOf(r.server)
	if fault.stalled && r.result != detect.Timeout {
		r.result, r.faulty = detect.Timeout, true
		w.ends.push(r.arrived+deadline, r)
		return
	}
	s.running--
	e := detect.Event{Request: r.id, At: w.time(), Finished: true, Result: r.result, Latency: w.now - r.started}
	w.judge.observe(r.server, e)
	if r.entry < len(w.servers) && r.entry != r.server {
		e.Latency = w.now - r.arrived + hopLatency
		w.judge.peer(r.entry, e)
	}
	w.countLost(r, r.faulty || r.result == detect.Timeout)
	w.dispatchQueued(s)
}

func (w *world) dispatchQueued(s *worldServer) {
	for len(s.queue) > 0 && s.running < w.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if w.now >= next.arrived+deadline {
			w.countLost(next, w.faultOf(next.server).any())
			continue
		}
		w.dispatch(next)
	}
}

// countLost counts a request that the fault, and not the background, lost.
func (w *world) countLost(r worldRequest, lost bool) {
	if lost && w.fault.any() && (r.server == 0 || w.wholeService) {
		w.outcome.lost++
	}
}

func (w *world) restartCold() {
	if !w.restarts {
		return
	}
	for i := range w.servers {
		s := &w.servers[i]
		if w.now >= s.restartAt {
			s.restartAt += restartInterval
			s.coldFrom = w.now
			w.judge.restart(i, w.time().Add(coldLength))
		}
	}
}

// applyVerdicts takes the decisions of one control tick.
func (w *world) applyVerdicts() {
	for _, v := range w.judge.tick(w.time()) {
		s := &w.servers[v.server]
		s.health, s.since = v.to, w.time()
		if v.to == fleet.Ejected {
			if s.asked.IsZero() {
				s.asked = w.time()
			}
			w.countVerdict(v.server)
		}
	}
	w.releasePlaces()
}

// releasePlaces follows the rule of controller.Ejection.
func (w *world) releasePlaces() {
	for i := range w.servers {
		s := &w.servers[i]
		working := s.health == fleet.Healthy || s.health == fleet.Suspect
		if working && !s.asked.IsZero() && eject.HasSettled(w.time(), s.since) {
			s.asked = time.Time{}
		}
	}
}

func (w *world) countVerdict(server int) {
	if !w.isFaulty(server) {
		w.outcome.false++
		return
	}
	if w.outcome.detected < 0 {
		w.outcome.detected = w.now - w.faultOn
	}
}

func (w *world) isFaulty(server int) bool {
	return !w.well() && server == 0 && w.now >= w.faultOn
}

// gossip publishes what hosts say now and lets entries act on what they have
// heard by now.
func (w *world) gossip() {
	now := record{at: w.now}
	for i := range w.servers {
		now.observed = append(now.observed, w.judge.published(i))
		now.health = append(now.health, w.servers[i].health)
		now.asked = append(now.asked, w.servers[i].asked)
	}
	w.countRepublished(now)
	w.records = append(w.records, now)
	for len(w.records) > 1 && w.records[1].at <= w.now-gossipDelay {
		w.records = w.records[1:]
	}
	if heard := w.records[0]; heard.at <= w.now-gossipDelay {
		w.judge.exchange(heard.observed, heard.health)
		w.route(heard)
	}
}

// countRepublished counts the summaries that changed since the last exchange,
// each of which costs gossip.
func (w *world) countRepublished(now record) {
	if len(w.records) == 0 || w.now < steadyAfter {
		return
	}
	last := w.records[len(w.records)-1]
	for i := range now.observed {
		if now.observed[i] != last.observed[i] {
			w.outcome.republished++
		}
	}
}

// route sets the weights from the ejection decision.
func (w *world) route(heard record) {
	members := make([]eject.Member, len(w.servers))
	for i := range members {
		members[i] = eject.Member{
			ID: serverName(i), Slots: w.slots, Warmth: w.warmth(i), Health: heard.health[i],
			RequestedAt: heard.asked[i], Settled: eject.HasSettled(w.time(), heard.asked[i]),
		}
	}
	decision := eject.Decide(fleet.Service{Name: "s", FloorSlots: w.floor}, members)
	for i := range w.servers {
		if decision.Standings[i] == fleet.SetAside && w.servers[i].weight > 0 && !w.isFaulty(i) {
			w.outcome.setAside++
		}
		w.servers[i].weight = standingShare[decision.Standings[i]] * members[i].Warmth
	}
}

func (w *world) warmth(server int) float64 {
	left := w.servers[server].coldFrom + coldLength - w.now
	return min(max(1-left.Seconds()/coldLength.Seconds(), 0.2), 1)
}
