package detect

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Shares of the threshold at which states change. Entering and leaving state
// suspect lie apart, so that a value near one of them does not change the
// record at every tick. A target on probation has failed before, so less
// evidence is enough to eject it again.
const (
	suspectShare   = 0.75
	clearShare     = 0.25
	probationShare = 0.6
	holdJitter     = 0.1
	// withdrawSuccesses is the number of real successes that a verdict needs to
	// be withdrawn while it settles. The target gets a reduced share then, so
	// that the number for probation would take longer than settling.
	withdrawSuccesses = 5
)

// step moves one target to its next state, if it changes.
func (d *Detector) step(s *target, now time.Time) (Transition, bool) {
	reason, share, risen := s.strongest()
	if share >= clearShare {
		s.lowSince = time.Time{}
	} else if s.lowSince.IsZero() {
		s.lowSince = now
	}
	d.decayStrikes(s, now)
	next, reason := d.next(s, now, reason, share, risen)
	if next == s.health {
		return Transition{}, false
	}
	return d.enter(s, next, now, reason, share), true
}

// next returns the state that follows from the evidence.
func (d *Detector) next(s *target, now time.Time, reason Reason, share float64, risen time.Time) (fleet.Health, Reason) {
	switch s.health {
	case fleet.Healthy, fleet.Suspect:
		return d.nextOfWorking(s, now, reason, share, risen)
	case fleet.Ejected:
		return d.nextOfEjected(s, now, share)
	case fleet.Probation:
		if share >= probationShare && d.confirmed(s, now, reason, risen) {
			return fleet.Ejected, reason
		}
		if s.successes >= d.params.ProbationSuccesses && share < clearShare {
			return fleet.Healthy, ReasonSuccesses
		}
	}
	return s.health, reason
}

func (d *Detector) nextOfWorking(s *target, now time.Time, reason Reason, share float64, risen time.Time) (fleet.Health, Reason) {
	if share >= 1 && d.confirmed(s, now, reason, risen) {
		return fleet.Ejected, reason
	}
	if share >= suspectShare {
		return fleet.Suspect, reason
	}
	calm := !s.lowSince.IsZero() && now.Sub(s.lowSince) >= d.params.SuspectClearTime
	if s.health == fleet.Suspect && !calm {
		return fleet.Suspect, reason
	}
	return fleet.Healthy, ReasonCleared
}

// nextOfEjected ends the hold time. Before the ejection has taken effect, the
// target still works and can clear itself by real successes, unless it has
// been ejected lately.
func (d *Detector) nextOfEjected(s *target, now time.Time, share float64) (fleet.Health, Reason) {
	elapsed := now.Sub(s.since)
	if elapsed >= s.hold {
		return fleet.Probation, ReasonHoldEnded
	}
	settling := elapsed < d.params.Settle && s.strikes <= 1
	if settling && share < clearShare && s.successes >= withdrawSuccesses {
		return fleet.Suspect, ReasonCleared
	}
	return fleet.Ejected, ReasonCleared
}

// confirmed tells whether the evidence is about this target alone. Failures
// need no look at the present of the peers: the floor bounds what a service
// that fails as a whole can lose.
func (d *Detector) confirmed(s *target, now time.Time, reason Reason, risen time.Time) bool {
	if reason == ReasonFailures {
		return true
	}
	if now.Sub(s.roseAt) < riseQuiet {
		return false
	}
	if d.peersHadTime(s, now, reason, risen) {
		return true
	}
	log, ok := d.peers[s.Service]
	if !ok {
		return false
	}
	needed := confirmLatency * s.thresholds[failAll]
	if reason == ReasonStall {
		needed = confirmStall
	}
	return log.support(s, risen) >= needed
}

// peersHadTime tells whether peers that are in the same state since risen would
// have shown it in their summaries. They need requests to notice, about as many
// as this target has seen since, and then the time of gossip. A stall shows
// without requests.
func (d *Detector) peersHadTime(s *target, now time.Time, reason Reason, risen time.Time) bool {
	if now.Sub(risen) < d.params.SummaryDelay {
		return false
	}
	return reason == ReasonStall || now.Sub(s.noticedAt(risen, now)) >= d.params.SummaryDelay
}

// enter performs a change of state.
func (d *Detector) enter(s *target, next fleet.Health, now time.Time, reason Reason, share float64) Transition {
	t := Transition{Target: s.ID, Service: s.Service, From: s.health, To: next, At: now, Reason: reason, Evidence: share}
	s.health, s.since = next, now
	switch next {
	case fleet.Ejected:
		s.strikes++
		s.struckAt = now
		s.successes = 0
		s.hold = d.holdTime(s.strikes)
		t.Hold = s.hold
	case fleet.Probation:
		s.successes = 0
		s.clearTests(now)
		s.running = s.running[:0]
	}
	return t
}

// holdTime doubles with each strike after the first.
func (d *Detector) holdTime(strikes int) time.Duration {
	hold := d.params.Hold
	for i := 1; i < strikes && hold < d.params.MaxHold; i++ {
		hold *= 2
	}
	hold = min(hold, d.params.MaxHold)
	if d.rng != nil {
		hold += time.Duration(d.rng.Float64() * holdJitter * float64(hold))
	}
	return hold
}

// decayStrikes takes back one strike after each HoldDecay in state healthy.
func (d *Detector) decayStrikes(s *target, now time.Time) {
	if s.strikes == 0 || s.health != fleet.Healthy {
		return
	}
	if now.Sub(latest(s.struckAt, s.since)) >= d.params.HoldDecay {
		s.strikes--
		s.struckAt = now
	}
}
