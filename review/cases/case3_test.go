//go:build review

// Case 3: a server leaves while the store is down, and the node beside it is restarted before the
// store is back. A check-in of the server from before its leave arrives late.

package cases

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/platform/standin"
)

// drain is the bound drain_s of the settings.
const drain = 2 * time.Second

func runCase3() {
	r := New(Options{
		Services: []string{"bookings", "measures", "bookings", "measures"},
		Routes: []Route{
			{Prefix: "/book/", Name: "r-1", Service: "bookings", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, MaxAttempts: 2, Priority: 1},
			{Prefix: "/measure/", Name: "r-2", Service: "measures", Type: "safe", TimeoutS: 10, TargetS: 2, MaxAttempts: 2, Priority: 2},
		},
	})
	for _, machine := range r.Machines {
		machine.Server.Work = 680 * time.Millisecond // work ms of measure-lookup
	}
	m := r.Machines[1]
	if r.Trouble {
		r.Store.SetMode(standin.Refuse)
		r.Note("the store answers 503 to all calls")
	}
	time.Sleep(time.Second)

	// The server leaves in the way of those that never report draining: it deregisters, serves on
	// and sends no more check-ins. Its last check-in, sent before, is under way.
	late := m.Beat()
	m.Server.SetState("ready", true)
	r.Note("check-in of %s with sequence %v is sent", m.Server.ID, late["sequence"])
	status := m.Call("instances.deregister", m.Server.ID, map[string]any{"born": late["born"]})
	acked := time.Now()
	r.Note("deregistration of %s: %d", m.Server.ID, status)
	if status != 200 {
		r.Fail("the leave was not acknowledged")
	}
	m.Server.Leaving()

	// The planned restart of the node.
	time.Sleep(500 * time.Millisecond)
	m.Signal(syscall.SIGTERM)
	if !m.AwaitEnd(7 * time.Second) {
		m.Signal(syscall.SIGKILL)
		m.AwaitEnd(time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	m.Start(false)
	time.Sleep(time.Second)
	r.Note("late check-in of %s with sequence %v arrives: %d", m.Server.ID, late["sequence"], m.Call("instances.heartbeat", m.Server.ID, late))

	time.Sleep(time.Second)
	r.Store.SetMode(standin.Serve)
	r.Note("the store serves, %.1f s after the leave", time.Since(acked).Seconds())
	if !m.AwaitReady(10 * time.Second) {
		r.Fail("the node is not ready")
	}
	// The machine is in touch 3 s (stable_window_s) after the start of its process and the store's return.
	time.Sleep(3500 * time.Millisecond)

	var clients sync.WaitGroup
	for c, from := range r.Machines {
		clients.Go(func() {
			for i := range 6 {
				id := fmt.Sprintf("q-%d-%d", c, i)
				a := from.Send("GET", "/measure/child", id, nil, 10*time.Second)
				r.Note("client %s at %s: status %d in %v, error %v", id, from.Name, a.Status, a.Took.Round(time.Millisecond), a.Err)
			}
		})
	}
	clients.Wait()
	broken := 0
	for _, run := range m.Server.Runs() {
		if after := run.At.Sub(acked); after > drain {
			r.Note("DRAIN: request %s reached %s %.1f s after its leave was acknowledged", run.ID, m.Server.ID, after.Seconds())
			broken++
		}
	}
	r.End(broken > 0, "%d requests reached a server that had left", broken)
}
