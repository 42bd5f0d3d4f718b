package gate

import (
	"math"
	"time"
)

// Likelihoods of one failed request, from the error rates of servers in and out
// of a spell of failures.
const (
	failureInSpell   = 0.85
	failureOutOfIt   = 0.02
	stallInSpell     = 0.5
	stallOutOfIt     = 0.05
	minDoubt         = 0.001
	maxDoubt         = 0.999
	spellThreshold   = 0.5
	learningWeight   = 0.25
	initialSpell     = 3 * time.Second
	initialSoundTime = 8 * time.Second
)

// Bounds of the learned durations.
const (
	minSpell     = 500 * time.Millisecond
	maxSpell     = 10 * time.Second
	minSoundTime = 2 * time.Second
	maxSoundTime = 2 * time.Minute
)

// Evidence is what one request showed of its server.
type Evidence int

// The kinds of evidence.
const (
	// None says nothing about the server, such as a request that was cancelled.
	None Evidence = iota
	// Success is a whole answer without a server error.
	Success
	// Failure is a server error, a broken answer or none.
	Failure
	// Shed is a refusal of the server to run the request. Nothing is lost by it,
	// and a busy server sheds as well as a failing one.
	Shed
	// Stall is a request that takes unusually long and has not ended yet.
	Stall
)

// String returns the name of the evidence for logs.
func (e Evidence) String() string {
	return [...]string{"none", "success", "failure", "shed", "stall"}[e]
}

// HealthEstimate is the probability that a server is in a spell of failures.
type HealthEstimate struct {
	value float64
	at    time.Time
	// spell and sound are the mean durations in and out of spells.
	spell, sound time.Duration
	// inSpell and since hold the state that the results show, for learning.
	inSpell bool
	since   time.Time
}

// NewHealthEstimate returns the doubt about a server of which nothing is known but the
// usual share of spells.
func NewHealthEstimate(now time.Time) HealthEstimate {
	d := HealthEstimate{at: now, since: now, spell: initialSpell, sound: initialSoundTime}
	d.value = d.base()
	return d
}

// base is the share of time that spells take.
func (d *HealthEstimate) base() float64 {
	return d.spell.Seconds() / (d.spell + d.sound).Seconds()
}

// At returns the probability at a time not before the last result.
func (d *HealthEstimate) At(now time.Time) float64 {
	return drift(d.value, d.base(), now.Sub(d.at), d.rate())
}

// rate is the rate in 1/s at which the probability drifts to its base.
func (d *HealthEstimate) rate() float64 { return 1/d.spell.Seconds() + 1/d.sound.Seconds() }

// drift moves a probability towards base at a rate in 1/s.
func drift(value, base float64, age time.Duration, rate float64) float64 {
	return base + (value-base)*math.Exp(-rate*max(age, 0).Seconds())
}

// Observe takes the evidence of one request.
func (d *HealthEstimate) Observe(now time.Time, evidence Evidence) {
	in, out := likelihoods(evidence)
	prior := d.At(now)
	d.at = now
	d.value = min(max(prior*in/(prior*in+(1-prior)*out), minDoubt), maxDoubt)
	d.learn(now)
}

func likelihoods(evidence Evidence) (in, out float64) {
	switch evidence {
	case Success:
		return 1 - failureInSpell, 1 - failureOutOfIt
	case Failure:
		return failureInSpell, failureOutOfIt
	case Stall:
		return stallInSpell, stallOutOfIt
	}
	return 1, 1
}

// learn updates the mean durations when the results show a change of state.
func (d *HealthEstimate) learn(now time.Time) {
	inSpell := d.value > spellThreshold
	if inSpell == d.inSpell {
		return
	}
	lasted := now.Sub(d.since)
	if d.inSpell {
		d.spell = blend(d.spell, lasted, minSpell, maxSpell)
	} else {
		d.sound = blend(d.sound, lasted, minSoundTime, maxSoundTime)
	}
	d.inSpell, d.since = inSpell, now
}

func blend(mean, sample, low, high time.Duration) time.Duration {
	mean += time.Duration(learningWeight * float64(sample-mean))
	return min(max(mean, low), high)
}
