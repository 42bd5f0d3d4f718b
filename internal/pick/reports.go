package pick

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// nodeState is what is known of one node.
type nodeState struct {
	load gate.Load
	// reported is the arrival time of load; zero before the first report.
	reported time.Time
	// sent are the times of the requests that this picker has sent there since the report.
	sent []time.Time
	// excludedUntil is the end of the backoff after a refusal or a failed connection.
	excludedUntil time.Time
	backoff       time.Duration
	// unreachableAt is the time of the last failed connection; zero after a sign that the node can be
	// reached.
	unreachableAt time.Time
}

func (p *Picker) state(id string) *nodeState {
	s, ok := p.nodes[id]
	if !ok {
		s = &nodeState{}
		p.nodes[id] = s
	}
	return s
}

func (s *nodeState) choice(now time.Time) Choice {
	c := Choice{FailureProbability: usualFailureProbability, Service: s.load.Service}
	if !s.reported.IsZero() {
		c.Known, c.Age = true, now.Sub(s.reported)
		c.FailureProbability = s.failureProbability(now)
	}
	return c
}

// age is the age of the newest report.
func (s *nodeState) age(now time.Time) time.Duration { return now.Sub(s.reported) }

// failureProbability returns the reported probability, which drifts to the usual one as the report
// ages.
func (s *nodeState) failureProbability(now time.Time) float64 {
	age := now.Sub(s.reported).Seconds()
	return usualFailureProbability + (s.load.FailureProbability-usualFailureProbability)*math.Exp(-age/healthDecayTime.Seconds())
}

// objection returns why the node is known to refuse the request. load is the report brought up to
// date.
func (s *nodeState) objection(now time.Time, q *Query, load *gate.Load, maxWait time.Duration, remote bool) Objection {
	if now.Before(s.excludedUntil) || s.silent(now) {
		return Excluded
	}
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > maxReportAge {
		return NoObjection
	}
	switch {
	case !s.load.Open:
		return Closed
	case q.Retry && !s.hasRetryFor(remote):
		return NoRetriesLeft
	case s.load.StopsIn > 0 && q.Remaining > s.load.StopsIn-age:
		return Stopping
	}
	// An unhealthy server gets only a trial: an idempotent request that can be retried elsewhere,
	// when a trial is due and nothing was sent there since the report. A request that may not wait
	// is no trial in another data centre. A trial does not wait for a rate limit.
	if !s.load.Healthy() && (!q.Idempotent || q.LastAttempt || age < s.load.TrialIn || len(s.sent) > 0 || remote && maxWait == 0 ||
		s.load.RateWait(s.load.Ahead(gate.PriorityLevels), age) > 0) {
		return Unhealthy
	}
	unreported := len(s.sent)
	if remote && maxWait == 0 {
		// Reports from other data centres are older, and a refused hop costs more there.
		unreported++
	}
	if load.ExpectedWait(q.Priority, unreported, age) > maxWait {
		return NoRoom
	}
	return NoObjection
}

// hasRetryFor reports whether the retry budget of the server probably admits a retry. The last one is
// left to entries of its own data centre: reports from others are older, and a refused hop costs more.
func (s *nodeState) hasRetryFor(remote bool) bool {
	if remote {
		return s.load.RetriesLeft > 1
	}
	return s.load.RetriesLeft > 0
}

// silent reports whether a node that could not be reached has not been heard of since, by any path. Its
// instance has probably ended, and trying it after each backoff would delay one request each time.
func (s *nodeState) silent(now time.Time) bool {
	return !s.unreachableAt.IsZero() && s.reported.Before(s.unreachableAt) && now.Before(s.unreachableAt.Add(silentBackoff))
}

// needsTrial reports whether the request is suited to show the health of a server that has not been
// used for a while. A node that is silent as well has probably ended with its server, and the trial would
// be lost.
func (s *nodeState) needsTrial(now time.Time, q *Query) bool {
	return q.Idempotent && !q.LastAttempt && len(s.sent) == 0 && s.age(now) <= maxReportAge &&
		s.load.SinceLastUse+now.Sub(s.reported) >= unusedTime
}

// Report records the load that a node sent with an answer. It returns true if the node was
// considered unreachable before.
func (p *Picker) Report(now time.Time, id string, load gate.Load) (recovered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	recovered = s.backoff > 0
	s.update(now, load, true)
	return recovered
}

// UpdateLoad records the load of a node as it was at a time, unless a newer one is known. direct is
// set if it came from the node itself; a report that others forward does not show that the node can
// be reached.
func (p *Picker) UpdateLoad(at time.Time, id string, load gate.Load, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.state(id); at.After(s.reported) {
		s.update(at, load, direct)
	}
}

func (s *nodeState) update(at time.Time, load gate.Load, reachable bool) {
	s.load, s.reported, s.sent = load, at, newerThan(s.sent, at)
	if !reachable && !s.unreachableAt.IsZero() {
		return
	}
	// The node was only closed, or has answered since it could not be reached.
	s.backoff, s.unreachableAt = 0, time.Time{}
	if load.Open {
		s.excludedUntil = time.Time{}
	}
}

// newerThan drops the times up to a limit from an ascending list.
func newerThan(times []time.Time, limit time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(limit) {
		i++
	}
	return append(times[:0], times[i:]...)
}

// MarkRefused excludes a node for a while whose server does not accept requests. Other refusals
// need no exclusion: the report that comes with them shows which requests the node refuses.
func (p *Picker) MarkRefused(now time.Time, id string, refusal gate.Refusal) {
	if refusal != gate.Closed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).backOff(now)
}

// MarkUnreachable records a failed connection. It returns the time for which the node is excluded.
func (p *Picker) MarkUnreachable(now time.Time, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(id)
	s.backOff(now)
	s.unreachableAt = now
	return s.backoff
}

func (s *nodeState) backOff(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), MaxBackoff)
	s.excludedUntil = now.Add(s.backoff)
}

// StopsIn returns the time until a node stops, by its last report; false if it said nothing of a stop.
func (p *Picker) StopsIn(now time.Time, id string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.nodes[id]
	if !ok || s.load.StopsIn <= 0 {
		return 0, false
	}
	return s.load.StopsIn - s.age(now), true
}

// Retain forgets the nodes that known does not report.
func (p *Picker) Retain(known func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if !known(id) {
			delete(p.nodes, id)
		}
	}
}
