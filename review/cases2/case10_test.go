//go:build review2

package cases2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// partWithoutWeight: the operator takes a service out of split routes by the weight 0. Rule CONFIG.
func partWithoutWeight(r *rig) (verdict, error) {
	const (
		host   = "jepu9.example"
		apply  = 2 * time.Second
		rounds = 12
		routes = 6
	)
	if err := r.place("bookings", "bookings", "measures", "measures", "wardrobe", "wardrobe"); err != nil {
		return notRun, err
	}
	manifest := func(version int, weights ...float64) []byte {
		var list []route
		for i := range routes {
			list = append(list, route{
				Name: fmt.Sprintf("r%d", i), Prefix: fmt.Sprintf("/r%d/", i), Type: "non_idempotent", TimeoutS: 8, TargetS: 2, Priority: 1, Attempts: 2,
				Split: []part{{"bookings", weights[0]}, {"measures", weights[1]}, {"wardrobe", weights[2]}},
			})
		}
		return r.manifest(version, host, list...)
	}
	r.configure(manifest(1, 40, 40, 20))
	if err := r.startAll(20*time.Millisecond, 6); err != nil {
		return notRun, err
	}
	if err := r.awaitServing(host, "/r0/1"); err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	// late holds the requests that were sent later than config_apply_s after the acknowledgement of the first
	// manifest with the weight 0; no later one allows more.
	late := map[string]time.Duration{}
	var without time.Time
	for round := range rounds {
		if r.trouble {
			acked := r.configure(manifest(3+2*round, []float64{50, 60}[round%2], []float64{50, 40}[round%2], 0))
			if without.IsZero() {
				without = acked
			}
		}
		time.Sleep(apply + 300*time.Millisecond)
		var group sync.WaitGroup
		for _, m := range r.machines {
			for i := range routes {
				group.Go(func() {
					result := m.send(http.MethodPost, host, fmt.Sprintf("/r%d/2", i), 8*time.Second)
					mu.Lock()
					defer mu.Unlock()
					if after := result.sent.Sub(without); r.trouble && after > apply {
						late[result.id] = after
					}
				})
			}
		}
		group.Wait()
	}
	wrong := 0
	for _, m := range r.machines {
		for _, run := range m.server.runs() {
			if after, ok := late[run.id]; ok && run.service == "wardrobe" {
				wrong++
				r.note("BROKEN: %s %s was sent %.3f s after the acknowledgement of the weight 0 of %s and run by it", run.id, run.path, after.Seconds(), run.service)
			}
		}
	}
	r.note("%d requests sent later than config_apply_s, %d run by the service without weight", len(late), wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
