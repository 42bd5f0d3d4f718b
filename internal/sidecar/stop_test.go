package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against cutting off requests on a stopping node whose callers have not noticed the stop.
// A request that gets a server late would run into the stop limit. It is refused instead, because
// it can still be sent to another node.
func TestStoppingNodeRefusesRunsThatWouldBeCutOff(t *testing.T) {
	g := NewWithT(t)
	fits := func(remaining, service time.Duration) bool {
		x := &exchange{view: &View{StopAt: time.Now().Add(remaining)}}
		return x.finishesBeforeStop(service)
	}
	g.Expect(fits(5700*time.Millisecond, 1300*time.Millisecond)).To(BeTrue())
	g.Expect(fits(2490*time.Millisecond, 900*time.Millisecond)).To(BeFalse(), "the time left is less than serviceTimeFactor times the mean")
	g.Expect(fits(200*time.Millisecond, 20*time.Millisecond)).To(BeTrue(), "short calls of the local server are accepted")
	g.Expect((&exchange{view: &View{}}).finishesBeforeStop(time.Hour)).To(BeTrue(), "a node that is not stopping")
}

// Guards against a request that waits so long in the queue of a host that its run outlasts the node on
// which it began (KNOWN-RED entry on two overlapping stops).
func TestWaitInAQueueLeavesTimeToRunBeforeTheStop(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := &exchange{view: &View{StopAt: now.Add(5 * time.Second)}}
	g.Expect(x.queueTimeBeforeStop(now, 700*time.Millisecond)).To(Equal(2900 * time.Millisecond))
	g.Expect(x.queueTimeBeforeStop(now, 2*time.Second)).To(BeZero())
	x.view = &View{}
	g.Expect(x.queueTimeBeforeStop(now, time.Hour)).To(BeNumerically(">", time.Hour))
}
