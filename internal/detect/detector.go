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

// Detector judges targets. It is not safe for concurrent use. The time, the events and the
// random source are passed in, so that the same calls give the same transitions.
type Detector struct {
	params  Params
	rng     *rand.Rand
	targets map[string]*targetState
	// sortedTargets lists the targets by ID, so that transitions have a fixed order.
	sortedTargets []*targetState
	peerHistories map[string]*peerHistory
	models        map[float64]*latencyModel
	resumedAt     time.Time
	lastTick      time.Time
	scratch       []float64
	probes        uint64
}

// New returns a detector without targets. rng adds jitter to hold times, so that servers ejected
// together do not return together. If rng is nil, hold times are exact.
func New(params Params, rng *rand.Rand) *Detector {
	return &Detector{
		params:        params,
		rng:           rng,
		targets:       map[string]*targetState{},
		peerHistories: map[string]*peerHistory{},
		models:        map[float64]*latencyModel{},
		scratch:       make([]float64, 0, longWindow+maxRunning),
	}
}

// SetTarget adds a target or updates the description of a known one.
func (d *Detector) SetTarget(t Target) {
	if s, ok := d.targets[t.ID]; ok {
		if s.Incarnation != t.Incarnation {
			s.resetIncarnation()
		}
		if s.Target != t {
			s.configure(t)
		}
		return
	}
	s := newTargetState(t)
	d.targets[t.ID] = s
	d.SetBaseline(t.ID, DefaultBaseline())
	d.sortedTargets = append(d.sortedTargets, s)
	sort.Slice(d.sortedTargets, func(i, j int) bool { return d.sortedTargets[i].ID < d.sortedTargets[j].ID })
}

// Remove removes a target and its state.
func (d *Detector) Remove(id string) {
	s, ok := d.targets[id]
	if !ok {
		return
	}
	delete(d.targets, id)
	for i := range d.sortedTargets {
		if d.sortedTargets[i] == s {
			d.sortedTargets = append(d.sortedTargets[:i], d.sortedTargets[i+1:]...)
			return
		}
	}
}

// EachTarget calls f with the ID of every target, in ascending order. f may remove the target it
// is called with.
func (d *Detector) EachTarget(f func(id string)) {
	for _, s := range append([]*targetState(nil), d.sortedTargets...) {
		f(s.ID)
	}
}

// SetBaseline sets the current baseline of the peers of a target.
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
	s.setBaseline(b, model, d.lastTick)
}

// MarkResumed records that this process did not run for some time before now. The age of a
// request that was running during the pause is counted from now, because its end may be waiting
// unread.
func (d *Detector) MarkResumed(now time.Time) { d.resumedAt = now }

// ForgetRunning drops all running requests. It is called after events were lost: a request whose
// end was lost would otherwise appear to run forever.
func (d *Detector) ForgetRunning() {
	for _, s := range d.sortedTargets {
		s.running = s.running[:0]
	}
}

// Observe handles one event. Events of unknown targets and of probes change nothing: servers
// with gray failures answer probes, and a probe can fail for reasons that do not affect real
// requests.
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
		s.startRequest(e)
		return
	}
	d.finishRequest(s, e)
}

// Probes returns the number of probe events seen.
func (d *Detector) Probes() uint64 { return d.probes }

func (s *targetState) startRequest(e Event) {
	if len(s.running) < maxRunning {
		s.running = append(s.running, request{id: e.Request, started: e.At})
	}
}

func (d *Detector) finishRequest(s *targetState, e Event) {
	r, known := s.takeRunning(e.Request)
	if !known {
		r.started = e.At.Add(-e.Latency)
	}
	censored := e.Result == Timeout || e.Result == Cancelled
	if !censored {
		s.lastProgress = laterTime(s.lastProgress, e.At)
	}
	if e.Result == Shed {
		return
	}
	failed := e.Result == Failure || d.isPathTimeout(s, e)
	noLatencyEvidence := failed || !d.params.UseLatency || r.started.Before(d.resumedAt) || s.cold(e.At)
	if !noLatencyEvidence && s.baseline.Known {
		s.addLatency(&r, e.Latency, censored, e.At)
	}
	if !censored || failed {
		s.addOutcome(failed, e.At)
		s.window.add(sample{at: e.At.UnixNano(), latency: e.Latency, failed: failed, noLatencyEvidence: noLatencyEvidence})
	}
	if e.Result == Success {
		s.successes++
	}
}

// isPathTimeout reports whether a timeout counts as a failure of a path. A timeout of a server
// counts as latency, relative to its peers. A path has no evidence from latency, so a timeout
// counts as a failure when it is longer than any tolerated pause.
func (d *Detector) isPathTimeout(s *targetState, e Event) bool {
	return !d.params.UseLatency && e.Result == Timeout &&
		e.Latency > s.baseline.p95()+d.params.PauseAllowance
}

// ObservePeer handles the end of a request that this node, as an entry, sent to a server on
// another host.
func (d *Detector) ObservePeer(e Event) {
	if e.Probe || !e.Finished || (e.Result != Success && e.Result != Failure) {
		return
	}
	history, ok := d.peerHistories[e.Service]
	if !ok {
		history = &peerHistory{}
		d.peerHistories[e.Service] = history
	}
	history.add(peerSample{at: e.At, latency: e.Latency, failed: e.Result == Failure})
}

// Tick scores the running requests by their age, updates the summaries and returns the changes
// of state.
func (d *Detector) Tick(now time.Time) []Transition {
	var out []Transition
	d.lastTick = now
	for _, s := range d.sortedTargets {
		s.scoreRunning(now, d.resumedAt, &d.params)
		s.updateSummary(now, d.scratch)
		if t, changed := d.updateState(s, now); changed {
			out = append(out, t)
		}
	}
	return out
}

// Health returns the state of a target, the time since which the target has been in it, and
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
		return s.summary
	}
	return fleet.Observed{}
}
