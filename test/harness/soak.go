package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/report"
)

// soakCommand runs a deployment under randomised faults.
type soakCommand struct {
	Deployment string        `long:"deployment" default:"trust" description:"trust or paramo"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the schedule and of the load"`
	Duration   time.Duration `long:"duration" default:"60s" description:"length of the load"`
	Rate       float64       `long:"rate" default:"300" description:"requests per second from all callers"`
	Keep       bool          `long:"keep" description:"keep the run directory of a run without violations"`
}

const (
	// soakCallers is the number of load generators.
	soakCallers = 3
	// linkedInstances have relays in front of their node and server.
	linkedInstances = 4
	// settleTime is waited after the load, so that late work is recorded.
	settleTime = 3 * time.Second
)

// soakResult is the last line of the output.
type soakResult struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Faults     int    `json:"faults"`
	report.Verdict
	// AnsweredNotRun counts answers to requests that no server ran.
	AnsweredNotRun      int     `json:"answered_not_run"`
	BelowFloor          int     `json:"below_floor"`
	DetectionMS         float64 `json:"detection_ms"`
	AddedP99MS          float64 `json:"added_p99_ms"`
	LeavingGotWork      int     `json:"leaving_got_work"`
	PlannedStopCut      int     `json:"planned_stop_cut"`
	VersionReverted     int     `json:"version_reverted"`
	InvariantViolations int     `json:"invariant_violations"`
}

// faulty reports whether a property was violated.
func (r *soakResult) faulty() bool {
	return r.HasViolations() || r.AnsweredNotRun+r.BelowFloor+r.LeavingGotWork+r.PlannedStopCut+
		r.VersionReverted+r.InvariantViolations > 0
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	d, err := findDeployment(c.Deployment)
	if err != nil {
		return err
	}
	f, err := newFleet(d, fmt.Sprintf("run/soak-%s-%d", d.name, c.Seed))
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	linked := rng.Perm(len(f.instances))[:linkedInstances]
	defer f.stop()
	if err := f.startLinked(linked); err != nil {
		return err
	}
	schedule := drawSchedule(rng, c.Duration, len(f.instances), linked)
	for _, e := range schedule {
		fmt.Println(e)
	}
	result, err := c.run(f, schedule)
	if err != nil {
		return err
	}
	return c.finish(f, result)
}

func (c *soakCommand) finish(f *fleet, result *soakResult) error {
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return trace.Wrap(err)
	}
	if result.faulty() {
		return trace.CompareFailed("a property that must always hold was violated; seed %d, evidence in %s", c.Seed, f.dir)
	}
	if !c.Keep {
		f.stop()
		return trace.ConvertSystemError(os.RemoveAll(f.dir))
	}
	return nil
}

func (c *soakCommand) run(f *fleet, schedule []event) (*soakResult, error) {
	var loads []*load
	for n := range soakCallers {
		// Each caller uses entries of its own, so that repeats with a key arrive
		// through nodes that did not see the first attempt.
		var entries []string
		for i := n; i < len(f.instances); i += soakCallers {
			entries = append(entries, f.instances[i].addr(listenCaller))
		}
		l, err := f.startLoad(fmt.Sprintf("callers-%d", n), entries, c.Seed+uint64(n), c.Rate/soakCallers, c.Duration)
		if err != nil {
			return nil, err
		}
		loads = append(loads, l)
	}
	versions := f.watchVersions()
	stops := c.apply(f, schedule)
	for _, l := range loads {
		if !l.process.wait(c.Duration + 30*time.Second) {
			return nil, trace.LimitExceeded("%s did not end", l.process.name)
		}
	}
	time.Sleep(settleTime)
	reverted := versions.stop()
	return c.judge(f, loads, stops, len(schedule), reverted)
}

// apply carries out the schedule and returns the planned stops.
func (c *soakCommand) apply(f *fleet, schedule []event) *stopList {
	stops := &stopList{}
	begin := time.Now()
	var wait sync.WaitGroup
	for _, e := range schedule {
		time.Sleep(time.Until(begin.Add(e.at)))
		wait.Go(func() { f.carryOut(e, stops) })
	}
	wait.Wait()
	return stops
}

func (c *soakCommand) judge(f *fleet, loads []*load, stops *stopList, faults, reverted int) (*soakResult, error) {
	e, err := f.collect(loads...)
	if err != nil {
		return nil, err
	}
	verdict, findings := e.comparison.Verdict()
	for _, finding := range findings {
		fmt.Printf("%s: %s\n", finding.Property, finding.Detail)
		e.printToken(finding.Token)
	}
	result := &soakResult{Deployment: c.Deployment, Seed: c.Seed, Faults: faults, Verdict: verdict, DetectionMS: -1}
	_, result.AddedP99MS = e.added()
	result.AnsweredNotRun = e.answeredNotRun()
	result.LeavingGotWork = e.leavingGotWork(stops)
	result.VersionReverted = reverted
	lines, err := f.stateChanges()
	if err != nil {
		return nil, err
	}
	result.InvariantViolations, result.BelowFloor = countInvariants(lines)
	result.PlannedStopCut = countCut(lines, stops)
	e.printUnknown()
	return result, nil
}
