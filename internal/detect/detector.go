package detect

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Transition is a change of state of one target.
type Transition struct {
	Target  string
	Service string
	From    fleet.Health
	To      fleet.Health
	At      time.Time
	Reason  Reason
	// Evidence is the share of the threshold that the strongest test reached.
	Evidence float64
	// Hold is the hold time of an ejection.
	Hold time.Duration
}

// Detector judges targets. It is not safe for concurrent use. Time, events
// and the random source come from outside, so the same calls give the same
// transitions.
type Detector struct {
	params  Params
	rng     *rand.Rand
	targets map[string]*target
	// order lists the targets by ID, so that transitions have a fixed order.
	order   []*target
	peers   map[string]*peerLog
	models  map[float64]*latencyModel
	resumed time.Time
	ticked  time.Time
	scratch []float64
	probes  uint64
}

// New returns a detector without targets. rng spreads hold times, so that
// servers ejected together do not return together; nil leaves them exact.
func New(params Params, rng *rand.Rand) *Detector {
	return &Detector{
		params:  params,
		rng:     rng,
		targets: map[string]*target{},
		peers:   map[string]*peerLog{},
		models:  map[float64]*latencyModel{},
		scratch: make([]float64, 0, longWindow+maxRunning),
	}
}

// SetTarget adds a target or changes the description of a known one.
func (d *Detector) SetTarget(t Target) {
	if s, ok := d.targets[t.ID]; ok {
		if s.Incarnation != t.Incarnation {
			s.restart()
		}
		if s.Target != t {
			s.describe(t)
		}
		return
	}
	s := newTarget(t)
	d.targets[t.ID] = s
	d.SetBaseline(t.ID, DefaultBaseline())
	d.order = append(d.order, s)
	sort.Slice(d.order, func(i, j int) bool { return d.order[i].ID < d.order[j].ID })
}

// Remove forgets a target.
func (d *Detector) Remove(id string) {
	s, ok := d.targets[id]
	if !ok {
		return
	}
	delete(d.targets, id)
	for i := range d.order {
		if d.order[i] == s {
			d.order = append(d.order[:i], d.order[i+1:]...)
			return
		}
	}
}

// EachTarget calls f with the ID of every target, in ascending order. f may
// remove the target it is called with.
func (d *Detector) EachTarget(f func(id string)) {
	for _, s := range append([]*target(nil), d.order...) {
		f(s.ID)
	}
}

// SetBaseline sets what the peers of a target show now.
func (d *Detector) SetBaseline(id string, b Baseline) {
	s, ok := d.targets[id]
	if !ok || b == s.baseline {
		return
	}
	model, ok := d.models[b.Sigma]
	if !ok {
		model = newLatencyModel(b.Sigma)
		d.models[b.Sigma] = model
	}
	s.setBaseline(b, model, d.ticked)
}

// MarkResumed tells that this process did not run until now. The age of a request
// that was running during the pause counts from now, because its end may be
// waiting unread.
func (d *Detector) MarkResumed(now time.Time) { d.resumed = now }

// ForgetRunning drops all running requests. It is called after events were
// lost: a request whose end was lost would seem to run for ever.
func (d *Detector) ForgetRunning() {
	for _, s := range d.order {
		s.running = s.running[:0]
	}
}

// Observe takes one event. Events of unknown targets and probes change
// nothing: servers with gray failures answer probes, and a probe can fail for
// reasons that real work does not meet.
func (d *Detector) Observe(e Event) {
	if e.Probe {
		d.probes++
		return
	}
	s, ok := d.targets[e.Target]
	if !ok {
		return
	}
	if !e.Finished {
		s.start(e)
		return
	}
	d.finish(s, e)
}

// Probes returns the number of probe events seen.
func (d *Detector) Probes() uint64 { return d.probes }

func (s *target) start(e Event) {
	if len(s.running) < maxRunning {
		s.running = append(s.running, request{id: e.Request, started: e.At})
	}
}

func (d *Detector) finish(s *target, e Event) {
	r, known := s.take(e.Request)
	if !known {
		r.started = e.At.Add(-e.Latency)
	}
	censored := e.Result == Timeout || e.Result == Cancelled
	if !censored {
		s.progress = latest(s.progress, e.At)
	}
	if e.Result == Shed {
		return
	}
	failed := e.Result == Failure || d.brokenPath(s, e)
	unrated := failed || !d.params.UseLatency || r.started.Before(d.resumed) || s.cold(e.At)
	if !unrated && s.baseline.Known {
		s.addLatency(&r, e.Latency, censored, e.At)
	}
	if !censored || failed {
		s.addOutcome(failed, e.At)
		s.window.add(sample{at: e.At.UnixNano(), latency: e.Latency, failed: failed, unrated: unrated})
	}
	if e.Result == Success {
		s.successes++
	}
}

// brokenPath tells whether a timeout is a failure of a path. A server's
// timeouts count as latency, relative to its peers; for a path there is no
// evidence from latency, so a timeout counts when it is longer than any pause.
func (d *Detector) brokenPath(s *target, e Event) bool {
	return !d.params.UseLatency && e.Result == Timeout &&
		e.Latency > s.baseline.p95()+d.params.PauseAllowance
}

// ObservePeer takes the end of a request that this node sent, as an entry, to
// a server of another host.
func (d *Detector) ObservePeer(e Event) {
	if e.Probe || !e.Finished || (e.Result != Success && e.Result != Failure) {
		return
	}
	log, ok := d.peers[e.Service]
	if !ok {
		log = &peerLog{}
		d.peers[e.Service] = log
	}
	log.add(peerSample{at: e.At, latency: e.Latency, failed: e.Result == Failure})
}

// Tick counts the ages of running requests and returns the changes of state.
func (d *Detector) Tick(now time.Time) []Transition {
	var out []Transition
	d.ticked = now
	for _, s := range d.order {
		s.ageRunning(now, d.resumed, &d.params)
		s.summarise(now, d.scratch)
		if t, changed := d.step(s, now); changed {
			out = append(out, t)
		}
	}
	return out
}

// Health returns the state of a target and the time since when it holds, and
// whether the target is known.
func (d *Detector) Health(id string) (fleet.Health, time.Time, bool) {
	s, ok := d.targets[id]
	if !ok {
		return "", time.Time{}, false
	}
	return s.health, s.since, true
}

// Summary returns the summary of a target that its host publishes.
func (d *Detector) Summary(id string) fleet.Observed {
	if s, ok := d.targets[id]; ok {
		return s.observed
	}
	return fleet.Observed{}
}
