package experiment

import "time"

const (
	// overloadLength is the virtual time of one run.
	overloadLength = 30 * time.Second
	// overloadDeadline is about six mean service times, so that waiting in a
	// full queue can exceed it.
	overloadDeadline = 250 * time.Millisecond
	// overloadSheddingSuffix marks the rows in which every server refuses
	// every request.
	overloadSheddingSuffix = "-all-shedding"
	overloadSheddingLoad   = 0.95
)

// overloadPolicies differ in the further attempts alone.
var overloadPolicies = []trafficPolicy{
	{name: "budget-hedge", retries: 3, budgeted: true, hedge: true},
	{name: "retry-3", retries: 3},
	{name: "no-retry"},
}

// Overload compares the retry and hedge budget with three retries without a
// budget and with no retries. Its rows with the suffix "-all-shedding" show the
// work sent while every server refuses every request.
var Overload = Definition{
	Name:    "overload",
	Summary: "retry budget against unbounded and no retries",
	Run:     func(o Options) (*Table, error) { return runOverload(o.Seed, overloadLength), nil },
	Plot:    trafficPlot("Work sent under load", "attempts per request", 5),
}

func runOverload(seed uint64, length time.Duration) *Table {
	table := &Table{Columns: trafficColumns}
	for _, policy := range overloadPolicies {
		for _, load := range trafficLoads {
			addTrafficRow(table, policy.name, load, runOverloadCase(seed, length, policy, load, false))
		}
	}
	for _, policy := range overloadPolicies {
		result := runOverloadCase(seed, length, policy, overloadSheddingLoad, true)
		addTrafficRow(table, policy.name+overloadSheddingSuffix, overloadSheddingLoad, result)
	}
	return table
}

func runOverloadCase(seed uint64, length time.Duration, policy trafficPolicy, load float64, shedding bool) *trafficResult {
	return runTraffic(trafficCase{
		seed: seed, policy: policy, entryNodes: trafficEntries, load: load, length: length,
		deadline: overloadDeadline, graySlowdown: 1, shedding: shedding,
	})
}
