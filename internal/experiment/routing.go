package experiment

import (
	"fmt"
	"time"
)

const (
	// routingDuration is the virtual time of one run: about 26,000 to 109,000 requests.
	routingDuration = 30 * time.Second
	routingDeadline = 2 * time.Second
	// routingGraySlowdown is the slowdown of the one server with a gray failure.
	routingGraySlowdown = 5.0
)

// routingPolicies differ only in server selection and hedging. All retry refused requests
// up to twice within the same budget.
var routingPolicies = []trafficPolicy{
	{name: "p2c-reported", chooser: choosePowerOfTwo, retries: 2, budgeted: true},
	{name: "p2c-reported-hedge", chooser: choosePowerOfTwo, retries: 2, budgeted: true, hedge: true},
	{name: "round-robin", chooser: chooseRoundRobin, retries: 2, budgeted: true},
	{name: "least-outstanding", chooser: chooseLeastOutstanding, retries: 2, budgeted: true},
}

// Routing compares the server selection of package route with round robin and with least
// outstanding requests at the entry node. One of 20 servers is 5 times slower, nothing is
// ejected, and 20 or 500 entry nodes share the servers.
var Routing = Definition{
	Name:    "routing",
	Summary: "server selection compared with round robin and least outstanding requests",
	Run:     func(o Options) (*Table, error) { return runRouting(o.Seed, routingDuration), nil },
	Plot:    trafficPlot("Latency with one gray server of 20", "p99 (ms)", 4),
}

func runRouting(seed uint64, duration time.Duration) *Table {
	table := &Table{Columns: trafficColumns}
	for _, entries := range []int{trafficEntries, largeFleetEntries} {
		for _, policy := range routingPolicies {
			name := fmt.Sprintf("%s-%d-entries", policy.name, entries)
			for _, load := range trafficLoads {
				result := runTraffic(trafficCase{
					seed: seed, policy: policy, entryNodes: entries, load: load, duration: duration,
					deadline: routingDeadline, graySlowdown: routingGraySlowdown,
				})
				addTrafficRow(table, name, load, result)
			}
		}
	}
	return table
}
