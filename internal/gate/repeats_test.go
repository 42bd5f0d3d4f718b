package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// In every window, the servers of a service together keep the bound of the
// users' platform on repeats, without messages between their nodes. That bound
// counts the requests of the window, of the one before it or of the one half a
// window before, whichever has most; gates use a part of it, as the sidecar does,
// because their requests leave the window before their repeats.
func TestServersShareTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, margin = 10 * time.Second, 0.85
		const ratio, allowance = 0.2, 12.0
		servers := rapid.IntRange(1, 5).Draw(t, "servers")
		gates := make([]*Gate, servers)
		for i := range gates {
			gates[i] = newOpen(1000)
			gates[i].SetRetryBudget(RetryBudget{Ratio: margin * ratio, Allowance: margin * allowance / float64(servers), Window: length})
		}
		now := start.Add(length)
		var requests, repeats []time.Time
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
					repeats = append(repeats, now)
				}
			}
			counted := 0
			for _, back := range []time.Duration{0, length / 2, length} {
				counted = max(counted, between(requests, now.Add(-back-length), now.Add(-back)))
			}
			if used := between(repeats, now.Add(-length), now); float64(used) > ratio*float64(counted)+allowance {
				t.Fatalf("%d repeats beyond %d requests", used, counted)
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

// The pattern: a service in which half of the runs fail for seconds, called from
// many nodes of which each has a request a second. A budget that each caller
// keeps for itself leaves most of the allowance unused; one kept by the servers
// is to give out at least nine tenths of what the bound allows them.
func TestARetryBudgetIsUsedWhereRepeatsAreNeeded(t *testing.T) {
	g := NewWithT(t)
	const servers, requests = 6, 240
	const ratio, allowance = 0.2, 60.0
	terms := RetryBudget{Ratio: ratio, Allowance: allowance / servers, Window: 10 * time.Second}
	var gates []*Gate
	for range servers {
		gate := newOpen(100)
		gate.SetRetryBudget(terms)
		gates = append(gates, gate)
	}
	now := start.Add(terms.Window)
	used := 0
	for i := range requests {
		now = now.Add(terms.Window / requests)
		gates[i%servers].Admit(now, Request{Idempotent: true, FirstAttempt: true})
		// Entries send a repeat to a server that has some left.
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

// An earlier process may have spent the allowance just before.
func TestANewProcessStartsWithoutAnAllowance(t *testing.T) {
	g := NewWithT(t)
	gate := newOpen(6)
	gate.SetRetryBudget(RetryBudget{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second})
	_, refusal, _ := gate.Admit(start, Request{Idempotent: true, Retry: true})
	g.Expect(refusal).To(Equal(RetryBudgetExhausted))
	g.Expect(gate.Load(start.Add(5 * time.Second)).RetriesLeft).To(Equal(5))
	g.Expect(gate.Load(start.Add(time.Minute)).RetriesLeft).To(Equal(10))
}

// The pattern: all processes of a fleet end at once and start again while a third of
// the servers fails most of its work. Each of these servers fails a lookup or more
// before its new node knows, and lookups that cannot be repeated fail the bookings that
// made them. A service of eight servers with an allowance of 60 is to have a repeat for
// two failures of each failing server at once, and at most what its earlier processes
// leave of the allowance.
func TestANewProcessHasSomeRepeatsAtOnce(t *testing.T) {
	g := NewWithT(t)
	const servers, allowance, used = 8, 60.0, 0.7
	repeats := 0
	for range servers {
		gate := newOpen(6)
		gate.SetRetryBudget(RetryBudget{Allowance: used * allowance / servers, Initial: (1 - used) * allowance / servers, Window: 10 * time.Second})
		repeats += gate.Load(start).RetriesLeft
		g.Expect(gate.Load(start.Add(20 * time.Second)).RetriesLeft).To(Equal(5))
	}
	g.Expect(repeats).To(BeNumerically(">=", 2*servers/3.0))
	g.Expect(float64(repeats)).To(BeNumerically("<=", (1-used)*allowance))
}

// The calls of a run that is a repeat are repeats at the services that it calls.
func TestCallsOfRepeatsCount(t *testing.T) {
	g := NewWithT(t)
	caller, called := newOpen(6), newOpen(6)
	for _, gate := range []*Gate{caller, called} {
		gate.SetRetryBudget(RetryBudget{Allowance: 10, Window: 10 * time.Second})
	}
	now := start.Add(10 * time.Second)
	g.Expect(caller.RetryShare()).To(BeZero())
	caller.Admit(now, Request{Idempotent: true, FirstAttempt: true})
	repeat, _, _ := caller.Admit(now, Request{Idempotent: true, Retry: true})
	g.Expect(caller.RetryShare()).To(Equal(0.5))
	for range 4 {
		called.Admit(now, Request{Idempotent: true, FirstAttempt: true, RetryShare: caller.RetryShare()})
	}
	g.Expect(called.Load(now).RetriesLeft).To(Equal(8))
	caller.Done(now, repeat, Success)
	g.Expect(caller.RetryShare()).To(BeZero())
}
