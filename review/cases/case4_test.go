//go:build review

// Case 4: a server goes down and up by turns while the clock of its machine steps ahead and back.
// Later it drains.

package cases

import (
	"fmt"
	"sync"
	"time"
)

const (
	// stepAhead and stepFor are the clock step; period is that of the flapping server.
	stepAhead = 2 * time.Second
	stepFor   = 5 * time.Second
	period    = 950 * time.Millisecond
	flaps     = 6
)

func runCase4() {
	r := New(Options{
		// One of seven servers flaps: share = 0.143.
		Services: []string{"measures", "measures", "measures", "measures", "measures", "measures", "measures"},
		Routes: []Route{
			{Prefix: "/measure/", Name: "r-2", Service: "measures", Type: "safe", TimeoutS: 10, TargetS: 2, MaxAttempts: 2, Priority: 2},
		},
	})
	for _, machine := range r.Machines {
		machine.Server.Work = 680 * time.Millisecond // work ms of measure-lookup
	}
	m := r.Machines[1]
	s := m.Server
	stepped := time.Now()
	ahead := func() time.Duration {
		if r.Trouble && time.Since(stepped) < stepFor {
			return stepAhead
		}
		return 0
	}
	for range flaps {
		s.Crash()
		time.Sleep(period / 2)
		s.Restart(ahead())
		r.Note("check-in of %s: %d", s.ID, m.Call("instances.heartbeat", s.ID, m.Beat()))
		time.Sleep(period / 2)
	}

	// All is calm for a while; the server is in use.
	time.Sleep(6 * time.Second)
	a := m.Send("GET", "/measure/child", "q-before", nil, 10*time.Second)
	r.Note("client q-before at %s: status %d in %v, error %v", m.Name, a.Status, a.Took.Round(time.Millisecond), a.Err)

	s.SetState("draining", false)
	status := m.Call("instances.heartbeat", s.ID, m.Beat())
	acked := time.Now()
	r.Note("check-in of %s with state draining: %d", s.ID, status)
	if status != 200 {
		r.Fail("draining was not acknowledged")
	}
	s.Leaving()
	time.Sleep(drain + time.Second)
	var clients sync.WaitGroup
	for c, from := range r.Machines {
		clients.Go(func() {
			for i := range 10 {
				id := fmt.Sprintf("q-%d-%d", c, i)
				a := from.Send("GET", "/measure/child", id, nil, 10*time.Second)
				r.Note("client %s at %s: status %d in %v, error %v", id, from.Name, a.Status, a.Took.Round(time.Millisecond), a.Err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	broken := 0
	for _, run := range s.Runs() {
		if after := run.At.Sub(acked); after > drain {
			r.Note("DRAIN: request %s reached %s %.1f s after draining was acknowledged", run.ID, s.ID, after.Seconds())
			broken++
		}
	}
	r.End(broken > 0, "%d requests reached a server later than drain_s after its draining was acknowledged", broken)
}
