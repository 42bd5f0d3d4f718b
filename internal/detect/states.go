package detect

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Shares of the threshold at which states change. The shares for entering and leaving state
// suspect differ, so that evidence close to one of them does not change the record at every
// tick. A target on probation has failed before, so less evidence is enough to eject it again.
const (
	suspectShare   = 0.75
	clearedShare   = 0.25
	probationShare = 0.6
	holdJitter     = 0.1
	// withdrawalSuccesses is the number of successful real requests needed to withdraw a verdict
	// while it settles. The target gets a reduced share of the work during that time, so that
	// the number needed to end probation would take longer than settling.
	withdrawalSuccesses = 5
)

// updateState moves a target to its next state and returns the transition, if the state changes.
func (d *Detector) updateState(s *targetState, now time.Time) (Transition, bool) {
	reason, share, onset := s.strongestEvidence()
	if share >= clearedShare {
		s.clearedSince = time.Time{}
	} else if s.clearedSince.IsZero() {
		s.clearedSince = now
	}
	d.decayBackoff(s, now)
	next, reason := d.nextState(s, now, reason, share, onset)
	if next == s.health {
		return Transition{}, false
	}
	return d.enterState(s, next, now, reason, share), true
}

// nextState returns the state that follows from the evidence.
func (d *Detector) nextState(s *targetState, now time.Time, reason Reason, share float64, onset time.Time) (fleet.Health, Reason) {
	switch s.health {
	case fleet.Healthy, fleet.Suspect:
		return d.nextFromActive(s, now, reason, share, onset)
	case fleet.Ejected:
		return d.nextFromEjected(s, now, share)
	case fleet.Probation:
		if share >= probationShare && d.confirmedByPeers(s, now, reason, onset) {
			return fleet.Ejected, reason
		}
		if s.successes >= d.params.ProbationSuccesses && share < clearedShare {
			return fleet.Healthy, ReasonSuccesses
		}
	}
	return s.health, reason
}

func (d *Detector) nextFromActive(s *targetState, now time.Time, reason Reason, share float64, onset time.Time) (fleet.Health, Reason) {
	if share >= 1 && d.confirmedByPeers(s, now, reason, onset) {
		return fleet.Ejected, reason
	}
	if share >= suspectShare {
		return fleet.Suspect, reason
	}
	cleared := !s.clearedSince.IsZero() && now.Sub(s.clearedSince) >= d.params.SuspectClearTime
	if s.health == fleet.Suspect && !cleared {
		return fleet.Suspect, reason
	}
	return fleet.Healthy, ReasonCleared
}

// nextFromEjected ends the hold time. Before the ejection has taken effect, the target still
// receives work and a verdict can be withdrawn after enough successful real requests, unless the
// target was ejected before and that ejection has not decayed yet.
func (d *Detector) nextFromEjected(s *targetState, now time.Time, share float64) (fleet.Health, Reason) {
	elapsed := now.Sub(s.since)
	if elapsed >= s.hold {
		return fleet.Probation, ReasonHoldEnded
	}
	settling := elapsed < d.params.Settle && s.backoffLevel <= 1
	if settling && share < clearedShare && s.successes >= withdrawalSuccesses {
		return fleet.Suspect, ReasonCleared
	}
	return fleet.Ejected, ReasonCleared
}

// confirmedByPeers reports whether the evidence concerns this target alone. Failures need no
// comparison with recent requests to peers: the floor bounds the capacity that a service can
// lose when it fails as a whole.
func (d *Detector) confirmedByPeers(s *targetState, now time.Time, reason Reason, onset time.Time) bool {
	if reason == ReasonFailures {
		return true
	}
	if now.Sub(s.baselineRoseAt) < baselineRiseDelay {
		return false
	}
	if d.peerSummariesCurrent(s, now, reason, onset) {
		return true
	}
	history, ok := d.peerHistories[s.Service]
	if !ok {
		return false
	}
	needed := latencyConfirmShare * s.thresholds[failAll]
	if reason == ReasonStall {
		needed = stallConfirmEvidence
	}
	return history.healthyEvidence(s, onset) >= needed
}

// peerSummariesCurrent reports whether the summaries of peers would by now show the same fault
// if they had it since onset. Peers need requests to notice it, about as many as this target has
// finished since, and then the delay of gossip. A stall shows without requests.
func (d *Detector) peerSummariesCurrent(s *targetState, now time.Time, reason Reason, onset time.Time) bool {
	if now.Sub(onset) < d.params.SummaryDelay {
		return false
	}
	return reason == ReasonStall || now.Sub(s.noticeTime(onset, now)) >= d.params.SummaryDelay
}

// enterState performs a change of state.
func (d *Detector) enterState(s *targetState, next fleet.Health, now time.Time, reason Reason, share float64) Transition {
	t := Transition{Target: s.ID, Service: s.Service, From: s.health, To: next, At: now, Reason: reason, Evidence: share}
	s.health, s.since = next, now
	switch next {
	case fleet.Ejected:
		s.backoffLevel++
		s.backoffChangedAt = now
		s.successes = 0
		s.hold = d.holdTime(s.backoffLevel)
		t.Hold = s.hold
	case fleet.Probation:
		s.successes = 0
		s.resetTests(now)
		s.running = s.running[:0]
	}
	return t
}

// holdTime returns the hold time of an ejection. It doubles with each backoff level after the
// first.
func (d *Detector) holdTime(level int) time.Duration {
	hold := d.params.Hold
	for i := 1; i < level && hold < d.params.MaxHold; i++ {
		hold *= 2
	}
	hold = min(hold, d.params.MaxHold)
	if d.rng != nil {
		hold += time.Duration(d.rng.Float64() * holdJitter * float64(hold))
	}
	return hold
}

// decayBackoff lowers the backoff level by one after each HoldDecay in state healthy.
func (d *Detector) decayBackoff(s *targetState, now time.Time) {
	if s.backoffLevel == 0 || s.health != fleet.Healthy {
		return
	}
	if now.Sub(laterTime(s.backoffChangedAt, s.since)) >= d.params.HoldDecay {
		s.backoffLevel--
		s.backoffChangedAt = now
	}
}
