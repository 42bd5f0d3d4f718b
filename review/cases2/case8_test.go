//go:build review2

package cases2

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// waitingAtAStop: the only server of a service leaves and another one comes some seconds later, so that requests
// for it wait at the node that took them. That node is stopped meanwhile. Rule LOST.
func waitingAtAStop(r *rig) (verdict, error) {
	const (
		host = "jepu9.example"
		// aim and limit are those of the requests "ruta" of the sheet (see claim.txt).
		aim, limit = 8 * time.Second, 50 * time.Second
		lossSlack  = 200 * time.Millisecond
		grace      = 6 * time.Second
		// noticed is the time from the acknowledged notice to the end of the server, and replaced that from its end
		// to the start of the next one.
		noticed, replaced = 2 * time.Second, 4 * time.Second
		work              = 50 * time.Millisecond
	)
	if err := r.place("bookings", "bookings", "reparto", "bookings", "bookings", "bookings", "bookings", "bookings", "reparto"); err != nil {
		return notRun, err
	}
	entry, old, next := r.machines[0], r.machines[2], r.machines[8]
	r.machines = r.machines[:8]
	r.configure(r.manifest(1, host,
		route{Name: "book", Prefix: "/book/", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Service: "bookings", Attempts: 2},
		route{Name: "ruta", Prefix: "/ruta/", Type: "safe", TimeoutS: limit.Seconds(), TargetS: aim.Seconds(), Priority: 2, Service: "reparto", Attempts: 2}))
	if err := r.startAll(work, 7); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/book/1", "/ruta/1"); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)

	acked := old.drainServer()
	// The platform asks the node for its readiness once a second. Clients send to it until two questions in a row
	// fail, for five seconds at most.
	readiness := make(chan bool, 1)
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for misses := 0; misses < 2 && time.Since(acked) < 5*time.Second; {
			ready := entry.ready()
			select {
			case readiness <- ready:
			default:
			}
			if misses++; ready {
				misses = 0
			} else {
				r.note("%s is not ready", entry.name)
			}
			if misses < 2 {
				time.Sleep(time.Second)
			}
		}
	}()
	if !<-readiness {
		return notRun, errSetup
	}
	stopped := time.Now()
	if r.trouble {
		r.note("SIGTERM to %s", entry.name)
		if err := entry.process.Process.Signal(syscall.SIGTERM); err != nil {
			return notRun, err
		}
	}
	replacing := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(acked.Add(noticed)))
		old.removeServer()
		time.Sleep(replaced)
		r.machines = append(r.machines, next)
		err := next.startServer(work, 7)
		if err == nil {
			err = next.start(false)
		}
		replacing <- err
	}()
	var mu sync.Mutex
	var results []result
	var group sync.WaitGroup
	for sending := true; sending; {
		select {
		case <-accepting:
			sending = false
		case <-time.After(100 * time.Millisecond):
			group.Go(func() {
				result := entry.send(http.MethodGet, host, "/ruta/2", limit)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, result)
			})
		}
	}
	group.Wait()
	if err := <-replacing; err != nil {
		return notRun, err
	}
	cut := 0
	for _, result := range results {
		if result.complete() {
			continue
		}
		waited := result.ended.Sub(result.sent)
		if r.trouble && result.sent.After(stopped) && result.ended.Before(stopped.Add(grace+time.Second)) && waited > lossSlack {
			cut++
			r.note("BROKEN: %s was sent %.3f s after the SIGTERM; its connection ended %.3f s later without an answer", result.id,
				result.sent.Sub(stopped).Seconds(), waited.Seconds())
		}
	}
	r.note("%d requests, %d cut off without an answer", len(results), cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
