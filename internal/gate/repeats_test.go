package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// In every window, the servers of a service together keep the platform's bound on retries, without
// messages between their nodes. The bound counts the requests of the window, of the one before it
// or of the one half a window before, whichever has most. Gates use a part of the bound, as the
// sidecar does, because their requests leave the window before their retries.
func TestServersTogetherKeepTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, margin = 10 * time.Second, 0.85
		const ratio, allowance = 0.2, 12.0
		servers := rapid.IntRange(1, 5).Draw(t, "servers")
		gates := make([]*Gate, servers)
		for i := range gates {
			gates[i] = newOpenGate(1000)
			gates[i].SetRetryBudget(RetryBudget{Ratio: margin * ratio, Allowance: margin * allowance / float64(servers), Window: window})
		}
		now := start.Add(window)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			g := gates[rapid.IntRange(0, servers-1).Draw(t, "server")]
			first := rapid.IntRange(0, 3).Draw(t, "kind") > 0
			ticket, refusal, _ := g.Admit(now, Request{Idempotent: true, FirstAttempt: first, Retry: !first})
			if first {
				requests = append(requests, now)
			}
			if refusal == NotRefused {
				g.Done(now, ticket, Success)
				if !first {
					retries = append(retries, now)
				}
			}
			counted := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				counted = max(counted, between(requests, now.Add(-back-window), now.Add(-back)))
			}
			if used := between(retries, now.Add(-window), now); float64(used) > ratio*float64(counted)+allowance {
				t.Fatalf("%d retries for %d requests exceed the bound", used, counted)
			}
		}
	})
}

// between counts the times in (from, to].
func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Half of the requests to a service fail for some seconds, and each of its many callers sends one
// request a second. A budget kept by each caller leaves most of the allowance unused; a budget kept
// by the servers must give out at least nine tenths of what the bound allows.
func TestTheRetryBudgetIsUsedAlmostFully(t *testing.T) {
	g := NewWithT(t)
	const servers, requests = 6, 240
	const ratio, allowance = 0.2, 60.0
	budget := RetryBudget{Ratio: ratio, Allowance: allowance / servers, Window: 10 * time.Second}
	var gates []*Gate
	for range servers {
		gate := newOpenGate(100)
		gate.SetRetryBudget(budget)
		gates = append(gates, gate)
	}
	now := start.Add(budget.Window)
	used := 0
	for i := range requests {
		now = now.Add(budget.Window / requests)
		gates[i%servers].Admit(now, Request{Idempotent: true, FirstAttempt: true})
		// Entries send a retry to a server that has some left.
		for _, gate := range gates {
			if gate.Load(now).RetriesLeft > 0 && i%2 == 0 {
				if _, refusal, _ := gate.Admit(now, Request{Idempotent: true, Retry: true}); refusal == NotRefused {
					used++
				}
				break
			}
		}
	}
	g.Expect(used).To(BeNumerically(">=", 0.9*(ratio*requests+allowance)))
}

// An earlier process may have used up the allowance just before.
func TestANewProcessStartsWithoutAnAllowance(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(6)
	gate.SetRetryBudget(RetryBudget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second})
	_, refusal, _ := gate.Admit(start, Request{Idempotent: true, Retry: true})
	g.Expect(refusal).To(Equal(RetryBudgetExhausted))
	g.Expect(gate.Load(start.Add(5 * time.Second)).RetriesLeft).To(Equal(5))
	g.Expect(gate.Load(start.Add(time.Minute)).RetriesLeft).To(Equal(10))
}

// All processes of a fleet restart at once while a third of the servers fail most of their
// requests. Each of these servers fails one or more lookups before its new node notices, and a
// lookup that cannot be retried fails the booking that made it. The servers of a service of eight
// with an allowance of 60 must together have two retries for each failing server at once, but no
// more than what earlier processes leave of the allowance.
func TestANewProcessHasSomeRetriesAtOnce(t *testing.T) {
	g := NewWithT(t)
	const servers, allowance, used = 8, 60.0, 0.7
	retries := 0
	for range servers {
		gate := newOpenGate(6)
		gate.SetRetryBudget(RetryBudget{Allowance: used * allowance / servers, Initial: (1 - used) * allowance / servers, Window: 10 * time.Second})
		retries += gate.Load(start).RetriesLeft
		g.Expect(gate.Load(start.Add(20 * time.Second)).RetriesLeft).To(Equal(5))
	}
	g.Expect(retries).To(BeNumerically(">=", 2*servers/3.0))
	g.Expect(float64(retries)).To(BeNumerically("<=", (1-used)*allowance))
}

// The calls that a server makes for a retry count as retries at the services that it calls.
func TestCallsOfRetriesCountAsRetries(t *testing.T) {
	g := NewWithT(t)
	caller, called := newOpenGate(6), newOpenGate(6)
	for _, gate := range []*Gate{caller, called} {
		gate.SetRetryBudget(RetryBudget{Allowance: 10, Window: 10 * time.Second})
	}
	now := start.Add(10 * time.Second)
	g.Expect(caller.RetryShare()).To(BeZero())
	caller.Admit(now, Request{Idempotent: true, FirstAttempt: true})
	retry, _, _ := caller.Admit(now, Request{Idempotent: true, Retry: true})
	g.Expect(caller.RetryShare()).To(Equal(0.5))
	for range 4 {
		called.Admit(now, Request{Idempotent: true, FirstAttempt: true, RetryShare: caller.RetryShare()})
	}
	g.Expect(called.Load(now).RetriesLeft).To(Equal(8))
	caller.Done(now, retry, Success)
	g.Expect(caller.RetryShare()).To(BeZero())
}

// Load: a server runs many requests that make no calls and are not repeated, and a few lookups, half of
// which are repeats and make all its calls. Guards against the share of repeats among all running
// requests, which charged a seventh of these calls instead of half and broke the bound at the
// service that they call.
func TestCallsAreChargedByTheKindsThatAreRetried(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(8)
	gate.SetRetryBudget(RetryBudget{Allowance: 10, Window: 10 * time.Second})
	now := start.Add(10 * time.Second)
	for range 5 {
		gate.Admit(now, Request{Flow: Flow{Kind: 1}, FirstAttempt: true})
	}
	lookup := Request{Flow: Flow{Kind: 2}, Idempotent: true, FirstAttempt: true}
	first, _, _ := gate.Admit(now, lookup)
	g.Expect(gate.RetryShare()).To(BeZero())
	lookup.FirstAttempt, lookup.Retry = false, true
	gate.Admit(now, lookup)
	g.Expect(gate.RetryShare()).To(Equal(0.5))
	gate.Done(now, first, Success)
	g.Expect(gate.RetryShare()).To(Equal(1.0))
}
