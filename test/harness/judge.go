package main

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

// leavingLimit is the time after which a leaving server gets no new work.
const leavingLimit = 5 * time.Second

// leavingGotWork counts requests that began at a server more than 5 s after
// its planned stop began.
func (e *evidence) leavingGotWork(stops *stopList) int {
	count := 0
	for _, stop := range stops.all(false) {
		for _, r := range e.records {
			late := r.StartedAt.After(stop.from.Add(leavingLimit)) && r.StartedAt.Before(stop.to)
			if r.Server == stop.instance.server && r.Outcome == report.OutcomeStarted && late {
				fmt.Printf("%s got request %s %s after its planned stop began\n", r.Server, r.RequestID, r.StartedAt.Sub(stop.from))
				count++
			}
		}
	}
	return count
}

// answeredNotRun counts answers to requests that no server ran.
func (e *evidence) answeredNotRun() int {
	ran := map[string]bool{}
	for _, r := range e.records {
		ran[r.Token] = true
	}
	count := 0
	for _, a := range e.attempts {
		if a.Outcome == codes.Ran && a.Code == 0 && a.Check == report.CheckOK && !ran[a.Token] {
			fmt.Printf("request %s was answered and no server ran it\n", a.Token)
			count++
		}
	}
	return count
}

// maxPrinted bounds the requests that are printed whole.
const maxPrinted = 5

// printToken prints what callers and servers know of one request.
func (e *evidence) printToken(token string) {
	if e.printed++; e.printed > maxPrinted {
		return
	}
	for _, a := range e.attempts {
		if a.Token == token {
			fmt.Printf("  caller: %s %s attempt %d through %s took %s: %s code %d status %d check %s, request %s, key %.40s\n",
				a.SentAt.Format(time.StampMilli), a.Kind, a.Number, a.Entry, a.Latency, a.Outcome, a.Code, a.Status, a.Check, a.ID, a.Key)
		}
	}
	for _, r := range e.records {
		if r.Token == token {
			fmt.Printf("  server: %s %s %s, request %s\n", r.StartedAt.Format(time.StampMilli), r.Server, r.Outcome, r.RequestID)
		}
	}
}

// printUnknown prints how many attempts had an unknown outcome, by cause.
func (e *evidence) printUnknown() {
	counts := map[string]int{}
	for _, a := range e.attempts {
		if a.Outcome != codes.Unknown {
			continue
		}
		name := string(a.Check)
		if code, ok := codes.ByNumber(a.Code); ok {
			name = fmt.Sprint(code.Number, " ", code.Name)
		}
		counts[name]++
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("unknown outcome of %d attempts: %s\n", counts[name], name)
	}
}

// countInvariants counts violations in the logs, and those of the floor.
func countInvariants(lines []logLine) (all, floor int) {
	for _, line := range lines {
		if line.Subject != "invariant" {
			continue
		}
		fmt.Printf("invariant %s violated at %s, %s\n", line.Invariant, line.Node, line.Time.Format(time.StampMilli))
		all++
		if line.Invariant == "floor" {
			floor++
		}
	}
	return all, floor
}

// countCut counts the requests that undisturbed planned stops of nodes cut off.
func countCut(lines []logLine, stops *stopList) int {
	count := 0
	for _, stop := range stops.all(true) {
		for _, line := range lines {
			last := line.Subject == "node" && line.To == "stopped" && line.Node == stop.instance.id
			if !last || line.Time.Before(stop.from) || line.Time.After(stop.to.Add(time.Second)) || !stop.clean {
				continue
			}
			if line.Cut > 0 {
				fmt.Printf("the planned stop of %s cut off %d requests\n", line.Node, line.Cut)
			}
			count += line.Cut
		}
	}
	return count
}

// versionWatch follows the version that each ready node has in force.
type versionWatch struct {
	fleet    *fleet
	end      chan struct{}
	wait     sync.WaitGroup
	reverted int
}

// watchVersions starts a watch over all nodes.
func (f *fleet) watchVersions() *versionWatch {
	w := &versionWatch{fleet: f, end: make(chan struct{})}
	w.wait.Go(w.run)
	return w
}

func (w *versionWatch) run() {
	highest := map[string]uint64{}
	for n := 0; ; n++ {
		select {
		case <-w.end:
			return
		case <-time.After(floorInterval / 4):
		}
		i := w.fleet.instances[n%len(w.fleet.instances)]
		var status api.Status
		if w.fleet.adminGet(i, api.PathStatus, &status) != nil || !status.Ready {
			continue
		}
		for _, node := range status.Nodes {
			if node.ID != i.id {
				continue
			}
			if node.ConfigVersion < highest[i.id] {
				fmt.Printf("%s went back from version %d to %d\n", i.id, highest[i.id], node.ConfigVersion)
				w.reverted++
			}
			highest[i.id] = max(highest[i.id], node.ConfigVersion)
		}
	}
}

func (w *versionWatch) stop() int {
	close(w.end)
	w.wait.Wait()
	return w.reverted
}
