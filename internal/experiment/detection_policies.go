package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// verdict is a change of state of one server.
type verdict struct {
	server int
	to     fleet.Health
}

// judge is one policy at work for one service.
type judge interface {
	// observe takes an event of a server at its host.
	observe(server int, e detect.Event)
	// peer takes the end of a request that the node of a server sent as an
	// entry to another host.
	peer(server int, e detect.Event)
	// exchange makes the summaries that servers published known to all.
	exchange(observed []fleet.Observed, health []fleet.Health)
	// restart tells that a server started cold.
	restart(server int, warmUntil time.Time)
	// published returns what the host of a server publishes now.
	published(server int) fleet.Observed
	tick(now time.Time) []verdict
}

func serverName(server int) string { return fmt.Sprintf("s%02d", server) }

// sequentialJudge runs the detector of the node, one for each server.
type sequentialJudge struct {
	preset string
	hosts  []*detect.Detector
	names  []string
}

func newSequentialJudge(d deployment, rng *rand.Rand) judge {
	j := &sequentialJudge{preset: d.preset}
	for i := range d.servers {
		detector := detect.New(detect.ServerParams(), rng)
		j.names = append(j.names, serverName(i))
		j.hosts = append(j.hosts, detector)
		detector.SetTarget(j.target(i, time.Time{}))
	}
	return j
}

func (j *sequentialJudge) target(server int, warmUntil time.Time) detect.Target {
	return detect.Target{ID: j.names[server], Service: "s", Costs: detect.PresetCosts(j.preset), WarmUntil: warmUntil}
}

func (j *sequentialJudge) observe(server int, e detect.Event) {
	e.Target, e.Service = j.names[server], "s"
	j.hosts[server].Observe(e)
}

func (j *sequentialJudge) peer(server int, e detect.Event) {
	e.Service = "s"
	j.hosts[server].ObservePeer(e)
}

func (j *sequentialJudge) exchange(observed []fleet.Observed, health []fleet.Health) {
	peers := make([]fleet.Observed, 0, len(observed))
	for i := range j.hosts {
		peers = peers[:0]
		for k := range observed {
			working := health[k] == fleet.Healthy || health[k] == fleet.Suspect
			if k != i && working && observed[k].Median > 0 {
				peers = append(peers, observed[k])
			}
		}
		j.hosts[i].SetBaseline(j.names[i], detect.PeerBaseline(peers))
	}
}

func (j *sequentialJudge) restart(server int, warmUntil time.Time) {
	target := j.target(server, warmUntil)
	target.Incarnation = uint64(warmUntil.UnixNano())
	j.hosts[server].SetTarget(target)
}

func (j *sequentialJudge) published(server int) fleet.Observed {
	return j.hosts[server].Summary(j.names[server])
}

func (j *sequentialJudge) tick(now time.Time) []verdict {
	var out []verdict
	for i, detector := range j.hosts {
		for _, t := range detector.Tick(now) {
			out = append(out, verdict{server: i, to: t.To})
		}
	}
	return out
}

// pathJudge runs the detector of paths of one entry node.
type pathJudge struct {
	detector *detect.Detector
	names    []string
}

func newPathJudge(d deployment, rng *rand.Rand) judge {
	j := &pathJudge{detector: detect.New(detect.PathParams(), rng)}
	for i := range d.servers {
		j.names = append(j.names, serverName(i))
		j.detector.SetTarget(detect.Target{ID: j.names[i], Costs: detect.PresetCosts(d.preset)})
	}
	return j
}

func (j *pathJudge) observe(server int, e detect.Event) {
	e.Target = j.names[server]
	j.detector.ObservePeer(e)
	j.detector.Observe(e)
}

func (j *pathJudge) peer(int, detect.Event) {}

func (j *pathJudge) exchange([]fleet.Observed, []fleet.Health) {
	var peers []fleet.Observed
	for _, name := range j.names {
		if observed := j.detector.Summary(name); observed.Median > 0 {
			peers = append(peers, observed)
		}
	}
	for _, name := range j.names {
		j.detector.SetBaseline(name, detect.PeerBaseline(peers))
	}
}

func (j *pathJudge) restart(int, time.Time) {}

func (j *pathJudge) published(server int) fleet.Observed {
	return j.detector.Summary(j.names[server])
}

func (j *pathJudge) tick(now time.Time) []verdict {
	var out []verdict
	for _, t := range j.detector.Tick(now) {
		for i, name := range j.names {
			if name == t.Target {
				out = append(out, verdict{server: i, to: t.To})
			}
		}
	}
	return out
}

const (
	// consecutiveLimit is the rule of the first baseline.
	consecutiveLimit = 5
	// rateWindow, rateMinimum and rateLimit are the rule of the second: fewer
	// than rateLimit successes in the window, with rateMinimum requests in it.
	rateWindow  = 10 * time.Second
	rateMinimum = 20
	rateLimit   = 0.85
	// baselineHold is the time for which baselines eject; it grows with the
	// number of ejections.
	baselineHold = 30 * time.Second
)

// countingJudge is the common part of the two baselines: it counts failures,
// takes timeouts and refusals for failures, and returns a server after a time.
type countingJudge struct {
	bad     func(*counts) bool
	servers []counts
}

// counts are the observations of one server.
type counts struct {
	inARow    int
	results   []result
	failed    int
	health    fleet.Health
	since     time.Time
	ejections int
}

type result struct {
	at     time.Time
	failed bool
}

func newCountingJudge(d deployment, bad func(*counts) bool) judge {
	j := &countingJudge{bad: bad, servers: make([]counts, d.servers)}
	for i := range j.servers {
		j.servers[i].health = fleet.Healthy
	}
	return j
}

func newConsecutiveJudge(d deployment, _ *rand.Rand) judge {
	return newCountingJudge(d, func(s *counts) bool { return s.inARow >= consecutiveLimit })
}

func newRateJudge(d deployment, _ *rand.Rand) judge {
	return newCountingJudge(d, func(s *counts) bool {
		total := len(s.results)
		return total >= rateMinimum && float64(total-s.failed) < rateLimit*float64(total)
	})
}

// trim drops the results that have left the window.
func (s *counts) trim(now time.Time) {
	for len(s.results) > 0 && now.Sub(s.results[0].at) > rateWindow {
		if s.results[0].failed {
			s.failed--
		}
		s.results = s.results[1:]
	}
}

func (j *countingJudge) observe(server int, e detect.Event) {
	if !e.Finished || e.Result == detect.Cancelled {
		return
	}
	s := &j.servers[server]
	failed := e.Result != detect.Success
	if failed {
		s.inARow++
		s.failed++
	} else {
		s.inARow = 0
	}
	s.results = append(s.results, result{at: e.At, failed: failed})
}

func (j *countingJudge) peer(int, detect.Event)                    {}
func (j *countingJudge) exchange([]fleet.Observed, []fleet.Health) {}
func (j *countingJudge) restart(int, time.Time)                    {}
func (j *countingJudge) published(int) fleet.Observed              { return fleet.Observed{} }

func (j *countingJudge) tick(now time.Time) []verdict {
	var out []verdict
	for i := range j.servers {
		s := &j.servers[i]
		s.trim(now)
		bad := j.bad(s)
		switch {
		case s.health == fleet.Healthy && bad:
			s.health, s.since = fleet.Ejected, now
			s.ejections++
			out = append(out, verdict{server: i, to: fleet.Ejected})
		case s.health == fleet.Ejected && now.Sub(s.since) >= time.Duration(s.ejections)*baselineHold:
			*s = counts{health: fleet.Healthy, ejections: s.ejections}
			out = append(out, verdict{server: i, to: fleet.Healthy})
		}
	}
	return out
}
