package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: 100 nodes of a data centre lack a configuration of some tens of kB that two of them have read from
// the store. Guards against all of them asking these two at once, whose links carry 10 Mbit/s: on a sweep of
// 300 nodes it was in force after 4.5 s.
func TestALargeDataCentreFetchesAConfigurationFromMoreAndMoreNodes(t *testing.T) {
	g := NewWithT(t)
	const nodes, watchers, transfer = 100, 2, 40 * time.Millisecond
	// free is when the link of a node that has the configuration is free.
	free := map[string]time.Time{}
	var names []string
	begun := time.Unix(0, 0)
	fleet := dataCentre(nodes, 3)
	type request struct {
		node int
		at   time.Time
	}
	var requests []request
	for i := range fleet {
		if i < watchers {
			names = append(names, string(rune('A'+i)))
			free[names[i]] = begun
			continue
		}
		at := begun.Add(fleet[i].spreadDelay(nodes - 1))
		requests = append(requests, request{i, at})
	}
	last := begun
	has := map[string]time.Time{}
	for _, name := range names {
		has[name] = begun
	}
	for len(requests) > 0 {
		first := 0
		for i, r := range requests {
			if r.at.Before(requests[first].at) {
				first = i
			}
		}
		r := requests[first]
		requests = append(requests[:first], requests[first+1:]...)
		var known announcers
		for _, name := range names {
			if !has[name].After(r.at) {
				known.add(1, name)
			}
		}
		source := known.pick(1, names[0], fleet[r.node].random)
		start := free[source]
		if start.Before(r.at) {
			start = r.at
		}
		done := start.Add(transfer)
		free[source] = done
		name := string(rune('A' + r.node))
		names = append(names, name)
		free[name], has[name] = done, done
		if done.After(last) {
			last = done
		}
	}
	g.Expect(last.Sub(begun)).To(BeNumerically("<", 1200*time.Millisecond), "2 watchers alone would take 2 s")
}

// Guards against a node that asks for an older configuration than it has heard of, and against a list that
// grows with the fleet.
func TestAnnouncersOfTheNewestConfiguration(t *testing.T) {
	g := NewWithT(t)
	var a announcers
	last := func() float64 { return 1 }
	g.Expect(a.pick(1, "fallback", last)).To(Equal("fallback"))
	a.add(2, "two")
	a.add(1, "one")
	g.Expect(a.pick(1, "fallback", last)).To(Equal("two"))
	g.Expect(a.pick(3, "fallback", last)).To(Equal("fallback"))
	for i := range 3 * maxAnnouncers {
		a.add(2, string(rune('a'+i)))
	}
	g.Expect(a.addrs).To(HaveLen(maxAnnouncers))
}
