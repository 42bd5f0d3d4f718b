//go:build review

// Case 2: a new manifest is acknowledged some seconds after the store was silent.

package cases

import (
	"fmt"
	"sync"
	"time"
)

const (
	// apply and stable are the bounds config_apply_s and stable_window_s of the settings.
	apply  = 2 * time.Second
	stable = 3 * time.Second
	// silentFor is how long the store is silent.
	silentFor = 3 * time.Second
	rounds    = 4
)

func route(service string) []Route {
	return []Route{{Prefix: "/child/", Name: "r-1", Service: service, Type: "safe", TimeoutS: 10, TargetS: 2, MaxAttempts: 2, Priority: 2}}
}

func runCase2() {
	r := New(Options{Services: []string{"measures", "bookings", "wardrobe"}, Routes: route("measures")})
	services := []string{"bookings", "wardrobe", "measures"}
	broken, judged := 0, 0
	for round := range rounds {
		// A change of the manifest ends all watches, so that they begin anew.
		before := services[round%len(services)]
		r.Configure(route(before))
		time.Sleep(1700 * time.Millisecond)
		if r.Trouble {
			r.Silence(silentFor)
		} else {
			time.Sleep(silentFor)
		}
		time.Sleep(stable + 200*time.Millisecond)

		// The store has been stable for stable_window_s.
		after := services[(round+1)%len(services)]
		r.Configure(route(after))
		acked := time.Now()
		time.Sleep(apply + 100*time.Millisecond)
		var mu sync.Mutex
		var clients sync.WaitGroup
		for c, m := range r.Machines {
			clients.Go(func() {
				for i := range 3 {
					id := fmt.Sprintf("q-%d-%d-%d", round, c, i)
					sent := time.Since(acked)
					a := m.Send("GET", "/child/1", id, nil, 4*time.Second)
					ran := r.RanAt(id)
					r.Note("client %s at %s, sent %.2f s after the ack: status %d, run by %q", id, m.Name, sent.Seconds(), a.Status, ran)
					mu.Lock()
					judged++
					if ran != "" && ran != after {
						r.Note("CONFIG: request %s was run by %s; the manifest in force for %.2f s allows only %s", id, ran, sent.Seconds(), after)
						broken++
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		clients.Wait()
		// The next round begins when all nodes have the manifest.
		for n := 0; !inForce(r, after, fmt.Sprintf("w-%d-%d", round, n)); n++ {
			time.Sleep(200 * time.Millisecond)
		}
		r.Note("round %d: the manifest is in force on all nodes %.1f s after its ack", round, time.Since(acked).Seconds())
		if broken > 0 {
			break
		}
		// Watches that the silence has cut off end by themselves.
		time.Sleep(8 * time.Second)
	}
	r.End(broken > 0, "%d of %d requests were run by the service of the older manifest", broken, judged)
}

// inForce reports whether all nodes send requests to the service.
func inForce(r *Rig, service, id string) bool {
	for c, m := range r.Machines {
		id := fmt.Sprintf("%s-%d", id, c)
		m.Send("GET", "/child/1", id, nil, 4*time.Second)
		if r.RanAt(id) != service {
			return false
		}
	}
	return true
}
