package experiment

import (
	"fmt"
	"time"
)

const (
	// overloadDuration is the virtual time of one run.
	overloadDuration = 30 * time.Second
	// overloadDeadline is about six mean service times, so that the wait in a full queue
	// can exceed it.
	overloadDeadline = 250 * time.Millisecond
	// overloadSheddingSuffix marks the rows in which every server refuses
	// every request.
	overloadSheddingSuffix = "-all-shedding"
	overloadSheddingLoad   = 0.95
	// overloadOnsetSuffix marks the rows for the last third of a run, during which every
	// server refuses every request.
	overloadOnsetSuffix = "-onset"
)

// overloadPolicies differ only in their retries and hedges.
var overloadPolicies = []trafficPolicy{
	{name: "budget-hedge", retries: 3, budgeted: true, hedge: true},
	{name: "retry-3", retries: 3},
	{name: "no-retry"},
}

// Overload compares the retry and hedge budget with three retries without a budget and
// with no retries. The rows with the suffix "-all-shedding" show the attempts sent while
// every server refuses every request, those with "-onset" the first 10 s of such a phase
// after a healthy one, when each entry node has budget saved up. The rows with the prefix
// "room-" compare ways to divide the room of a full service between calls of running work and
// other requests, with an oracle.
var Overload = Definition{
	Name:    "overload",
	Summary: "retry budget compared with unbudgeted retries and no retries",
	Run:     func(o Options) (*Table, error) { return runOverload(o.Seed, overloadDuration), nil },
	Plot:    trafficPlot("Attempts sent under load", "attempts per request", 5),
}

func runOverload(seed uint64, duration time.Duration) *Table {
	table := &Table{Columns: trafficColumns}
	for _, policy := range overloadPolicies {
		for _, load := range trafficLoads {
			addTrafficRow(table, policy.name, load, runTraffic(overloadCase(seed, duration, policy, load)))
		}
	}
	for _, policy := range overloadPolicies {
		c := overloadCase(seed, duration, policy, overloadSheddingLoad)
		c.shedding = true
		addTrafficRow(table, policy.name+overloadSheddingSuffix, c.load, runTraffic(c))
		c.shedFrom = duration * 2 / 3
		addTrafficRow(table, policy.name+overloadOnsetSuffix, c.load, runTraffic(c))
		c.entryNodes = largeFleetEntries
		addTrafficRow(table, fmt.Sprintf("%s%s-%d-entries", policy.name, overloadOnsetSuffix, largeFleetEntries), c.load, runTraffic(c))
	}
	addRoomRows(table, seed, min(duration, roomDuration))
	return table
}

func overloadCase(seed uint64, duration time.Duration, policy trafficPolicy, load float64) trafficCase {
	return trafficCase{
		seed: seed, policy: policy, entryNodes: trafficEntries, load: load, duration: duration,
		deadline: overloadDeadline, graySlowdown: 1,
	}
}
