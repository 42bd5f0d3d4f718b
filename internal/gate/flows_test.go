package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	callKind   = 1
	uploadKind = 2
	billKind   = 3
)

// fill admits uploads until the server runs and queues as many as it may.
func fill(gate *Gate, slots int) []*Ticket {
	var tickets []*Ticket
	for {
		upload := Request{Priority: 1, Flow: Flow{Kind: uploadKind}, Idempotent: true, Objective: start.Add(6 * time.Second), MaxWait: time.Minute}
		ticket, refusal, _ := gate.Admit(start, upload)
		if refusal != NotRefused {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

// Load: uploads that may wait for seconds fill the queue of the only healthy servers, while other
// servers' running requests call the same service and may wait for half a second. Guards against entries that
// count the uploads as ahead of a call and do not ask, and against a full queue that keeps calls
// out: half of the parents failed by that.
func TestCallsOfRunningWorkPassAQueueOfUploads(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(5)
	uploads := fill(gate, 5)
	g.Expect(uploads).To(HaveLen(5 + 5*maxQueuePerSlot))
	load := gate.Load(start)
	maxWait := MaxWaitFor(400*time.Millisecond, 1200*time.Millisecond)
	g.Expect(load.ExpectedWait(Rank(true, 1), 0, 0)).To(BeNumerically("<", maxWait))
	g.Expect(load.ExpectedWait(Rank(false, 1), 0, 0)).To(BeNumerically(">", maxWait))

	call := Request{Call: true, Flow: Flow{Kind: callKind}, Idempotent: true, Objective: start.Add(400 * time.Millisecond), MaxWait: maxWait}
	ticket, refusal, _ := gate.Admit(start, call)
	g.Expect(refusal).To(Equal(NotRefused))
	g.Expect(uploads[len(uploads)-1].Decision()).To(Receive(Equal(Busy)), "the last upload gives its place to the call")
	gate.Done(start, uploads[0], Success)
	g.Expect(ticket.Decision()).To(Receive(Equal(NotRefused)))
}

// A kind of which one request waits keeps that place, whatever more urgent work arrives.
func TestNoKindIsPushedOutOfAFullQueue(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(1)
	running, _, _ := gate.Admit(start, Request{Objective: start.Add(time.Second)})
	upload, _, _ := gate.Admit(start, Request{Priority: 40, Flow: Flow{Kind: uploadKind}, Objective: start.Add(time.Minute), MaxWait: time.Minute})
	for range 3 * maxQueuePerSlot {
		gate.Admit(start, Request{Call: true, Flow: Flow{Kind: callKind}, Objective: start.Add(time.Second), MaxWait: time.Minute})
	}
	g.Expect(upload.Decision()).NotTo(Receive())
	g.Expect(gate.Running(running)).To(BeTrue())
}

// Guards against requests that are let into the queue and wait there while calls keep passing them.
func TestTheExpectedWaitCountsCallsThatArriveMeanwhile(t *testing.T) {
	g := NewWithT(t)
	gate := newOpenGate(1)
	now := start
	for range 30 {
		call, refusal, _ := gate.Admit(now, Request{Call: true, Flow: Flow{Kind: callKind}, Objective: now.Add(time.Second)})
		g.Expect(refusal).To(Equal(NotRefused))
		now = now.Add(150 * time.Millisecond)
		gate.Done(now, call, Success)
		now = now.Add(50 * time.Millisecond)
	}
	gate.Admit(now, Request{Call: true, Objective: now.Add(time.Second)})
	load := gate.Load(now)
	g.Expect(load.CallPercent).To(BeNumerically("~", 75, 10))
	g.Expect(load.ExpectedWait(Rank(false, 1), 0, 0)).To(BeNumerically(">", 3*load.WorkService))
	g.Expect(load.ExpectedWait(Rank(true, 1), 0, 0)).To(BeNumerically("<", 200*time.Millisecond))
}

// The priority of the account goes before that of the route, which decides between equal accounts.
func TestAccountsGoBeforeRoutes(t *testing.T) {
	g := NewWithT(t)
	order := []int{CombinePriorities(0, 2), CombinePriorities(1, 0), CombinePriorities(1, 1), CombinePriorities(2, 0), CombinePriorities(7, 0)}
	for i := 1; i < len(order); i++ {
		g.Expect(order[i-1]).To(BeNumerically("<", order[i]))
		g.Expect(Rank(false, order[i-1])).To(BeNumerically("<", Rank(false, order[i])))
	}
	g.Expect(Rank(true, CombinePriorities(9, 9))).To(BeZero())
}

// Whatever arrives in whatever order, a flow that asks again whenever it has no place gets its part of floorShare of the time
// of the server, up to a few runs, and the queue keeps its bound.
func TestNoOrderOfArrivalsStarvesAFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, kinds = 2, 4
		g := New(start, func() {})
		g.Open(start, slots, time.Time{}, true)
		now := start
		took := map[uint32]time.Duration{}
		for kind := range uint32(kinds) {
			took[kind] = time.Duration(rapid.IntRange(20, 500).Draw(t, "service")) * time.Millisecond
		}
		var running []*Ticket
		var waiting []*Ticket
		victim := Request{Priority: 100, Flow: Flow{Kind: 0}, Idempotent: true, Objective: start.Add(time.Hour), MaxWait: time.Hour}
		got, total := time.Duration(0), time.Duration(0)
		admit := func(r Request) {
			if ticket, refusal, _ := g.Admit(now, r); refusal == NotRefused && g.Running(ticket) {
				running = append(running, ticket)
			} else if refusal == NotRefused {
				waiting = append(waiting, ticket)
			}
		}
		for range 400 {
			for range rapid.IntRange(1, 4).Draw(t, "arrivals") {
				kind := uint32(rapid.IntRange(1, kinds-1).Draw(t, "kind"))
				admit(Request{Call: kind == 1, Priority: int(kind), Flow: Flow{Kind: kind}, Idempotent: true, Objective: now.Add(time.Second), MaxWait: time.Hour})
			}
			if g.Load(now).Waiting[PriorityLevels-1] == 0 {
				admit(victim)
			}
			if queued := len(g.waiting); queued > maxQueuePerSlot*slots {
				t.Fatalf("%d requests wait", queued)
			}
			ended := running[0]
			running = running[1:]
			now = now.Add(took[ended.request.Flow.Kind])
			ended.started = now.Add(-took[ended.request.Flow.Kind])
			g.Done(now, ended, Success)
			total += took[ended.request.Flow.Kind]
			if ended.request.Flow.Kind == 0 {
				got += took[0]
			}
			for i := 0; i < len(waiting); i++ {
				if g.Running(waiting[i]) {
					running = append(running, waiting[i])
					waiting = append(waiting[:i], waiting[i+1:]...)
					i--
				}
			}
		}
		floor := time.Duration(floorShare/kinds*float64(total)) - 4*initialServiceTime - 4*took[0]
		if got < floor {
			t.Fatalf("a flow got %v of %v, the floor is %v", got, total, floor)
		}
	})
}
