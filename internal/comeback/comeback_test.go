package comeback

import (
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// served returns the share of callers that are answered within their objective if they return after
// the delays of next, up to three times. Servers refuse with the share shed until the end of the
// episode, which is exponentially distributed.
func served(shed float64, episode time.Duration, next func(Refused, func() float64) time.Duration) float64 {
	const callers, objective, deadline, service = 20000, 2 * time.Second, 4 * time.Second, 300 * time.Millisecond
	random := rand.New(rand.NewSource(1))
	answered := 0
	for range callers {
		ends := time.Duration(random.ExpFloat64() * float64(episode))
		at := time.Duration(0)
		for range 1 + expectedReturns {
			if (at >= ends || random.Float64() >= shed) && at+service <= objective {
				answered++
				break
			}
			at += next(Refused{Objective: objective - at, Remaining: deadline - at, Service: service}, random.Float64)
		}
	}
	return float64(answered) / callers
}

// Load: every server of a service refuses half of its arrivals for some seconds, with room free.
// Guards against delays that use up the returns of a caller early in the episode, and against delays
// beyond the objective.
func TestReturnsAreSpreadOverTheObjective(t *testing.T) {
	g := NewWithT(t)
	constant := func(d time.Duration) func(Refused, func() float64) time.Duration {
		return func(Refused, func() float64) time.Duration { return d }
	}
	for _, shed := range []float64{0.55, 0.9} {
		for _, episode := range []time.Duration{time.Second, 4 * time.Second} {
			ours := served(shed, episode, Delay)
			for _, other := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
				g.Expect(ours).To(BeNumerically(">=", served(shed, episode, constant(other))-0.02), "shed %v, episode %v, against %v", shed, episode, other)
			}
			g.Expect(ours).To(BeNumerically(">", served(shed, episode, constant(2*time.Second))))
		}
	}
}

// In a full service no caller is told to return before room is expected, unless it would not wait
// that long, and callers that are refused together do not return together.
func TestDelaysInAFullService(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewSource(1))
	r := Refused{Objective: 2 * time.Second, Remaining: 12 * time.Second, Service: 300 * time.Millisecond, Room: time.Second}
	var earliest, latest time.Duration = time.Hour, 0
	for range 100 {
		d := Delay(r, random.Float64)
		earliest, latest = min(earliest, d), max(latest, d)
	}
	g.Expect(earliest).To(BeNumerically(">=", r.Room))
	g.Expect(latest - earliest).To(BeNumerically(">", 400*time.Millisecond))
}

// Every delay is one that the caller honours, or none if no return helps.
func TestDelaysAreHonoured(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low int) time.Duration {
			return time.Duration(rapid.IntRange(low, 30000).Draw(t, name)) * time.Millisecond
		}
		r := Refused{Objective: ms("objective", -5000), Remaining: ms("remaining", -5000), Service: ms("service", 0), Room: ms("room", 0)}
		d := Delay(r, func() float64 { return rapid.Float64Range(0, 1).Draw(t, "random") })
		if d != 0 && (d < minDelay || d > maxDelay || 3*d > r.Remaining+time.Millisecond) {
			t.Fatalf("%+v is told to return after %v", r, d)
		}
	})
}
