package sidecar

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/gate"
)

func TestHopMetadataAndLoadReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 1e6).Draw(t, name)) * time.Millisecond
		}
		sent := hopMetadata{
			remaining: ms("left"), objective: ms("objective"), queueLimit: ms("queueLimit"),
			priority:   rapid.IntRange(0, 9).Draw(t, "priority"),
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			caller:     "measures", service: "bookings", version: rapid.Uint64().Draw(t, "version"), inbound: "10.0.0.1:80",
			retry: rapid.Bool().Draw(t, "repeat"), firstHop: rapid.Bool().Draw(t, "firstHop"),
			retryShare: float64(rapid.IntRange(0, shareScale).Draw(t, "share")) / shareScale,
		}
		got, err := decodeHopMetadata(sent.encode())
		if err != nil || got != sent {
			t.Fatalf("sent %+v, got %+v (%v)", sent, got, err)
		}
		load := loadReport{Load: gate.Load{
			Open: rapid.Bool().Draw(t, "open"), Running: rapid.IntRange(0, 99).Draw(t, "running"),
			Slots: rapid.IntRange(0, 99).Draw(t, "slots"), FailureProbability: float64(rapid.IntRange(0, shareScale).Draw(t, "doubt")) / shareScale,
			Service: ms("service"), Cold: rapid.Bool().Draw(t, "cold"), TrialIn: ms("trial"),
			Waiting: [gate.PriorityLevels]int{1, 2, 3, 4}, RetriesLeft: rapid.IntRange(0, 99).Draw(t, "repeats"), StopsIn: ms("ends"), SinceLastResult: ms("quiet"),
		}, version: uint64(rapid.IntRange(0, 1e9).Draw(t, "config"))}
		back, ok := decodeLoadReport(load.encode())
		if !ok || back.Running != load.Running || back.Waiting != load.Waiting || back.version != load.version ||
			back.Open != load.Open || back.Service != load.Service || back.TrialIn != load.TrialIn || back.RetriesLeft != load.RetriesLeft || back.StopsIn != load.StopsIn || back.SinceLastResult != load.SinceLastResult {
			t.Fatalf("sent %+v, got %+v", load, back)
		}
	})
}

// Malformed input from other nodes must not crash the node.
func FuzzHop(f *testing.F) {
	f.Add("1;2;3;4;1;0;1;90;a;b;5;c")
	f.Add("1;2;3;4;5;6;7;8;9;0;0;0;1;900;20")
	f.Add("2;350")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = decodeHopMetadata(text)
		_, _ = decodeLoadReport(text)
		_, _ = decodeRefusal(text)
		decodeStateRequest(text)
	})
}
