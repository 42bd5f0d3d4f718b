//go:build review2

package cases2

import (
	"net/http"
	"syscall"
	"time"
)

// leftAfterARestart: a node is stopped and started again. Right after that, its server leaves without a check-in that
// says so: it deregisters. A check-in that it sent before arrives some seconds late. Rule DRAIN.
func leftAfterARestart(r *rig) (verdict, error) {
	const (
		host  = "hulo84.example"
		drain = 2 * time.Second
		// late is how late the check-in is, and stays how long the server serves after its departure was
		// acknowledged.
		late, stays = 3500 * time.Millisecond, 8 * time.Second
	)
	if err := r.place("bookings", "bookings", "bookings", "measures", "bookings", "bookings", "bookings", "measures"); err != nil {
		return notRun, err
	}
	r.configure(r.manifest(1, host,
		route{Name: "book", Prefix: "/book/", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Service: "bookings", Attempts: 2},
		route{Name: "look", Prefix: "/look/", Type: "safe", TimeoutS: 10, TargetS: 2, Priority: 2, Service: "bookings", Attempts: 2}))
	if err := r.startAll(520*time.Millisecond, 6); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/book/1"); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	// Clients send to the nodes that aren't stopped.
	others := &rig{machines: r.machines[1:]}
	results := others.load(stop, 40, func(n int, m *machine) result {
		if n%2 == 0 {
			return m.send(http.MethodGet, host, "/look/2", 10*time.Second)
		}
		return m.send(http.MethodPost, host, "/book/2", 8*time.Second)
	})
	time.Sleep(4 * time.Second)
	leaving := r.machines[0]
	s := leaving.server
	if r.trouble {
		r.note("SIGTERM to %s", leaving.name)
		if err := leaving.process.Process.Signal(syscall.SIGTERM); err != nil {
			return notRun, err
		}
		<-leaving.ended
		time.Sleep(500 * time.Millisecond)
		if err := leaving.start(false); err != nil {
			return notRun, err
		}
		r.note("%s is started again", leaving.name)
		for !leaving.ready() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.stopReports()
	s.mu.Lock()
	id, delayed := s.id, s.checkIn()
	// From now on the server says in its answers that it leaves.
	s.state = "leaving"
	s.mu.Unlock()
	for !postCall(leaving.addr(portControl), "instances.deregister", id, "") {
		time.Sleep(200 * time.Millisecond)
	}
	acked := time.Now()
	r.note("departure of %s acknowledged", id)
	time.Sleep(late)
	r.note("late check-in of %s: %s acknowledged=%v", id, delayed, postCall(leaving.addr(portControl), "instances.heartbeat", id, delayed))
	time.Sleep(stays - late)
	leaving.removeServer()
	close(stop)
	answered := len(results())
	wrong := 0
	for _, run := range s.runs() {
		if after := run.at.Sub(acked); after > drain {
			wrong++
			r.note("BROKEN: %s reached %s %.3f s after the acknowledgement of its departure", run.id, run.server, after.Seconds())
		}
	}
	r.note("%d requests, %d reached the server later than drain_s after the acknowledgement", answered, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
