package origin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	call   = 1
	caller = 2
	both   = 3
)

// simulate alternates between a second of work, with calls each 100 ms, and a second without; callers
// send each 400 ms all the time. It returns the last estimates of the busy server.
func simulate(c *Classifier, seconds int) map[uint32]Estimate {
	estimates := map[uint32]Estimate{}
	for ms := 0; ms < 1000*seconds; ms += 100 {
		now := start.Add(startTime + time.Duration(ms)*time.Millisecond)
		busy := ms/1000%2 == 0
		if ms%1000 == 0 {
			c.SetRunning(now, busy)
		}
		if busy && ms%1000 > 0 {
			estimates[call] = c.Observe(now, call)
			estimates[both] = c.Observe(now, both)
		}
		if ms%400 == 0 {
			kinds := []uint32{caller, both}
			for _, kind := range kinds {
				if e := c.Observe(now, kind); busy {
					estimates[kind] = e
				}
			}
		}
	}
	return estimates
}

// Guards against callers' requests being charged as calls of repeated runs, which used up the retry
// budget while a service shed requests, and against calls that are not charged.
func TestCallsAreToldFromRequestsOfCallers(t *testing.T) {
	g := NewWithT(t)
	estimates := simulate(New(start), 20)
	g.Expect(estimates[call]).To(Equal(Estimate{CallProbability: 1, Call: true}))
	g.Expect(estimates[caller].Call).To(BeFalse())
	g.Expect(estimates[caller].CallProbability).To(BeNumerically("<", 0.3))
	g.Expect(estimates[both].Call).To(BeFalse())
	g.Expect(estimates[both].CallProbability).To(BeNumerically(">", 0.6), "calls are nine in twelve")
}

// A server that is never idle shows nothing: its budget is charged, but no request gets the rank of a
// call.
func TestWithoutIdleTimeNothingIsProven(t *testing.T) {
	g := NewWithT(t)
	c := New(start)
	c.SetRunning(start, true)
	for i := range 1000 {
		g.Expect(c.Observe(start.Add(time.Duration(i)*50*time.Millisecond), caller)).To(Equal(Estimate{CallProbability: 1}))
	}
}

// An earlier process of the node may have left requests at the server, which go on making calls.
func TestCallsRightAfterTheStartProveNothing(t *testing.T) {
	g := NewWithT(t)
	c := New(start)
	for i := range 20 {
		g.Expect(c.Observe(start.Add(time.Duration(i)*200*time.Millisecond), call).CallProbability).To(Equal(1.0))
	}
}

// Whatever the server runs and when, its calls are charged in full.
func TestCallsAreAlwaysCharged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(start)
		now, running := start.Add(startTime), false
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "change") {
				running = !running
				c.SetRunning(now, running)
			} else if running {
				if e := c.Observe(now, call); e.CallProbability < 1 {
					t.Fatalf("a call has the estimate %+v", e)
				}
			}
		}
	})
}

// An entry classifies each request, so the cost must not grow with the number of kinds.
func BenchmarkObserve(b *testing.B) {
	c := New(start)
	for kind := range uint32(maxKinds) {
		c.Observe(start, kind)
	}
	now := start.Add(startTime)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.SetRunning(now, i%2 == 0)
		c.Observe(now, uint32(i%maxKinds))
	}
}
