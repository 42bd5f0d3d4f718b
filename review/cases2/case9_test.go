//go:build review2

package cases2

import (
	"net/http"
	"time"
)

// rowOfAnotherPart: the operator keeps a manifest that is not released yet in a part of its own, under the key of
// the released one. Rule ROUTE.
func rowOfAnotherPart(r *rig) (verdict, error) {
	const host = "hulo84.example"
	if err := r.place("bookings", "bookings", "bookings", "measures", "measures"); err != nil {
		return notRun, err
	}
	book := func(service string) route {
		return route{Name: "book", Prefix: "/book/", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Service: service, Attempts: 2}
	}
	r.configure(r.manifest(3, host, book("bookings")))
	if err := r.startAll(50*time.Millisecond, 6); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/book/1"); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	results := r.load(stop, 40, func(_ int, m *machine) result { return m.send(http.MethodPost, host, "/book/2", 8*time.Second) })
	time.Sleep(4 * time.Second)
	if r.trouble {
		draft := r.manifest(5, host, book("measures"))
		r.store.put("op", "draft", "config", draft)
		r.note("draft in part \"draft\": %s", draft)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	answered := len(results())
	wrong := 0
	for _, m := range r.machines {
		for _, run := range m.server.runs() {
			if m.service != "bookings" {
				wrong++
				r.note("BROKEN: %s %s was run by a server of %s", run.id, run.path, run.service)
			}
		}
	}
	r.note("%d requests, %d run by a service to which no released manifest sends them", answered, wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
