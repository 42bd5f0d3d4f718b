package experiment

import (
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/pick"
)

const (
	// evenDuration is the virtual time of one run: about 5,600 requests at equal servers.
	evenDuration = 10 * time.Second
	// evenRuns is the number of runs with different seeds for each row.
	evenRuns    = 3
	evenServers = 40
)

var (
	evenIntervals = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}
	evenChoosers  = []int{5, 20, 100}
)

// evenPolicy is a way to choose a server.
type evenPolicy struct {
	name string
	rule pick.Policy
	// oracle is set if the chooser knows the load of each server at the moment of the choice.
	oracle bool
	// sample is the number of random servers between which the rule chooses; 0 for all.
	sample int
}

var evenPolicies = []evenPolicy{
	{name: "oracle", rule: pick.LeastCost, oracle: true},
	{name: "least cost", rule: pick.LeastCost},
	{name: "two choices", rule: pick.LeastCost, sample: 2},
	{name: "water filling", rule: pick.WaterFilling},
}

// evenFleet is the servers and the demand of a case.
type evenFleet struct {
	name string
	// unequal is set if some servers are slow and some cold.
	unequal bool
	// failing is set if servers have failure episodes, and load is the offered load relative to the
	// capacity of all servers.
	failing bool
	load    float64
	// dataCentres is the number of data centres; half of the demand arises in the first one.
	dataCentres int
}

var evenFleets = []evenFleet{
	{name: "equal", load: 0.7, dataCentres: 1},
	{name: "unequal", load: 0.7, unequal: true, dataCentres: 1},
	{name: "unequal, 4 data centres", load: 0.7, unequal: true, dataCentres: 4},
	{name: "failing, 4 data centres", load: 0.35, failing: true, dataCentres: 4},
}

// evenCase is one run.
type evenCase struct {
	seed     uint64
	policy   evenPolicy
	fleet    evenFleet
	choosers int
	// interval is the time between two reports of a server to the choosers of its data centre.
	interval time.Duration
	duration time.Duration
}

// EvenLoad compares ways to choose a server from old reports by many choosers at once.
var EvenLoad = Definition{
	Name:    "even-load",
	Summary: "choice of server against the age of load reports and the number of choosers",
	Run: func(o Options) (*Table, error) {
		return runEvenLoad(o.Seed, evenDuration, evenChoosers, evenIntervals), nil
	},
	Plot: plotEvenLoad,
}

// evenColumns are the columns of the table. largest_over_mean compares the load of the busiest
// server with the mean load, in windows of half a second; refused_hops counts the refusals of
// servers for each request; rejected is the share of the requests that no server accepts, and failed
// the share of those that a server fails.
var evenColumns = []string{
	"servers", "choosers", "interval_ms", "policy", "largest_over_mean", "refused_hops", "rejected",
	"failed", "wait_ms", "p99_ms", "other_data_centre",
}

func runEvenLoad(seed uint64, duration time.Duration, choosers []int, intervals []time.Duration) *Table {
	table := &Table{Columns: evenColumns}
	for _, fleet := range evenFleets {
		for _, count := range choosers {
			for _, interval := range intervals {
				for _, policy := range evenPolicies {
					c := evenCase{seed: seed, policy: policy, fleet: fleet, choosers: count, interval: interval, duration: duration}
					addEvenRow(table, c, runEvenCase(c))
				}
			}
		}
	}
	return table
}

// runEvenCase returns the sum of evenRuns runs.
func runEvenCase(c evenCase) evenResult {
	results := make([]evenResult, evenRuns)
	var running sync.WaitGroup
	for i := range results {
		run := c
		run.seed = evenRuns*c.seed + uint64(i)
		running.Go(func() { results[i] = newEvenWorld(run).run() })
	}
	running.Wait()
	var sum evenResult
	for _, r := range results {
		sum.add(r)
	}
	return sum
}

func addEvenRow(table *Table, c evenCase, r evenResult) {
	table.Add(c.fleet.name, c.choosers, c.interval.Milliseconds(), c.policy.name,
		formatDecimal(r.largestOverMean(), 2), formatDecimal(r.perRequest(r.refusedHops), 3),
		formatDecimal(r.perRequest(r.rejected), 4), formatDecimal(r.perRequest(r.failed), 4),
		formatDecimal(r.meanWaitMS(), 1), formatDecimal(r.p99MS(), 0), formatDecimal(r.perRequest(r.otherDataCentre), 3))
}
