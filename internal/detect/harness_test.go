package detect_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	tick   = 100 * time.Millisecond
	median = 50 * time.Millisecond
)

// host drives one detector with one server in virtual time.
type host struct {
	*detect.Detector
	now         time.Time
	rng         *rand.Rand
	next        uint64
	transitions []detect.Transition
	// pending are the ends of running requests, in the order of their start.
	pending []detect.Event
}

func newHost(preset string, seed uint64) *host {
	h := &host{
		Detector: detect.New(detect.ServerParams(), nil),
		now:      time.Unix(1000, 0),
		rng:      rand.New(rand.NewPCG(seed, 1)),
	}
	h.SetTarget(detect.Target{ID: "a", Service: "s", Costs: detect.PresetCosts(preset)})
	h.SetBaseline("a", detect.Baseline{Known: true, Median: median, Sigma: 0.5, FailureRate: 0.005})
	return h
}

// behaviour says how a server answers a request that starts now.
type behaviour func(rng *rand.Rand) (detect.Result, time.Duration)

func healthy(rng *rand.Rand) (detect.Result, time.Duration) {
	return detect.Success, time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
}

func failing(*rand.Rand) (detect.Result, time.Duration) { return detect.Failure, 5 * time.Millisecond }

func stalled(*rand.Rand) (detect.Result, time.Duration) { return detect.Timeout, 2 * time.Second }

func slower(factor float64) behaviour {
	return func(rng *rand.Rand) (detect.Result, time.Duration) {
		result, latency := healthy(rng)
		return result, time.Duration(factor * float64(latency))
	}
}

// run sends requests at a fixed rate for a while, with a tick every 100 ms.
func (h *host) run(length time.Duration, rate float64, answer behaviour) {
	gap := time.Duration(float64(time.Second) / rate)
	next := h.now.Add(gap)
	for end := h.now.Add(length); h.now.Before(end); {
		limit := h.now.Add(tick)
		for ; next.Before(limit); next = next.Add(gap) {
			h.start(next, answer)
		}
		h.finishUntil(limit)
		h.step(limit)
	}
}

func (h *host) step(now time.Time) {
	h.now = now
	h.transitions = append(h.transitions, h.Tick(now)...)
}

func (h *host) start(at time.Time, answer behaviour) {
	h.finishUntil(at)
	h.next++
	result, latency := answer(h.rng)
	h.Observe(detect.Event{Target: "a", Service: "s", Request: h.next, At: at})
	h.pending = append(h.pending, detect.Event{Target: "a", Service: "s", Request: h.next,
		At: at.Add(latency), Finished: true, Result: result, Latency: latency})
}

// finishUntil delivers the ends up to a time, in the order of time.
func (h *host) finishUntil(limit time.Time) {
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

// peersAnswer feeds usual answers of other hosts, as the entry sees them.
func (h *host) peersAnswer(count int) {
	for range count {
		h.ObservePeer(detect.Event{Target: "n", Service: "s", At: h.now, Finished: true, Latency: median})
	}
}

// runWithPeers is run with one usual answer of a peer at each tick.
func (h *host) runWithPeers(length time.Duration, answer behaviour) { h.runAt(length, 20, answer) }

func (h *host) runAt(length time.Duration, rate float64, answer behaviour) {
	for end := h.now.Add(length); h.now.Before(end); {
		h.run(tick, rate, answer)
		h.peersAnswer(1)
	}
}

// pause stops the server: what runs, and what starts meanwhile, ends later by
// what is left of the pause.
func (h *host) pause(length time.Duration, rate float64) {
	resume := h.now.Add(length)
	for i := range h.pending {
		h.pending[i].Latency += length
		h.pending[i].At = h.pending[i].At.Add(length)
	}
	gap := time.Duration(float64(time.Second) / rate)
	nextTick := h.now.Add(tick)
	for at := h.now.Add(gap); at.Before(resume); at = at.Add(gap) {
		if !at.Before(nextTick) {
			h.step(nextTick)
			h.peersAnswer(1)
			nextTick = nextTick.Add(tick)
		}
		h.start(at, func(rng *rand.Rand) (detect.Result, time.Duration) {
			result, latency := healthy(rng)
			return result, latency + resume.Sub(at)
		})
	}
	h.now = resume
}

func (h *host) health() fleet.Health {
	health, _, _ := h.Health("a")
	return health
}

// firstEjection returns the time from start to the first verdict.
func (h *host) firstEjection(start time.Time) (time.Duration, bool) {
	for _, t := range h.transitions {
		if t.To == fleet.Ejected && !t.At.Before(start) {
			return t.At.Sub(start), true
		}
	}
	return 0, false
}
