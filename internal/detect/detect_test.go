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

// TestFaultsAreDetected guards against a fault that no test sees, and against
// a detection time that grows beyond what the page gives by more than a half.
func TestFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		answer behaviour
		within time.Duration
	}{
		{"fail all", failing, 500 * time.Millisecond},
		{"stall", stalled, 800 * time.Millisecond},
		{"four times slower", slower(4), 2500 * time.Millisecond},
	}
	for _, c := range cases {
		for _, preset := range presets {
			h := newHost(preset, 7)
			h.runWithPeers(10*time.Second, healthy)
			start := h.now
			h.runWithPeers(10*time.Second, c.answer)
			if took, ok := h.firstEjection(start); !ok || took > c.within {
				t.Errorf("%s, %s: detected %v after %v, want within %v", c.name, preset, ok, took, c.within)
			}
		}
	}
}

// TestHangingRequestsCountBeforeTheyEnd guards against a server that leaves a
// third of its requests unanswered and is judged by the others until their
// deadline. At 60 requests/s the others leave no gap that looks like a stall.
func TestHangingRequestsCountBeforeTheyEnd(t *testing.T) {
	for _, preset := range presets {
		h := newHost(preset, 7)
		h.runWithPeers(10*time.Second, healthy)
		start := h.now
		h.runAt(5*time.Second, 60, func(rng *rand.Rand) (detect.Result, time.Duration) {
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

// TestProbesAloneDecideNothing guards against a server with a gray failure
// that answers probes and is cleared by them, and against an ejection by
// failed probes while real work succeeds.
func TestProbesAloneDecideNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHost(rapid.SampledFrom(presets).Draw(t, "preset"), 1)
		start := rapid.SampledFrom([]fleet.Health{fleet.Healthy, fleet.Ejected, fleet.Probation}).Draw(t, "start")
		bring(h, start)
		results := rapid.SliceOfN(rapid.SampledFrom([]detect.Result{detect.Success, detect.Failure, detect.Timeout}), 1, 200).Draw(t, "probes")
		seen := len(h.transitions)
		for i, result := range results {
			h.Observe(detect.Event{Target: "a", Service: "s", Request: 1 << 40, At: h.now, Probe: true})
			h.Observe(detect.Event{Target: "a", Service: "s", Request: 1 << 40, At: h.now.Add(time.Millisecond),
				Finished: true, Result: result, Latency: time.Millisecond, Probe: true})
			if i%5 == 0 {
				h.step(h.now.Add(tick))
			}
		}
		for _, tr := range h.transitions[seen:] {
			if tr.Reason != detect.ReasonHoldEnded {
				t.Fatalf("probes changed %s to %s: %s", tr.From, tr.To, tr.Reason)
			}
		}
	})
}

// bring takes a server to a state by real work.
func bring(h *host, state fleet.Health) {
	if state == fleet.Healthy {
		return
	}
	h.run(time.Second, 20, failing)
	for state == fleet.Probation && h.health() != fleet.Probation {
		h.step(h.now.Add(tick))
	}
}

// TestSlowServiceEjectsNobody guards against a verdict on a server that is as
// slow as its peers, which would take a slow service down altogether. The
// summaries of the peers arrive late and nothing else is known of them.
func TestSlowServiceEjectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preset := rapid.SampledFrom(presets).Draw(t, "preset")
		factor := rapid.Float64Range(1.5, 10).Draw(t, "factor")
		delay := time.Duration(rapid.IntRange(5, 25).Draw(t, "delay ticks")) * tick
		seed := rapid.Uint64Range(1, 1<<20).Draw(t, "seed")
		hosts := make([]*host, rapid.IntRange(3, 8).Draw(t, "servers"))
		for i := range hosts {
			hosts[i] = newHost(preset, seed+uint64(i))
		}
		fleetOf(hosts, delay, 10*time.Second, healthy)
		fleetOf(hosts, delay, 20*time.Second, slower(factor))
		for i, h := range hosts {
			if took, ok := h.firstEjection(time.Time{}); ok {
				t.Fatalf("server %d was ejected at %v when all were %.1f times slower", i, took, factor)
			}
		}
	})
}

// fleetOf runs all hosts side by side; each learns the summaries of the others
// after a delay.
func fleetOf(hosts []*host, delay, length time.Duration, answer behaviour) {
	var published [][]fleet.Observed
	for done := time.Duration(0); done < length; done += tick {
		now := make([]fleet.Observed, len(hosts))
		for i, h := range hosts {
			h.run(tick, 20, answer)
			now[i] = h.Summary("a")
		}
		published = append(published, now)
		heard := len(published) - 1 - int(delay/tick)
		if heard < 0 || published[heard][0].Median == 0 {
			continue
		}
		for i, h := range hosts {
			peers := append(append([]fleet.Observed(nil), published[heard][:i]...), published[heard][i+1:]...)
			h.SetBaseline("a", detect.PeerBaseline(peers))
		}
	}
}

// TestPausesAreNoFault guards against a verdict on a server that stops for up
// to 200 ms and then goes on. At 100 requests/s a pause delays 20 of them.
func TestPausesAreNoFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHost(rapid.SampledFrom(presets).Draw(t, "preset"), rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
		rate := float64(rapid.IntRange(20, 100).Draw(t, "rate"))
		h.runAt(time.Second, rate, healthy)
		for range 5 {
			h.pause(time.Duration(rapid.IntRange(50, 200).Draw(t, "pause ms"))*time.Millisecond, rate)
			h.runAt(time.Second, rate, healthy)
		}
		if took, ok := h.firstEjection(time.Time{}); ok {
			t.Fatalf("ejected at %v", took)
		}
	})
}

// TestHoldTimeGrowsAndDecays guards against a flapping server that returns as
// often as it fails, and against a hold time that never shrinks again.
func TestHoldTimeGrowsAndDecays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHost(rapid.SampledFrom(presets).Draw(t, "preset"), 1)
		params := detect.ServerParams()
		flaps := rapid.IntRange(2, 7).Draw(t, "flaps")
		want := params.Hold
		for i := range flaps {
			flap(t, h)
			if got := lastHold(h); got != want {
				t.Fatalf("hold %v at ejection %d, want %v", got, i+1, want)
			}
			want = min(2*want, params.MaxHold)
		}
		h.run(params.HoldDecay+time.Second, 20, healthy)
		flap(t, h)
		if got, before := lastHold(h), min(params.Hold<<(flaps-1), params.MaxHold); got != before {
			t.Fatalf("hold %v after a quiet time, want %v", got, before)
		}
	})
}

// flap makes a server fail, wait out its hold time and return.
func flap(t *rapid.T, h *host) {
	h.run(time.Second, 20, failing)
	for h.health() == fleet.Ejected {
		h.step(h.now.Add(tick))
	}
	h.run(3*time.Second, 20, healthy)
	if h.health() != fleet.Healthy {
		t.Fatalf("state %s after real successes", h.health())
	}
}

func lastHold(h *host) time.Duration {
	hold := time.Duration(0)
	for _, tr := range h.transitions {
		if tr.To == fleet.Ejected {
			hold = tr.Hold
		}
	}
	return hold
}

// TestSameEventsGiveSameTransitions guards against a decision that depends on
// the order of a map or on the clock of the machine.
func TestSameEventsGiveSameTransitions(t *testing.T) {
	run := func() []detect.Transition {
		h := newHost(detect.PresetTrust, 3)
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

// TestPausedObserverEjectsNobody guards against ages that grew while this
// process was stopped and the ends of requests waited unread.
func TestPausedObserverEjectsNobody(t *testing.T) {
	h := newHost(detect.PresetTrust, 3)
	h.runWithPeers(5*time.Second, healthy)
	for range 5 {
		h.start(h.now, stalled)
	}
	h.now = h.now.Add(5 * time.Second)
	h.peersAnswer(5)
	h.MarkResumed(h.now)
	h.step(h.now)
	if h.health() != fleet.Healthy {
		t.Fatalf("state %s after a pause of the observer", h.health())
	}
}
