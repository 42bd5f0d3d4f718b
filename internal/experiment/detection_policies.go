package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// healthChange is a change in the health of one server.
type healthChange struct {
	server int
	to     fleet.Health
}

// outlierDetector is one policy applied to all servers of a service.
type outlierDetector interface {
	// observe handles an event of a server, seen by its host.
	observe(server int, e detect.Event)
	// observePeer handles the end of a request that the node of a server, acting as
	// entry node, sent to another host.
	observePeer(server int, e detect.Event)
	// exchangeSummaries distributes the summaries published by all servers.
	exchangeSummaries(observed []fleet.Observed, health []fleet.Health)
	// restart reports that a server restarted and is warming up.
	restart(server int, warmUntil time.Time)
	// summary returns what the host of a server publishes now.
	summary(server int) fleet.Observed
	tick(now time.Time) []healthChange
}

func serverName(server int) string { return fmt.Sprintf("s%02d", server) }

// sequentialDetector runs the detector of the node, one instance for each server.
type sequentialDetector struct {
	preset string
	hosts  []*detect.Detector
	names  []string
}

func newSequentialDetector(d deployment, rng *rand.Rand) outlierDetector {
	det := &sequentialDetector{preset: d.preset}
	for i := range d.servers {
		detector := detect.New(detect.ServerParams(), rng)
		det.names = append(det.names, serverName(i))
		det.hosts = append(det.hosts, detector)
		detector.SetTarget(det.target(i, time.Time{}))
	}
	return det
}

func (det *sequentialDetector) target(server int, warmUntil time.Time) detect.Target {
	return detect.Target{ID: det.names[server], Service: "s", Costs: detect.PresetCosts(det.preset), WarmUntil: warmUntil}
}

func (det *sequentialDetector) observe(server int, e detect.Event) {
	e.Target, e.Service = det.names[server], "s"
	det.hosts[server].Observe(e)
}

func (det *sequentialDetector) observePeer(server int, e detect.Event) {
	e.Service = "s"
	det.hosts[server].ObservePeer(e)
}

func (det *sequentialDetector) exchangeSummaries(observed []fleet.Observed, health []fleet.Health) {
	peers := make([]fleet.Observed, 0, len(observed))
	for i := range det.hosts {
		peers = peers[:0]
		for k := range observed {
			working := health[k] == fleet.Healthy || health[k] == fleet.Suspect
			if k != i && working && observed[k].Median > 0 {
				peers = append(peers, observed[k])
			}
		}
		det.hosts[i].SetBaseline(det.names[i], detect.PeerBaseline(peers))
	}
}

func (det *sequentialDetector) restart(server int, warmUntil time.Time) {
	target := det.target(server, warmUntil)
	target.Incarnation = uint64(warmUntil.UnixNano())
	det.hosts[server].SetTarget(target)
}

func (det *sequentialDetector) summary(server int) fleet.Observed {
	return det.hosts[server].Summary(det.names[server])
}

func (det *sequentialDetector) tick(now time.Time) []healthChange {
	var out []healthChange
	for i, detector := range det.hosts {
		for _, t := range detector.Tick(now) {
			out = append(out, healthChange{server: i, to: t.To})
		}
	}
	return out
}

// pathDetector runs the path detector of one entry node.
type pathDetector struct {
	detector *detect.Detector
	names    []string
}

func newPathDetector(d deployment, rng *rand.Rand) outlierDetector {
	det := &pathDetector{detector: detect.New(detect.PathParams(), rng)}
	for i := range d.servers {
		det.names = append(det.names, serverName(i))
		det.detector.SetTarget(detect.Target{ID: det.names[i], Costs: detect.PresetCosts(d.preset)})
	}
	return det
}

func (det *pathDetector) observe(server int, e detect.Event) {
	e.Target = det.names[server]
	det.detector.ObservePeer(e)
	det.detector.Observe(e)
}

func (det *pathDetector) observePeer(int, detect.Event) {}

func (det *pathDetector) exchangeSummaries([]fleet.Observed, []fleet.Health) {
	var peers []fleet.Observed
	for _, name := range det.names {
		if observed := det.detector.Summary(name); observed.Median > 0 {
			peers = append(peers, observed)
		}
	}
	for _, name := range det.names {
		det.detector.SetBaseline(name, detect.PeerBaseline(peers))
	}
}

func (det *pathDetector) restart(int, time.Time) {}

func (det *pathDetector) summary(server int) fleet.Observed {
	return det.detector.Summary(det.names[server])
}

func (det *pathDetector) tick(now time.Time) []healthChange {
	var out []healthChange
	for _, t := range det.detector.Tick(now) {
		for i, name := range det.names {
			if name == t.Target {
				out = append(out, healthChange{server: i, to: t.To})
			}
		}
	}
	return out
}

const (
	// consecutiveLimit is the number of consecutive failures that ejects a server under
	// the first baseline.
	consecutiveLimit = 5
	// The second baseline ejects a server if its success rate within rateWindow is
	// below rateLimit, given at least rateMinimum requests in the window.
	rateWindow  = 10 * time.Second
	rateMinimum = 20
	rateLimit   = 0.85
	// baselineHold is the base ejection time of the baselines; it is multiplied by the
	// number of ejections.
	baselineHold = 30 * time.Second
)

// countingDetector is the common part of the two baselines. It counts timeouts and
// refusals as failures, and returns an ejected server after its hold time.
type countingDetector struct {
	failing func(*counts) bool
	servers []counts
}

// counts holds the observations of one server.
type counts struct {
	consecutiveFailures int
	results             []result
	failed              int
	health              fleet.Health
	since               time.Time
	ejections           int
}

type result struct {
	at     time.Time
	failed bool
}

func newCountingDetector(d deployment, failing func(*counts) bool) outlierDetector {
	det := &countingDetector{failing: failing, servers: make([]counts, d.servers)}
	for i := range det.servers {
		det.servers[i].health = fleet.Healthy
	}
	return det
}

func newConsecutiveFailureDetector(d deployment, _ *rand.Rand) outlierDetector {
	return newCountingDetector(d, func(s *counts) bool { return s.consecutiveFailures >= consecutiveLimit })
}

func newSuccessRateDetector(d deployment, _ *rand.Rand) outlierDetector {
	return newCountingDetector(d, func(s *counts) bool {
		total := len(s.results)
		return total >= rateMinimum && float64(total-s.failed) < rateLimit*float64(total)
	})
}

// trim drops the results older than the window.
func (s *counts) trim(now time.Time) {
	for len(s.results) > 0 && now.Sub(s.results[0].at) > rateWindow {
		if s.results[0].failed {
			s.failed--
		}
		s.results = s.results[1:]
	}
}

func (det *countingDetector) observe(server int, e detect.Event) {
	if !e.Finished || e.Result == detect.Cancelled {
		return
	}
	s := &det.servers[server]
	failed := e.Result != detect.Success
	if failed {
		s.consecutiveFailures++
		s.failed++
	} else {
		s.consecutiveFailures = 0
	}
	s.results = append(s.results, result{at: e.At, failed: failed})
}

func (det *countingDetector) observePeer(int, detect.Event)                      {}
func (det *countingDetector) exchangeSummaries([]fleet.Observed, []fleet.Health) {}
func (det *countingDetector) restart(int, time.Time)                             {}
func (det *countingDetector) summary(int) fleet.Observed                         { return fleet.Observed{} }

func (det *countingDetector) tick(now time.Time) []healthChange {
	var out []healthChange
	for i := range det.servers {
		s := &det.servers[i]
		s.trim(now)
		failing := det.failing(s)
		switch {
		case s.health == fleet.Healthy && failing:
			s.health, s.since = fleet.Ejected, now
			s.ejections++
			out = append(out, healthChange{server: i, to: fleet.Ejected})
		case s.health == fleet.Ejected && now.Sub(s.since) >= time.Duration(s.ejections)*baselineHold:
			*s = counts{health: fleet.Healthy, ejections: s.ejections}
			out = append(out, healthChange{server: i, to: fleet.Healthy})
		}
	}
	return out
}
