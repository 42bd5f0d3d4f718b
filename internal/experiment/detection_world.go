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
	// hopLatency is the latency that an entry node sees in addition to the server's.
	hopLatency     = 3 * time.Millisecond
	deadline       = 2 * time.Second
	failureLatency = 5 * time.Millisecond
	// At 95% load a server is slower by surgeSlowdown, and the rate follows
	// from the slots and the mean latency at that speed.
	surgeSlowdown = 1.3
	surgeLoad     = 0.95
	// shedShare is the fraction of requests shed by a server whose slots are all in use.
	shedShare = 0.02
	// A restarted server is initially slower by coldSlowdown and reaches full speed
	// after coldDuration. Each server restarts every restartInterval.
	coldSlowdown    = 3.0
	coldDuration    = 30 * time.Second
	restartInterval = 120 * time.Second
	// The gap between two pauses is pauseGap plus an exponential time with mean
	// pauseMean. Without the minimum gap, two pauses could merge into a longer one.
	pauseDuration = 200 * time.Millisecond
	pauseGap      = 500 * time.Millisecond
	pauseMean     = 2500 * time.Millisecond

	controlTick = 100 * time.Millisecond
	// gossipDelay is the time after which all nodes have received a record.
	gossipDelay    = 1500 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	probeInterval  = time.Second
)

// standingShare is the share of requests by standing, relative to a routable server.
var standingShare = map[fleet.Standing]float64{
	fleet.Routable: 1, fleet.Reduced: 0.25, fleet.OnProbation: 0.1, fleet.SetAside: 0,
}

// simServer is one simulated server.
type simServer struct {
	speed       float64
	running     int
	queue       []simRequest
	weight      float64
	health      fleet.Health
	since       time.Time
	requestedAt time.Time
	// restartedAt is the time of the last restart.
	restartedAt time.Duration
	nextRestart time.Duration
	nextPause   time.Duration
}

// simRequest is one simulated request.
type simRequest struct {
	id      uint64
	server  int
	entry   int
	arrived time.Duration
	started time.Duration
	result  detect.Result
	// faulty means that the fault ended the request, so that it counts as lost.
	faulty bool
}

// hostRecords is what the hosts of all servers publish at one time.
type hostRecords struct {
	at          time.Duration
	observed    []fleet.Observed
	health      []fleet.Health
	requestedAt []time.Time
}

// detectionSim simulates one run of a case under one policy.
type detectionSim struct {
	detectionCase
	deployment
	rng         *rand.Rand
	detector    outlierDetector
	base        time.Time
	now         time.Duration
	servers     []simServer
	completions completionQueue
	records     []hostRecords
	nextID      uint64
	arrival     time.Duration
	faultOn     time.Duration

	outcome trialOutcome
}

// trialOutcome is the result of one run.
type trialOutcome struct {
	// detected is the time from the fault to the first ejection of the faulty server;
	// negative if there was none.
	detected time.Duration
	lost     int
	// falseEjections counts ejections of healthy servers, and setAside those of them
	// that took effect after settling.
	falseEjections int
	setAside       int
	// republished counts changes of published summaries after steadyAfter.
	republished int
	seconds     float64
}

func newDetectionSim(c detectionCase, d deployment, rng *rand.Rand, detector outlierDetector) *detectionSim {
	sim := &detectionSim{detectionCase: c, deployment: d, rng: rng, detector: detector, base: time.Unix(1_000_000, 0)}
	sim.servers = make([]simServer, d.servers)
	for i := range sim.servers {
		sim.servers[i] = simServer{
			speed:       math.Exp(serverSpread * rng.NormFloat64()),
			weight:      1,
			health:      fleet.Healthy,
			restartedAt: -coldDuration,
			nextRestart: warmUp + time.Duration(rng.Float64()*float64(restartInterval)),
			nextPause:   warmUp + sim.exponential(pauseMean),
		}
	}
	sim.faultOn = warmUp + time.Duration(rng.Float64()*float64(time.Second))
	sim.outcome.detected = -1
	return sim
}

func (sim *detectionSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

func (sim *detectionSim) time() time.Time { return sim.base.Add(sim.now) }

// run simulates the whole duration of the case.
func (sim *detectionSim) run() trialOutcome {
	nextGossip, nextProbe := gossipInterval, probeInterval
	for tick := controlTick; tick <= sim.duration; tick += controlTick {
		sim.requestsUntil(tick)
		sim.now = tick
		if sim.probes && tick >= nextProbe {
			nextProbe += probeInterval
			sim.detector.observe(0, detect.Event{At: sim.time(), Finished: true, Probe: true, Result: detect.Success, Latency: failureLatency})
		}
		sim.restartCold()
		sim.applyHealthChanges()
		if tick >= nextGossip {
			nextGossip += gossipInterval
			sim.gossip()
		}
	}
	sim.outcome.seconds = sim.duration.Seconds() * float64(sim.healthyServers())
	return sim.outcome
}

func (sim *detectionSim) healthyServers() int {
	if sim.allHealthy() {
		return len(sim.servers)
	}
	return len(sim.servers) - 1
}

// requestsUntil processes arrivals and completions in order of time up to limit.
func (sim *detectionSim) requestsUntil(limit time.Duration) {
	for {
		end, hasEnd := sim.completions.next()
		if hasEnd && end <= sim.arrival && end < limit {
			sim.now = end
			sim.finish(sim.completions.pop())
			continue
		}
		if sim.arrival >= limit {
			return
		}
		sim.now = sim.arrival
		sim.arrive()
		sim.arrival += sim.exponential(time.Duration(float64(time.Second) / sim.totalRate()))
	}
}

// totalRate returns the arrival rate of the service in requests/s.
func (sim *detectionSim) totalRate() float64 {
	rate := requestRate
	if sim.surge && sim.now >= warmUp {
		mean := medianLatency.Seconds() * surgeSlowdown * math.Exp(latencySigma*latencySigma/2) *
			(1 + outlierShare*(outlierFactor-1))
		rate = surgeLoad * float64(sim.slots) / mean
	}
	return rate * float64(len(sim.servers))
}

func (sim *detectionSim) arrive() {
	sim.nextID++
	r := simRequest{id: sim.nextID, server: sim.chooseServer(), entry: sim.rng.IntN(sim.nodes), arrived: sim.now}
	s := &sim.servers[r.server]
	if s.running < sim.slots {
		sim.dispatch(r)
		return
	}
	if len(s.queue) < sim.slots {
		s.queue = append(s.queue, r)
		return
	}
	sim.countLost(r, sim.faultOf(r.server).active())
}

// chooseServer picks a server at random, weighted by standing and warmth.
func (sim *detectionSim) chooseServer() int {
	total := 0.0
	for i := range sim.servers {
		total += sim.servers[i].weight
	}
	pick := sim.rng.Float64() * total
	for i := range sim.servers {
		pick -= sim.servers[i].weight
		if pick < 0 {
			return i
		}
	}
	return len(sim.servers) - 1
}

func (sim *detectionSim) faultOf(server int) serverFault {
	return sim.faultAt(server, sim.now, sim.faultOn)
}

func (sim *detectionSim) dispatch(r simRequest) {
	s := &sim.servers[r.server]
	s.running++
	r.started = sim.now
	sim.detector.observe(r.server, detect.Event{Request: r.id, At: sim.time()})
	duration := sim.drawService(&r)
	if left := r.arrived + deadline - sim.now; duration > left {
		duration, r.result = max(left, 0), detect.Timeout
	}
	sim.completions.push(sim.now+duration, r)
}

// drawService draws the result of a request and its service time.
func (sim *detectionSim) drawService(r *simRequest) time.Duration {
	s, fault := &sim.servers[r.server], sim.faultOf(r.server)
	if fault.failShare > 0 && sim.rng.Float64() < fault.failShare {
		r.result, r.faulty = detect.Failure, true
		return failureLatency
	}
	if sim.surge && s.running == sim.slots && sim.rng.Float64() < shedShare {
		r.result = detect.Shed
		return time.Millisecond
	}
	if sim.rng.Float64() < backgroundFail {
		r.result = detect.Failure
	}
	factor := s.speed * math.Exp(latencySigma*sim.rng.NormFloat64()) * sim.loadFactor(s)
	if sim.rng.Float64() < outlierShare {
		factor *= outlierFactor
	}
	if fault.slowShare > 0 && sim.rng.Float64() < fault.slowShare {
		factor *= fault.slowdown
	}
	return sim.addPauses(s, time.Duration(factor*float64(medianLatency)))
}

func (sim *detectionSim) loadFactor(s *simServer) float64 {
	if sim.surge && sim.now >= warmUp {
		return surgeSlowdown
	}
	if left := s.restartedAt + coldDuration - sim.now; left > 0 {
		return 1 + (coldSlowdown-1)*float64(left)/float64(coldDuration)
	}
	return 1
}

// addPauses extends a service time by the pause that overlaps it. It considers one pause
// only: the next one is assumed to start after the work has ended.
func (sim *detectionSim) addPauses(s *simServer, work time.Duration) time.Duration {
	if !sim.pauses {
		return work
	}
	for sim.now >= s.nextPause+pauseDuration {
		s.nextPause += pauseDuration + pauseGap + sim.exponential(pauseMean)
	}
	if sim.now+work <= s.nextPause {
		return work
	}
	if sim.now > s.nextPause {
		return work + s.nextPause + pauseDuration - sim.now
	}
	return work + pauseDuration
}

func (sim *detectionSim) finish(r simRequest) {
	s, fault := &sim.servers[r.server], sim.faultOf(r.server)
	if fault.stalled && r.result != detect.Timeout {
		r.result, r.faulty = detect.Timeout, true
		sim.completions.push(r.arrived+deadline, r)
		return
	}
	s.running--
	e := detect.Event{Request: r.id, At: sim.time(), Finished: true, Result: r.result, Latency: sim.now - r.started}
	sim.detector.observe(r.server, e)
	if r.entry < len(sim.servers) && r.entry != r.server {
		e.Latency = sim.now - r.arrived + hopLatency
		sim.detector.observePeer(r.entry, e)
	}
	sim.countLost(r, r.faulty || r.result == detect.Timeout)
	sim.dispatchQueued(s)
}

func (sim *detectionSim) dispatchQueued(s *simServer) {
	for len(s.queue) > 0 && s.running < sim.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if sim.now >= next.arrived+deadline {
			sim.countLost(next, sim.faultOf(next.server).active())
			continue
		}
		sim.dispatch(next)
	}
}

// countLost counts a request that was lost to the fault rather than to background
// failures.
func (sim *detectionSim) countLost(r simRequest, lost bool) {
	if lost && sim.fault.active() && (r.server == 0 || sim.wholeService) {
		sim.outcome.lost++
	}
}

func (sim *detectionSim) restartCold() {
	if !sim.restarts {
		return
	}
	for i := range sim.servers {
		s := &sim.servers[i]
		if sim.now >= s.nextRestart {
			s.nextRestart += restartInterval
			s.restartedAt = sim.now
			sim.detector.restart(i, sim.time().Add(coldDuration))
		}
	}
}

// applyHealthChanges applies the decisions of one control tick.
func (sim *detectionSim) applyHealthChanges() {
	for _, v := range sim.detector.tick(sim.time()) {
		s := &sim.servers[v.server]
		s.health, s.since = v.to, sim.time()
		if v.to == fleet.Ejected {
			if s.requestedAt.IsZero() {
				s.requestedAt = sim.time()
			}
			sim.countEjection(v.server)
		}
	}
	sim.clearEjectionRequests()
}

// clearEjectionRequests drops the ejection requests of servers whose recovery has settled,
// by the rule of controller.Ejection.
func (sim *detectionSim) clearEjectionRequests() {
	for i := range sim.servers {
		s := &sim.servers[i]
		working := s.health == fleet.Healthy || s.health == fleet.Suspect
		if working && !s.requestedAt.IsZero() && eject.HasSettled(sim.time(), s.since) {
			s.requestedAt = time.Time{}
		}
	}
}

func (sim *detectionSim) countEjection(server int) {
	if !sim.isFaulty(server) {
		sim.outcome.falseEjections++
		return
	}
	if sim.outcome.detected < 0 {
		sim.outcome.detected = sim.now - sim.faultOn
	}
}

func (sim *detectionSim) isFaulty(server int) bool {
	return !sim.allHealthy() && server == 0 && sim.now >= sim.faultOn
}

// gossip publishes the current records of the hosts and lets entry nodes act on those
// received by now.
func (sim *detectionSim) gossip() {
	now := hostRecords{at: sim.now}
	for i := range sim.servers {
		now.observed = append(now.observed, sim.detector.summary(i))
		now.health = append(now.health, sim.servers[i].health)
		now.requestedAt = append(now.requestedAt, sim.servers[i].requestedAt)
	}
	sim.countRepublished(now)
	sim.records = append(sim.records, now)
	for len(sim.records) > 1 && sim.records[1].at <= sim.now-gossipDelay {
		sim.records = sim.records[1:]
	}
	if received := sim.records[0]; received.at <= sim.now-gossipDelay {
		sim.detector.exchangeSummaries(received.observed, received.health)
		sim.route(received)
	}
}

// countRepublished counts the summaries that changed since the previous exchange, each of
// which costs gossip.
func (sim *detectionSim) countRepublished(now hostRecords) {
	if len(sim.records) == 0 || sim.now < steadyAfter {
		return
	}
	last := sim.records[len(sim.records)-1]
	for i := range now.observed {
		if now.observed[i] != last.observed[i] {
			sim.outcome.republished++
		}
	}
}

// route sets the routing weights from the ejection decision.
func (sim *detectionSim) route(received hostRecords) {
	members := make([]eject.Member, len(sim.servers))
	for i := range members {
		members[i] = eject.Member{
			ID: serverName(i), Slots: sim.slots, Warmth: sim.warmth(i), Health: received.health[i],
			RequestedAt: received.requestedAt[i], Settled: eject.HasSettled(sim.time(), received.requestedAt[i]),
		}
	}
	decision := eject.Decide(fleet.Service{Name: "s", FloorSlots: sim.floor}, members)
	for i := range sim.servers {
		if decision.Standings[i] == fleet.SetAside && sim.servers[i].weight > 0 && !sim.isFaulty(i) {
			sim.outcome.setAside++
		}
		sim.servers[i].weight = standingShare[decision.Standings[i]] * members[i].Warmth
	}
}

func (sim *detectionSim) warmth(server int) float64 {
	left := sim.servers[server].restartedAt + coldDuration - sim.now
	return min(max(1-left.Seconds()/coldDuration.Seconds(), 0.2), 1)
}
