//go:build review2

package cases2

import (
	"net/http"
	"sync/atomic"
	"time"
)

// unsignedAnswers: half of the servers of a service hand out wrong bytes in some answers, so that the header
// with the signature is not there. Rule MIXED.
func unsignedAnswers(r *rig) (verdict, error) {
	const (
		host     = "jepu9.example"
		spoilFor = 5 * time.Second
		// spoilEach is the number of answers of which one is spoiled: x = 0.02.
		spoilEach = 50
	)
	if err := r.place("bookings", "bookings", "bookings", "bookings", "measures", "measures"); err != nil {
		return notRun, err
	}
	r.configure(r.manifest(1, host,
		route{Name: "book", Prefix: "/book/", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Service: "bookings", Attempts: 2},
		route{Name: "look", Prefix: "/look/", Type: "safe", TimeoutS: 10, TargetS: 2, Priority: 2, Service: "bookings", Attempts: 2}))
	if err := r.startAll(50*time.Millisecond, 6); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/look/1"); err != nil {
		return notRun, err
	}
	var spoiling atomic.Bool
	var spoiled atomic.Int64
	for _, m := range r.machines[:2] {
		m.server.spoil = func(n int, header http.Header) {
			if spoiling.Load() && n%spoilEach == 0 {
				spoiled.Add(1)
				r.note("server %s spoils its answer to %s", m.server.id, header.Get("Request-Id"))
				value := header.Get("Response-Signature")
				header.Del("Response-Signature")
				header.Set("Respo~se-Signature", value)
			}
		}
	}
	stop := make(chan struct{})
	results := r.load(stop, 100, func(n int, m *machine) result {
		if n%3 == 0 {
			return m.send(http.MethodGet, host, "/look/2", 10*time.Second)
		}
		return m.send(http.MethodPost, host, "/book/2", 8*time.Second)
	})
	time.Sleep(3 * time.Second)
	spoiling.Store(r.trouble)
	time.Sleep(spoilFor)
	spoiling.Store(false)
	time.Sleep(time.Second)
	close(stop)
	answered, unsigned := 0, 0
	for _, result := range results() {
		if !result.complete() || result.status/100 != 2 {
			continue
		}
		answered++
		if result.header.Get("Response-Signature") == "" {
			unsigned++
			r.note("BROKEN: %s got %d without a signature", result.id, result.status)
		}
	}
	r.note("%d successes, %d spoiled answers of servers, %d successes without a signature", answered, spoiled.Load(), unsigned)
	if unsigned > 0 {
		return broken, nil
	}
	return held, nil
}
