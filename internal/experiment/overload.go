package experiment

import (
	"fmt"
	"time"
)

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
	// overloadOnsetSuffix marks the rows for the last third of a run, in which
	// every server starts to refuse every request.
	overloadOnsetSuffix = "-onset"
)

// overloadPolicies differ in the further attempts alone.
var overloadPolicies = []trafficPolicy{
	{name: "budget-hedge", retries: 3, budgeted: true, hedge: true},
	{name: "retry-3", retries: 3},
	{name: "no-retry"},
}

// Overload compares the retry and hedge budget with three retries without a
// budget and with no retries. Its rows with the suffix "-all-shedding" show the
// work sent while every server refuses every request, those with "-onset" the
// first 10 s of that after healthy time, when each entry has saved attempts.
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
			addTrafficRow(table, policy.name, load, runTraffic(overloadCase(seed, length, policy, load)))
		}
	}
	for _, policy := range overloadPolicies {
		c := overloadCase(seed, length, policy, overloadSheddingLoad)
		c.shedding = true
		addTrafficRow(table, policy.name+overloadSheddingSuffix, c.load, runTraffic(c))
		c.shedFrom = length * 2 / 3
		addTrafficRow(table, policy.name+overloadOnsetSuffix, c.load, runTraffic(c))
		c.entryNodes = manyEntries
		addTrafficRow(table, fmt.Sprintf("%s%s-%d-entries", policy.name, overloadOnsetSuffix, manyEntries), c.load, runTraffic(c))
	}
	return table
}

func overloadCase(seed uint64, length time.Duration, policy trafficPolicy, load float64) trafficCase {
	return trafficCase{
		seed: seed, policy: policy, entryNodes: trafficEntries, load: load, length: length,
		deadline: overloadDeadline, graySlowdown: 1,
	}
}
