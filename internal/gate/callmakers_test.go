package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: lookups make calls, confirmations do not, and both run at once most of the time. Guards against retries of
// lookups whose calls break the budget of the called service, and against keeping back the
// retries of confirmations for that.
func TestKindsThatMakeCallsAreLearned(t *testing.T) {
	g := NewWithT(t)
	const lookup, confirmation = 1, 2
	gate := newOpenGate(4)
	g.Expect(gate.MayMakeCalls(lookup)).To(BeTrue(), "nothing is known yet")
	g.Expect(gate.MayMakeCalls(confirmation)).To(BeTrue(), "nothing is known yet")
	now := start
	for range 10 {
		var tickets []*Ticket
		for _, kind := range []uint32{confirmation, lookup} {
			ticket, refusal, _ := gate.Admit(now, Request{Flow: Flow{Kind: kind}, Idempotent: true})
			g.Expect(refusal).To(Equal(NotRefused))
			tickets = append(tickets, ticket)
			now = now.Add(50 * time.Millisecond)
		}
		gate.CallMade(now)
		gate.Done(now, tickets[0], Success)
		now = now.Add(20 * time.Millisecond)
		gate.CallMade(now)
		gate.Done(now, tickets[1], Success)
	}
	g.Expect(gate.MayMakeCalls(lookup)).To(BeTrue())
	g.Expect(gate.MayMakeCalls(confirmation)).To(BeFalse())
}
