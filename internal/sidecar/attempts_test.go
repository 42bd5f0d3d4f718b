package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against new requests that wait in a full service until their objective has passed and then
// take the room of those that could be in time. A call is better late than refused: a parent waits for it.
func TestOnlyCallsWaitBeyondTheirObjective(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	x := &exchange{started: now, objective: now.Add(-time.Second), deadline: now.Add(10 * time.Second)}
	g.Expect(x.maxWait(now)).To(BeZero())
	x.mayBeCall = true
	g.Expect(x.maxWait(now)).To(Equal(time.Second))
	x.mayBeCall, x.objective = false, now.Add(2*time.Second)
	g.Expect(x.maxWait(now)).To(Equal(1200 * time.Millisecond))
}
