package detect_test

import (
	"math"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// TestEvidenceFollowsTheBaseline guards against evidence that outlives the baseline it was
// measured against: once peers turn out to be as slow, a suspect server must be cleared without
// any further request.
func TestEvidenceFollowsTheBaseline(t *testing.T) {
	h := newSimulatedHost(detect.PresetTrust, 3)
	h.runRequests(5*time.Second, 20, healthy)
	h.runRequests(2*time.Second, 20, slower(4))
	if h.health() != fleet.Suspect {
		t.Fatalf("state %s of a slow server before the baseline changed, want suspect", h.health())
	}
	h.SetBaseline("a", detect.Baseline{Known: true, Median: 4 * median, Sigma: 0.5, FailureRate: 0.005})
	h.pending = nil
	h.ForgetRunning()
	for range 15 {
		h.tick(h.now.Add(tickInterval))
	}
	if h.health() != fleet.Healthy {
		t.Fatalf("state %s after the peers turned out to be as slow, want healthy", h.health())
	}
}

// TestRisingBaselinePostponesVerdicts guards against a verdict halfway through a slowdown of the
// whole service, when the baseline has risen only in part and the peers look normal by it.
func TestRisingBaselinePostponesVerdicts(t *testing.T) {
	h := newSimulatedHost(detect.PresetTrust, 3)
	h.runRequests(5*time.Second, 20, healthy)
	h.SetBaseline("a", detect.Baseline{Known: true, Median: 2 * median, Sigma: 0.5, FailureRate: 0.005})
	rise := h.now
	h.runWithPeers(6*time.Second, slower(8))
	took, ok := h.firstEjection(rise)
	if !ok || took < 3*time.Second {
		t.Fatalf("ejected: %v, %v after the baseline rose; want an ejection after 3s or more", ok, took)
	}
}

// TestVerdictIsWithdrawnWhileItSettles guards against an ejection that takes effect although the
// peers turned out to be as slow before it settled, and against a flapping server whose verdict
// is withdrawn every time.
func TestVerdictIsWithdrawnWhileItSettles(t *testing.T) {
	h := newSimulatedHost(detect.PresetTrust, 3)
	h.runRequests(5*time.Second, 20, healthy)
	for round, want := range []fleet.Health{fleet.Healthy, fleet.Ejected} {
		h.SetBaseline("a", detect.Baseline{Known: true, Median: median, Sigma: 0.5, FailureRate: 0.005})
		for range 30 {
			if h.runWithPeers(tickInterval, slower(4)); h.health() == fleet.Ejected {
				break
			}
		}
		if h.health() != fleet.Ejected {
			t.Fatalf("round %d: state %s when slower than its peers, want ejected", round, h.health())
		}
		h.SetBaseline("a", detect.Baseline{Known: true, Median: 4 * median, Sigma: 0.5, FailureRate: 0.005})
		h.runRequests(3*time.Second, 20, slower(4))
		if h.health() != want {
			t.Fatalf("round %d: state %s when the peers became as slow, want %s", round, h.health(), want)
		}
	}
}

// TestSummaryFollowsASlowdown guards against a summary that stops halfway through a slowdown,
// because the samples that triggered its update included older ones. The peers would be judged
// by it.
func TestSummaryFollowsASlowdown(t *testing.T) {
	want := 1 + 4*math.Log2(float64(4*median)/float64(100*time.Microsecond))
	for seed := range uint64(20) {
		h := newSimulatedHost(detect.PresetParamo, seed)
		h.runRequests(10*time.Second, 20, healthy)
		h.runRequests(4500*time.Millisecond, 20, slower(4))
		if got := float64(h.Summary("a").Median); math.Abs(got-want) > 2 {
			t.Errorf("seed %d: bucket %.0f after a slowdown, want %.1f", seed, got, want)
		}
	}
}
