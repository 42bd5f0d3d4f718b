package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// runOnce lets one request run and returns its ticket, still running.
func runOnce(t *testing.T, g *Gate, now time.Time) *Ticket {
	t.Helper()
	ticket, refusal, _ := g.Admit(now, Request{Idempotent: true})
	if refusal != NotRefused {
		t.Fatalf("refused: %v", refusal)
	}
	return ticket
}

// Guards against more requests than a server accepts: whatever the order of arrivals, ends and
// renewed limits, in any interval no more start than its rate admits, plus one burst.
func TestRateLimitHoldsInAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.3, 40).Draw(t, "rate")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		gate := New(start, func() {})
		gate.Open(start, slots, time.Time{}, true)
		first, _, _ := gate.Admit(start, Request{Idempotent: true})
		gate.LimitRate(start, first, perSecond)
		gate.Done(start, first, Success)

		now := start
		var running, waiting []*Ticket
		var starts []time.Time
		collectStarted := func() {
			kept := waiting[:0]
			for _, ticket := range waiting {
				select {
				case reason := <-ticket.Decision():
					if reason == NotRefused {
						starts, running = append(starts, now), append(running, ticket)
					}
				default:
					kept = append(kept, ticket)
				}
			}
			waiting = kept
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				if len(running) > 0 {
					gate.LimitRate(now, running[0], perSecond)
					gate.Done(now, running[0], Success)
					running = running[1:]
				}
			case 1:
				gate.AdmitWaiting(now)
			default:
				ticket, refusal, _ := gate.Admit(now, Request{Idempotent: true, MaxWait: 10 * time.Second})
				if refusal != NotRefused {
					break
				}
				if gate.Running(ticket) {
					starts, running = append(starts, now), append(running, ticket)
				} else {
					waiting = append(waiting, ticket)
				}
			}
			collectStarted()
		}
		burst := max(1, perSecond*DefaultRateBurst.Seconds())
		for i := range starts {
			for j := i; j < len(starts); j++ {
				admitted := perSecond*starts[j].Sub(starts[i]).Seconds() + burst
				if count := float64(j - i + 1); count > admitted+1e-3 {
					t.Fatalf("%v requests started within %v at %v a second", count, starts[j].Sub(starts[i]), perSecond)
				}
			}
		}
	})
}

// Guards against requests that wait for a slot while only the rate limit keeps them, and are not
// admitted once it no longer does.
func TestWaitingRequestsStartAsTheRateAdmitsThem(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(6)
	gate.LimitRate(start, runOnce(t, gate, start), 2)
	waiting, refusal, _ := gate.Admit(start, Request{Objective: start.Add(time.Second), MaxWait: time.Second})
	g.Expect(refusal).To(Equal(NotRefused))
	g.Expect(gate.Running(waiting)).To(BeFalse())
	wait := gate.UntilRateAdmits(start)
	g.Expect(wait).To(Equal(500 * time.Millisecond))
	gate.AdmitWaiting(start.Add(wait))
	g.Expect(waiting.Decision()).To(Receive(Equal(NotRefused)))
}

// Guards against requests that are kept until their deadline although the limit that a server has
// just named rules out that they run in time.
func TestANewLimitRefusesWaitingRequestsThatItKeepsTooLong(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(1)
	running := runOnce(t, gate, start)
	wait := func(longest time.Duration) *Ticket {
		ticket, refusal, _ := gate.Admit(start, Request{Objective: start.Add(time.Second), MaxWait: longest})
		g.Expect(refusal).To(Equal(NotRefused))
		return ticket
	}
	short, long, longer := wait(time.Second), wait(3*time.Second), wait(5*time.Second)
	gate.LimitRate(start, running, 0.5)
	g.Expect(short.Decision()).To(Receive(Equal(RateLimited)))
	g.Expect(long.Decision()).NotTo(Receive(), "it is first now")
	g.Expect(longer.Decision()).NotTo(Receive())
	_, refusal, after := gate.Admit(start, Request{Objective: start.Add(3 * time.Second), MaxWait: time.Second})
	g.Expect(refusal).To(Equal(RateLimited))
	g.Expect(after).To(Equal(6*time.Second), "two requests wait before it")
}

// Guards against a limit that is lifted by a response that was overtaken: the request of that
// response had been sent before the server named the limit.
func TestOvertakenResponsesDoNotLiftALimit(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(6)
	early, naming := runOnce(t, gate, start), runOnce(t, gate, start)
	gate.LimitRate(start.Add(time.Second), naming, 5)
	gate.LiftRate(start.Add(2*time.Second), early)
	g.Expect(gate.RateLimit()).To(BeEquivalentTo(5))
	later := runOnce(t, gate, start.Add(3*time.Second))
	gate.LiftRate(start.Add(4*time.Second), later)
	g.Expect(gate.RateLimit()).To(BeZero())
}

// Guards against a limit that outlives its server, and against one that a late response of the
// previous incarnation imposes on the next.
func TestANewIncarnationHasNoLimit(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(6)
	ticket, late := runOnce(t, gate, start), runOnce(t, gate, start)
	gate.LimitRate(start, ticket, 5)
	gate.Open(start.Add(time.Second), 6, time.Time{}, true)
	g.Expect(gate.RateLimit()).To(BeZero())
	gate.LimitRate(start.Add(2*time.Second), late, 5)
	g.Expect(gate.RateLimit()).To(BeZero())
}

// A server that accepts no requests still gets one now and then, since only its responses show that
// it accepts more.
func TestAServerThatAcceptsNothingIsTried(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(6)
	gate.LimitRate(start, runOnce(t, gate, start), 0)
	_, refusal, after := gate.Admit(start, Request{Idempotent: true})
	g.Expect(refusal).To(Equal(RateLimited))
	g.Expect(after).To(Equal(5 * time.Second))
	runOnce(t, gate, start.Add(after))
}

// Guards against a node that, after its restart, sends a server all the requests that wait for it
// before the server can name its rate again.
func TestAfterARestartTheFirstResponseDecidesTheRate(t *testing.T) {
	for name, respond := range map[string]struct {
		answer   func(g *Gate, now time.Time, ticket *Ticket)
		admitted int
	}{
		"no limit": {func(g *Gate, now time.Time, ticket *Ticket) { g.LiftRate(now, ticket) }, 6},
		"a limit":  {func(g *Gate, now time.Time, ticket *Ticket) { g.LimitRate(now, ticket, 10) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(start, func() {})
			gate.AwaitRateLimit()
			gate.Open(start, 6, time.Time{}, true)
			first := runOnce(t, gate, start)
			_, refusal, _ := gate.Admit(start, Request{Idempotent: true})
			g.Expect(refusal).To(Equal(RateLimited))
			now := start.Add(200 * time.Millisecond)
			respond.answer(gate, now, first)
			gate.Done(now, first, Success)
			now = now.Add(100 * time.Millisecond)
			admitted := 0
			for range 10 {
				if _, refusal, _ := gate.Admit(now, Request{Idempotent: true}); refusal == NotRefused {
					admitted++
				}
			}
			g.Expect(admitted).To(Equal(respond.admitted))
		})
	}
}
