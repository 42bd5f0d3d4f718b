//go:build review2

package cases2

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// silentWatches: all open connections to the store go silent at one moment, while new ones work. Then the manifest
// changes. Rule CONFIG.
func silentWatches(r *rig) (verdict, error) {
	const (
		host  = "hulo84.example"
		apply = 2 * time.Second
		// window is stable_window_s: the event counts as a reset of the connections of all machines.
		window = 3 * time.Second
		rounds = 9
	)
	if err := r.place("bookings", "bookings", "measures", "measures"); err != nil {
		return notRun, err
	}
	for _, m := range r.machines {
		p, err := newProxy(r.store.addr)
		if err != nil {
			return notRun, err
		}
		defer p.close()
		m.toStore = p
	}
	services := []string{"bookings", "measures"}
	manifest := func(n int) []byte {
		return r.manifest(1+2*n, host, route{
			Name: "book", Prefix: "/book/", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Service: services[n%2], Attempts: 2,
		})
	}
	r.configure(manifest(0))
	if err := r.startAll(20*time.Millisecond, 6); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/book/1"); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	results := r.load(stop, 30, func(_ int, m *machine) result { return m.send(http.MethodPost, host, "/book/2", 8*time.Second) })
	// bound holds for each manifest the time from which requests must be handled by it.
	bound := make([]time.Time, 1, rounds+1)
	for n := 1; n <= rounds; n++ {
		time.Sleep(3*time.Second + time.Duration(rand.Float64()*float64(2*time.Second)))
		silent := time.Now()
		if r.trouble {
			for _, m := range r.machines {
				r.note("%d open connections of %s to the store go silent", m.toStore.silence(), m.name)
			}
		}
		time.Sleep(900 * time.Millisecond)
		acked := r.configure(manifest(n))
		from := acked.Add(apply)
		if inTouch := silent.Add(window); r.trouble && inTouch.After(from) {
			from = inTouch
		}
		bound = append(bound, from)
		time.Sleep(time.Until(silent.Add(6 * time.Second)))
	}
	close(stop)
	sent := map[string]time.Time{}
	for _, result := range results() {
		sent[result.id] = result.sent
	}
	wrong := 0
	for _, m := range r.machines {
		for _, run := range m.server.runs() {
			at, ok := sent[run.id]
			newest := 0
			for n := range bound {
				if ok && at.After(bound[n]) {
					newest = n
				}
			}
			// A request that was sent after the bound of a manifest may be handled by that one or by a newer one.
			if !ok || run.service == services[newest%2] || newest+1 < len(bound) && at.After(bound[newest+1].Add(-window)) {
				continue
			}
			wrong++
			r.note("BROKEN: %s was sent %.3f s after the bound of r%d and run by %s", run.id, at.Sub(bound[newest]).Seconds(), 1+2*newest, run.service)
		}
	}
	r.note("%d requests, %d run by the old service", len(sent), wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
