package gate

import (
	"math"
	"time"
)

// Likelihoods of one result in and out of a failure episode, from the error rates of servers in
// these states.
const (
	failureWhileFailing = 0.85
	failureWhileHealthy = 0.02
	stallWhileFailing   = 0.5
	stallWhileHealthy   = 0.05
	minProbability      = 0.001
	maxProbability      = 0.999
	failingThreshold    = 0.5
	learningWeight      = 0.25
	initialFailingTime  = 3 * time.Second
	initialHealthyTime  = 8 * time.Second
)

// Bounds of the learned durations.
const (
	minFailingTime = 500 * time.Millisecond
	maxFailingTime = 10 * time.Second
	minHealthyTime = 2 * time.Second
	maxHealthyTime = 2 * time.Minute
)

// Evidence is what one request showed of the health of its server.
type Evidence int

// Kinds of evidence.
const (
	// None says nothing about the server, such as a request that was cancelled.
	None Evidence = iota
	// Success is a complete answer without a server error.
	Success
	// Failure is a server error, an incomplete or invalid answer, or none.
	Failure
	// Shed is a refusal of the server to run the request. Nothing is lost by it, and a busy server
	// sheds load as well as a failing one.
	Shed
	// Stall is a request that takes unusually long and has not ended yet.
	Stall
)

// String returns the name of the evidence for logs.
func (e Evidence) String() string {
	return [...]string{"none", "success", "failure", "shed", "stall"}[e]
}

// HealthEstimate estimates the probability that a server is in a failure episode.
type HealthEstimate struct {
	probability float64
	updatedAt   time.Time
	// failingTime and healthyTime are the mean durations of episodes and of the time between them.
	failingTime, healthyTime time.Duration
	// failing and since are the state that the results show and its start, from which the durations
	// are learned.
	failing bool
	since   time.Time
}

// NewHealthEstimate returns the estimate for a server without results: the usual share of time in
// failure episodes.
func NewHealthEstimate(now time.Time) HealthEstimate {
	h := HealthEstimate{updatedAt: now, since: now, failingTime: initialFailingTime, healthyTime: initialHealthyTime}
	h.probability = h.stationary()
	return h
}

// stationary is the share of time that failure episodes take.
func (h *HealthEstimate) stationary() float64 {
	return h.failingTime.Seconds() / (h.failingTime + h.healthyTime).Seconds()
}

// At returns the probability at a time not before the last result.
func (h *HealthEstimate) At(now time.Time) float64 {
	return drift(h.probability, h.stationary(), now.Sub(h.updatedAt), h.rate())
}

// rate is the rate in 1/s at which the probability drifts to its stationary value.
func (h *HealthEstimate) rate() float64 { return 1/h.failingTime.Seconds() + 1/h.healthyTime.Seconds() }

// drift moves a probability towards target at a rate in 1/s.
func drift(value, target float64, age time.Duration, rate float64) float64 {
	return target + (value-target)*math.Exp(-rate*max(age, 0).Seconds())
}

// Observe updates the probability with the evidence of one request.
func (h *HealthEstimate) Observe(now time.Time, evidence Evidence) {
	failing, healthy := likelihoods(evidence)
	prior := h.At(now)
	h.updatedAt = now
	h.probability = min(max(prior*failing/(prior*failing+(1-prior)*healthy), minProbability), maxProbability)
	h.learn(now)
}

func likelihoods(evidence Evidence) (failing, healthy float64) {
	switch evidence {
	case Success:
		return 1 - failureWhileFailing, 1 - failureWhileHealthy
	case Failure:
		return failureWhileFailing, failureWhileHealthy
	case Stall:
		return stallWhileFailing, stallWhileHealthy
	}
	return 1, 1
}

// learn updates the mean durations when the results show a change of state.
func (h *HealthEstimate) learn(now time.Time) {
	failing := h.probability > failingThreshold
	if failing == h.failing {
		return
	}
	duration := now.Sub(h.since)
	if h.failing {
		h.failingTime = updateMean(h.failingTime, duration, minFailingTime, maxFailingTime)
	} else {
		h.healthyTime = updateMean(h.healthyTime, duration, minHealthyTime, maxHealthyTime)
	}
	h.failing, h.since = failing, now
}

func updateMean(mean, sample, low, high time.Duration) time.Duration {
	mean += time.Duration(learningWeight * float64(sample-mean))
	return min(max(mean, low), high)
}
