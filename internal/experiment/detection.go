package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Detection compares the outlier detection of the node with two simpler rules.
var Detection = Definition{
	Name:    "detection",
	Summary: "detection time and false ejections by fault, preset and policy",
	Run:     func(o Options) (*Table, error) { return runDetection(o, fullDetection()), nil },
	Plot:    plotDetection,
}

// DetectionColumns are the columns of the detection table. Detection times run from the
// start of the fault to the host's decision; -1 means that fewer trials than the given
// quantile had one. requests_lost is the mean number of requests per trial that failed,
// timed out or were refused because of the fault. server_seconds is the simulated time
// summed over healthy servers.
var DetectionColumns = []string{
	"policy", "preset", "case", "detect_p50_ms", "detect_p99_ms", "requests_lost", "false_ejections", "server_seconds",
}

// detectionScale sets the amount of simulation.
type detectionScale struct {
	// trials is the number of runs of a case with a fault.
	trials int
	// healthyScale multiplies the server-seconds of cases without a faulty server.
	healthyScale float64
	// cases names the cases to run; empty means all.
	cases []string
}

func fullDetection() detectionScale { return detectionScale{trials: 200, healthyScale: 1} }

// policy is a named rule; make creates the detector for one run.
type policy struct {
	name string
	make func(deployment, *rand.Rand) outlierDetector
}

func detectionPolicies() []policy {
	return []policy{
		{name: "tarragon", make: newSequentialDetector},
		{name: "five-in-a-row", make: newConsecutiveFailureDetector},
		{name: "success-rate", make: newSuccessRateDetector},
	}
}

// detectionRow is one row of the table with the outcomes of its runs.
type detectionRow struct {
	policy     policy
	deployment deployment
	detectionCase
	outcomes []trialOutcome
}

// runDetection simulates all rows in parallel. Each run has its own random source, seeded
// by the seed, the case and the trial, so the order of execution does not matter.
func runDetection(options Options, scale detectionScale) *Table {
	rows := detectionRows(scale)
	type job struct{ row, trial int }
	jobs := make(chan job)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for j := range jobs {
				rows[j.row].outcomes[j.trial] = rows[j.row].runTrial(options.Seed, j.trial)
			}
		})
	}
	for i := range rows {
		for trial := range rows[i].outcomes {
			jobs <- job{i, trial}
		}
	}
	close(jobs)
	group.Wait()
	table := &Table{Columns: DetectionColumns}
	for i := range rows {
		rows[i].addTo(table)
	}
	return table
}

func detectionRows(scale detectionScale) []detectionRow {
	var rows []detectionRow
	for _, p := range detectionPolicies() {
		for _, d := range deployments() {
			for _, c := range detectionCases() {
				if len(scale.cases) > 0 && !slices.Contains(scale.cases, c.name) {
					continue
				}
				trials := scale.trials
				if c.healthyServerSeconds > 0 {
					run := c.duration.Seconds() * float64(d.servers)
					trials = int(math.Ceil(c.healthyServerSeconds * scale.healthyScale / run))
				}
				rows = append(rows, detectionRow{policy: p, deployment: d, detectionCase: c, outcomes: make([]trialOutcome, trials)})
			}
		}
	}
	return rows
}

// runTrial simulates one run. All policies get the same random source, so they see the
// same servers and faults until their decisions differ.
func (r *detectionRow) runTrial(seed uint64, trial int) trialOutcome {
	stream := hashName(r.deployment.preset + "/" + r.name)
	rng := rand.New(rand.NewPCG(seed, stream+uint64(trial)))
	newDetector := r.policy.make
	if r.path && r.policy.name == "tarragon" {
		newDetector = newPathDetector
	}
	detector := newDetector(r.deployment, rand.New(rand.NewPCG(seed, ^stream-uint64(trial))))
	return newDetectionSim(r.detectionCase, r.deployment, rng, detector).run()
}

// hashName returns the 64-bit FNV-1a hash of name.
func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return hash
}

func (r *detectionRow) addTo(table *Table) {
	var times []time.Duration
	lost, falseEjections, seconds := 0, 0, 0.0
	for _, o := range r.outcomes {
		lost += o.lost
		falseEjections += o.falseEjections
		seconds += o.seconds
		if o.detected < 0 {
			o.detected = math.MaxInt64
		}
		times = append(times, o.detected)
	}
	slices.Sort(times)
	p50, p99 := "", ""
	if !r.allHealthy() {
		p50, p99 = quantile(times, 0.50), quantile(times, 0.99)
	}
	table.Add(r.policy.name, r.deployment.preset, r.name, p50, p99,
		fmt.Sprintf("%.1f", float64(lost)/float64(len(r.outcomes))), falseEjections, fmt.Sprintf("%.0f", seconds))
}

// quantile returns a quantile of the sorted times in milliseconds; -1 if nothing was
// detected at that quantile.
func quantile(times []time.Duration, q float64) string {
	value := times[min(int(q*float64(len(times))), len(times)-1)]
	if value == math.MaxInt64 {
		return "-1"
	}
	return fmt.Sprint(value.Milliseconds())
}
