package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/report"
)

// demoCommand shows the whole path of one deployment in under a minute.
type demoCommand struct {
	Deployment string  `long:"deployment" default:"trust" description:"trust or paramo"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the load"`
	Rate       float64 `long:"rate" default:"420" description:"requests per second from all callers, 20 a server at the Trust"`
}

const (
	// demoLength is the length of the load.
	demoLength = 20 * time.Second
	// demoFaultAt and demoWithdrawAt are times after the start of the load.
	demoFaultAt    = 5 * time.Second
	demoWithdrawAt = 10 * time.Second
	demoEntries    = 5
)

// demoResult is the last line of the output.
type demoResult struct {
	Deployment string `json:"deployment"`
	report.Verdict
	BelowFloor  int     `json:"below_floor"`
	DetectionMS float64 `json:"detection_ms"`
	AddedP50MS  float64 `json:"added_p50_ms"`
	AddedP99MS  float64 `json:"added_p99_ms"`
	Withdrawn   string  `json:"withdrawn"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, err := findDeployment(c.Deployment)
	if err != nil {
		return err
	}
	f, err := newFleet(d, "run/demo-"+d.name)
	if err != nil {
		return err
	}
	defer f.stop()
	fmt.Printf("starting the platform stand-in, %d backend servers and %d nodes\n", len(f.instances), len(f.instances))
	if err := f.start(); err != nil {
		return err
	}
	result, err := c.run(f)
	if err != nil {
		return err
	}
	return result.print()
}

func (c *demoCommand) run(f *fleet) (*demoResult, error) {
	begin := time.Now()
	l, err := f.startLoad("callers", f.entries(demoEntries), c.Seed, c.Rate, demoLength)
	if err != nil {
		return nil, err
	}
	watch := f.watchFloor()
	time.Sleep(time.Until(begin.Add(demoFaultAt)))
	bad := f.writeInstance(0)
	fmt.Printf("%s begins to fail its work; its probes still pass\n", bad.server)
	faultAt := time.Now()
	if err := f.setFaults(bad, `{"fail_ratio": 1}`); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(begin.Add(demoWithdrawAt)))
	withdrawn := f.writeInstance(1)
	if err := f.withdraw(withdrawn.server); err != nil {
		return nil, err
	}
	if !l.process.wait(demoLength + 20*time.Second) {
		return nil, trace.LimitExceeded("the load did not end")
	}
	result, err := f.demoResult(l, bad.server, faultAt)
	if err != nil {
		return nil, err
	}
	result.BelowFloor = watch.stop()
	result.Withdrawn = withdrawn.server
	return result, nil
}

func (f *fleet) demoResult(l *load, bad string, faultAt time.Time) (*demoResult, error) {
	e, err := f.collect(l)
	if err != nil {
		return nil, err
	}
	verdict, findings := e.comparison.Verdict()
	for _, finding := range findings {
		fmt.Println(finding)
	}
	result := &demoResult{Deployment: f.deployment.name, Verdict: verdict, DetectionMS: -1}
	lines, err := f.stateChanges()
	if err != nil {
		return nil, err
	}
	at, found := firstChange(lines, faultAt, func(line logLine) bool {
		return line.Subject == "server" && line.Target == bad && line.To == "ejected"
	})
	if found {
		result.DetectionMS = milliseconds(at.Sub(faultAt))
	}
	result.AddedP50MS, result.AddedP99MS = e.added()
	return result, nil
}

// added returns quantiles of the time that the fleet added to requests that
// were answered at the first try: the caller's latency less the time at the
// server.
func (e *evidence) added() (p50, p99 float64) {
	times := e.runTime()
	var added []time.Duration
	for _, a := range e.attempts {
		ran, ok := times[a.Token]
		if ok && ran >= 0 && a.Number == 1 && a.Status == 200 {
			added = append(added, a.Latency-ran)
		}
	}
	if len(added) == 0 {
		return -1, -1
	}
	sort.Slice(added, func(i, j int) bool { return added[i] < added[j] })
	return milliseconds(added[len(added)/2]), milliseconds(added[len(added)*99/100])
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func (r *demoResult) print() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"requests", r.Requests},
		{"answered", r.Answered},
		{"refused, not run", r.RefusedNotRun},
		{"outcome unknown", r.Unknown},
		{"wrong answers", r.WrongAnswers},
		{"truncated answers", r.Truncated},
		{"ran twice", r.RanTwice},
		{"refused but ran", r.RefusedButRan},
		{"looks below the floor", r.BelowFloor},
		{"detection, ms", r.DetectionMS},
		{"added at p50, ms", r.AddedP50MS},
		{"added at p99, ms", r.AddedP99MS},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return trace.Wrap(err)
	}
	if r.HasViolations() || r.BelowFloor > 0 {
		return trace.CompareFailed("a property that must always hold was violated")
	}
	return nil
}
