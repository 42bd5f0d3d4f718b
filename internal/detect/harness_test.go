package detect_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	tickInterval = 100 * time.Millisecond
	median       = 50 * time.Millisecond
)

// simulatedHost drives a detector with one server in virtual time.
type simulatedHost struct {
	*detect.Detector
	now         time.Time
	rng         *rand.Rand
	lastRequest uint64
	transitions []detect.Transition
	// pending holds the end events of running requests, in the order of their start.
	pending []detect.Event
}

func newSimulatedHost(preset string, seed uint64) *simulatedHost {
	h := &simulatedHost{
		Detector: detect.New(detect.ServerParams(), nil),
		now:      time.Unix(1000, 0),
		rng:      rand.New(rand.NewPCG(seed, 1)),
	}
	h.SetTarget(detect.Target{ID: "a", Service: "s", Costs: detect.PresetCosts(preset)})
	h.SetBaseline("a", detect.Baseline{Known: true, Median: median, Sigma: 0.5, FailureRate: 0.005})
	return h
}

// serverBehaviour returns the result and the latency of a request that starts now.
type serverBehaviour func(rng *rand.Rand) (detect.Result, time.Duration)

func healthy(rng *rand.Rand) (detect.Result, time.Duration) {
	return detect.Success, time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
}

func failing(*rand.Rand) (detect.Result, time.Duration) { return detect.Failure, 5 * time.Millisecond }

func stalled(*rand.Rand) (detect.Result, time.Duration) { return detect.Timeout, 2 * time.Second }

func slower(factor float64) serverBehaviour {
	return func(rng *rand.Rand) (detect.Result, time.Duration) {
		result, latency := healthy(rng)
		return result, time.Duration(factor * float64(latency))
	}
}

// runRequests sends requests at a fixed rate for the given time, with a tick every 100 ms.
func (h *simulatedHost) runRequests(length time.Duration, rate float64, answer serverBehaviour) {
	gap := time.Duration(float64(time.Second) / rate)
	next := h.now.Add(gap)
	for end := h.now.Add(length); h.now.Before(end); {
		limit := h.now.Add(tickInterval)
		for ; next.Before(limit); next = next.Add(gap) {
			h.startRequest(next, answer)
		}
		h.deliverUntil(limit)
		h.tick(limit)
	}
}

func (h *simulatedHost) tick(now time.Time) {
	h.now = now
	h.transitions = append(h.transitions, h.Tick(now)...)
}

func (h *simulatedHost) startRequest(at time.Time, answer serverBehaviour) {
	h.deliverUntil(at)
	h.lastRequest++
	result, latency := answer(h.rng)
	h.Observe(detect.Event{Target: "a", Service: "s", Request: h.lastRequest, At: at})
	h.pending = append(h.pending, detect.Event{Target: "a", Service: "s", Request: h.lastRequest,
		At: at.Add(latency), Finished: true, Result: result, Latency: latency})
}

// deliverUntil delivers the end events before limit in the order of their time.
func (h *simulatedHost) deliverUntil(limit time.Time) {
	for {
		first := -1
		for i := range h.pending {
			if h.pending[i].At.Before(limit) && (first < 0 || h.pending[i].At.Before(h.pending[first].At)) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		h.Observe(h.pending[first])
		h.pending = append(h.pending[:first], h.pending[first+1:]...)
	}
}

// peersAnswer reports usual responses of servers on other hosts, as the entry sees them.
func (h *simulatedHost) peersAnswer(count int) {
	for range count {
		h.ObservePeer(detect.Event{Target: "n", Service: "s", At: h.now, Finished: true, Latency: median})
	}
}

// runWithPeers sends 20 requests/s and reports one usual response of a peer at each tick.
func (h *simulatedHost) runWithPeers(length time.Duration, answer serverBehaviour) {
	h.runWithPeersAt(length, 20, answer)
}

func (h *simulatedHost) runWithPeersAt(length time.Duration, rate float64, answer serverBehaviour) {
	for end := h.now.Add(length); h.now.Before(end); {
		h.runRequests(tickInterval, rate, answer)
		h.peersAnswer(1)
	}
}

// pauseServer pauses the server for the given time. Requests that are running, or start during
// the pause, end later by what is left of it.
func (h *simulatedHost) pauseServer(length time.Duration, rate float64) {
	resume := h.now.Add(length)
	for i := range h.pending {
		h.pending[i].Latency += length
		h.pending[i].At = h.pending[i].At.Add(length)
	}
	gap := time.Duration(float64(time.Second) / rate)
	nextTick := h.now.Add(tickInterval)
	for at := h.now.Add(gap); at.Before(resume); at = at.Add(gap) {
		if !at.Before(nextTick) {
			h.tick(nextTick)
			h.peersAnswer(1)
			nextTick = nextTick.Add(tickInterval)
		}
		h.startRequest(at, func(rng *rand.Rand) (detect.Result, time.Duration) {
			result, latency := healthy(rng)
			return result, latency + resume.Sub(at)
		})
	}
	h.now = resume
}

func (h *simulatedHost) health() fleet.Health {
	health, _, _ := h.Health("a")
	return health
}

// firstEjection returns the time from start to the first ejection.
func (h *simulatedHost) firstEjection(start time.Time) (time.Duration, bool) {
	for _, t := range h.transitions {
		if t.To == fleet.Ejected && !t.At.Before(start) {
			return t.At.Sub(start), true
		}
	}
	return 0, false
}
