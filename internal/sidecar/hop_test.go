package sidecar

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/registration"
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
			kind:       rapid.Uint32().Draw(t, "kind"),
			call:       rapid.Bool().Draw(t, "call"),
		}
		if rapid.Bool().Draw(t, "accounts") {
			sent.account = AccountName{InUse: true, Name: rapid.String().Draw(t, "account")}
		}
		got, err := decodeHopMetadata(sent.encode())
		if err != nil || got != sent {
			t.Fatalf("sent %+v, got %+v (%v)", sent, got, err)
		}
		load := loadReport{Load: gate.Load{
			Open: rapid.Bool().Draw(t, "open"), Running: rapid.IntRange(0, 99).Draw(t, "running"),
			Slots: rapid.IntRange(0, 99).Draw(t, "slots"), FailureProbability: float64(rapid.IntRange(0, shareScale).Draw(t, "doubt")) / shareScale,
			Service: ms("service"), Cold: rapid.Bool().Draw(t, "cold"), TrialIn: ms("trial"),
			Waiting: [gate.PriorityLevels]int{1, 2, 3, 4, 5}, CallPercent: rapid.IntRange(0, 100).Draw(t, "calls"), WorkService: ms("work"), RetriesLeft: rapid.IntRange(0, 99).Draw(t, "repeats"), StopsIn: ms("ends"), SinceLastUse: ms("quiet"),
		}, version: uint64(rapid.IntRange(0, 1e9).Draw(t, "config"))}
		if rapid.Bool().Draw(t, "rate limited") {
			load.RateInterval, load.RateTokens = ms("interval")+time.Millisecond, float64(rapid.IntRange(0, 1e6).Draw(t, "tokens"))/shareScale
		}
		back, ok := decodeLoadReport(load.encode())
		if !ok || back.Running != load.Running || back.Waiting != load.Waiting || back.CallPercent != load.CallPercent || back.WorkService != load.WorkService || back.version != load.version ||
			back.Open != load.Open || back.Service != load.Service || back.TrialIn != load.TrialIn || back.RetriesLeft != load.RetriesLeft || back.StopsIn != load.StopsIn || back.SinceLastUse != load.SinceLastUse ||
			back.RateInterval != load.RateInterval || math.Abs(back.RateTokens-load.RateTokens) > 1.0/shareScale {
			t.Fatalf("sent %+v, got %+v", load, back)
		}
	})
}

func TestIncarnationsArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := registration.Incarnation{ID: rapid.StringMatching(`[a-z0-9;-]{1,20}`).Draw(t, "id"), StartedMs: rapid.Int64().Draw(t, "started")}
		if got := decodeIncarnation(encodeIncarnation(sent)); got == nil || *got != sent {
			t.Fatalf("sent %+v, got %+v", sent, got)
		}
	})
}

// Malformed input from other nodes must not crash the node.
func FuzzHop(f *testing.F) {
	f.Add("1;2;3;4;1;0;1;90;a;b;5;c")
	f.Add("1;2;3;4;5;6;7;8;9;0;0;0;1;900;20")
	f.Add("2;350")
	f.Add("1;2;3;4;5;6;7;8;9;0;0;0;1;900;20;434;1500")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = decodeHopMetadata(text)
		_, _ = decodeLoadReport(text)
		_, _ = decodeRefusal(text)
		decodeStateRequest(text)
		decodeIncarnation(text)
	})
}
