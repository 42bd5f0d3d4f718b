package detect_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

var presets = []string{detect.PresetTrust, detect.PresetParamo}

// TestFaultsAreDetected guards against a fault that no test of the detector sees, and against a
// detection time more than half as long again as the documented one.
func TestFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		answer serverBehaviour
		within time.Duration
	}{
		{"fail all", failing, 500 * time.Millisecond},
		{"stall", stalled, 800 * time.Millisecond},
		{"four times slower", slower(4), 2500 * time.Millisecond},
	}
	for _, c := range cases {
		for _, preset := range presets {
			h := newSimulatedHost(preset, 7)
			h.runWithPeers(10*time.Second, healthy)
			start := h.now
			h.runWithPeers(10*time.Second, c.answer)
			if took, ok := h.firstEjection(start); !ok || took > c.within {
				t.Errorf("%s, %s: detected: %v, after %v, want within %v", c.name, preset, ok, took, c.within)
			}
		}
	}
}

// TestHangingRequestsCountBeforeTheyEnd guards against a server that leaves a third of its
// requests unanswered and is judged only by the others until the deadline of the unanswered
// ones. At 60 requests/s the others leave no gap that looks like a stall.
func TestHangingRequestsCountBeforeTheyEnd(t *testing.T) {
	for _, preset := range presets {
		h := newSimulatedHost(preset, 7)
		h.runWithPeers(10*time.Second, healthy)
		start := h.now
		h.runWithPeersAt(5*time.Second, 60, func(rng *rand.Rand) (detect.Result, time.Duration) {
			if rng.IntN(3) == 0 {
				return detect.Timeout, 30 * time.Second
			}
			return healthy(rng)
		})
		if took, ok := h.firstEjection(start); !ok {
			t.Errorf("%s: not detected", preset)
		} else {
			t.Logf("%s: detected after %v", preset, took)
		}
	}
}

// TestProbesAloneDecideNothing guards against clearing a server with a gray failure because it
// answers probes, and against an ejection by failed probes while real requests succeed.
func TestProbesAloneDecideNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSimulatedHost(rapid.SampledFrom(presets).Draw(t, "preset"), 1)
		start := rapid.SampledFrom([]fleet.Health{fleet.Healthy, fleet.Ejected, fleet.Probation}).Draw(t, "start")
		driveToState(h, start)
		results := rapid.SliceOfN(rapid.SampledFrom([]detect.Result{detect.Success, detect.Failure, detect.Timeout}), 1, 200).Draw(t, "probes")
		seen := len(h.transitions)
		for i, result := range results {
			h.Observe(detect.Event{Target: "a", Service: "s", Request: 1 << 40, At: h.now, Probe: true})
			h.Observe(detect.Event{Target: "a", Service: "s", Request: 1 << 40, At: h.now.Add(time.Millisecond),
				Finished: true, Result: result, Latency: time.Millisecond, Probe: true})
			if i%5 == 0 {
				h.tick(h.now.Add(tickInterval))
			}
		}
		for _, tr := range h.transitions[seen:] {
			if tr.Reason != detect.ReasonHoldEnded {
				t.Fatalf("probes changed %s to %s: %s", tr.From, tr.To, tr.Reason)
			}
		}
	})
}

// driveToState brings a server into a state by real requests.
func driveToState(h *simulatedHost, state fleet.Health) {
	if state == fleet.Healthy {
		return
	}
	h.runRequests(time.Second, 20, failing)
	for state == fleet.Probation && h.health() != fleet.Probation {
		h.tick(h.now.Add(tickInterval))
	}
}

// TestSlowServiceEjectsNobody guards against a verdict on a server that is as slow as its peers,
// which would take down a slow service altogether. The summaries of the peers arrive late and
// are all that is known of them.
func TestSlowServiceEjectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preset := rapid.SampledFrom(presets).Draw(t, "preset")
		factor := rapid.Float64Range(1.5, 10).Draw(t, "factor")
		delay := time.Duration(rapid.IntRange(5, 25).Draw(t, "delay ticks")) * tickInterval
		seed := rapid.Uint64Range(1, 1<<20).Draw(t, "seed")
		hosts := make([]*simulatedHost, rapid.IntRange(3, 8).Draw(t, "servers"))
		for i := range hosts {
			hosts[i] = newSimulatedHost(preset, seed+uint64(i))
		}
		runFleet(hosts, delay, 10*time.Second, healthy)
		runFleet(hosts, delay, 20*time.Second, slower(factor))
		for i, h := range hosts {
			if took, ok := h.firstEjection(time.Time{}); ok {
				t.Fatalf("server %d was ejected at %v when all were %.1f times slower", i, took, factor)
			}
		}
	})
}

// runFleet runs all hosts side by side; each receives the summaries of the others after a delay.
func runFleet(hosts []*simulatedHost, delay, length time.Duration, answer serverBehaviour) {
	var published [][]fleet.Observed
	for done := time.Duration(0); done < length; done += tickInterval {
		now := make([]fleet.Observed, len(hosts))
		for i, h := range hosts {
			h.runRequests(tickInterval, 20, answer)
			now[i] = h.Summary("a")
		}
		published = append(published, now)
		heard := len(published) - 1 - int(delay/tickInterval)
		if heard < 0 || published[heard][0].Median == 0 {
			continue
		}
		for i, h := range hosts {
			peers := append(append([]fleet.Observed(nil), published[heard][:i]...), published[heard][i+1:]...)
			h.SetBaseline("a", detect.PeerBaseline(peers))
		}
	}
}

// TestPausesAreNoFault guards against a verdict on a server that pauses for up to 200 ms. At 100
// requests/s such a pause delays 20 requests.
func TestPausesAreNoFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSimulatedHost(rapid.SampledFrom(presets).Draw(t, "preset"), rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		rate := float64(rapid.IntRange(20, 100).Draw(t, "rate"))
		h.runWithPeersAt(time.Second, rate, healthy)
		for range 5 {
			h.pauseServer(time.Duration(rapid.IntRange(50, 200).Draw(t, "pause ms"))*time.Millisecond, rate)
			h.runWithPeersAt(time.Second, rate, healthy)
		}
		if took, ok := h.firstEjection(time.Time{}); ok {
			t.Fatalf("ejected at %v", took)
		}
	})
}

// TestHoldTimeGrowsAndDecays guards against a flapping server that returns as often as it fails,
// and against a hold time that never shrinks again.
func TestHoldTimeGrowsAndDecays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newSimulatedHost(rapid.SampledFrom(presets).Draw(t, "preset"), 1)
		params := detect.ServerParams()
		flaps := rapid.IntRange(2, 7).Draw(t, "flaps")
		want := params.Hold
		for i := range flaps {
			ejectAndRecover(t, h)
			if got := lastHold(h); got != want {
				t.Fatalf("hold time %v at ejection %d, want %v", got, i+1, want)
			}
			want = min(2*want, params.MaxHold)
		}
		h.runRequests(params.HoldDecay+time.Second, 20, healthy)
		ejectAndRecover(t, h)
		if got, before := lastHold(h), min(params.Hold<<(flaps-1), params.MaxHold); got != before {
			t.Fatalf("hold time %v after a healthy HoldDecay, want %v", got, before)
		}
	})
}

// ejectAndRecover makes a server fail, waits out its hold time and makes it healthy again.
func ejectAndRecover(t *rapid.T, h *simulatedHost) {
	h.runRequests(time.Second, 20, failing)
	for h.health() == fleet.Ejected {
		h.tick(h.now.Add(tickInterval))
	}
	h.runRequests(3*time.Second, 20, healthy)
	if h.health() != fleet.Healthy {
		t.Fatalf("state %s after successful real requests, want healthy", h.health())
	}
}

func lastHold(h *simulatedHost) time.Duration {
	hold := time.Duration(0)
	for _, tr := range h.transitions {
		if tr.To == fleet.Ejected {
			hold = tr.Hold
		}
	}
	return hold
}

// TestSameEventsGiveSameTransitions guards against decisions that depend on map order or on the
// machine's clock.
func TestSameEventsGiveSameTransitions(t *testing.T) {
	run := func() []detect.Transition {
		h := newSimulatedHost(detect.PresetTrust, 3)
		for range 4 {
			h.runWithPeers(5*time.Second, healthy)
			h.runWithPeers(5*time.Second, slower(6))
		}
		return h.transitions
	}
	first, second := run(), run()
	if len(first) == 0 || !reflect.DeepEqual(first, second) {
		t.Fatalf("transitions differ or are missing:\n%v\n%v", first, second)
	}
}

// TestPausedObserverEjectsNobody guards against request ages that include a pause of this
// process, during which the ends of requests waited unread.
func TestPausedObserverEjectsNobody(t *testing.T) {
	h := newSimulatedHost(detect.PresetTrust, 3)
	h.runWithPeers(5*time.Second, healthy)
	for range 5 {
		h.startRequest(h.now, stalled)
	}
	h.now = h.now.Add(5 * time.Second)
	h.peersAnswer(5)
	h.MarkResumed(h.now)
	h.tick(h.now)
	if h.health() != fleet.Healthy {
		t.Fatalf("state %s after a pause of this process, want healthy", h.health())
	}
}
