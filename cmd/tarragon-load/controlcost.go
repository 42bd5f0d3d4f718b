package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/controlcost"
)

// Rates of changes at the design size, per second in the whole fleet.
const (
	configChangesPerSecond = 980.0 / 86_400
	// recordChangesPerSecond assumes 360 restarts a day with 30 changes of the
	// node's record each: one for every stop and start of 11 servers, and some
	// for the node itself.
	recordChangesPerSecond = 360.0 * 30 / 86_400
	// packetBytes is the overhead of a message in bytes: the Ethernet, IP and TCP
	// headers of its packet, and half an acknowledgement.
	packetBytes = 66 + 33
)

// controlCostCommand holds the options of "tarragon-load control-cost".
type controlCostCommand struct {
	Nodes   int           `long:"nodes" default:"21" description:"nodes to run in this process"`
	Servers int           `long:"servers" default:"11" description:"backend servers on each node"`
	Memory  bool          `long:"memory" description:"use an in-memory network instead of TCP on loopback"`
	Stagger time.Duration `long:"stagger" default:"20ms" description:"interval between node starts"`
	Settle  time.Duration `long:"settle" default:"5s" description:"pause before measuring"`
	Idle    time.Duration `long:"idle" default:"20s" description:"duration of the measurement without changes"`
	Changes int           `long:"changes" default:"5" description:"number of configuration changes and of record changes"`
	Spacing time.Duration `long:"spacing" default:"6s" description:"interval between changes"`
}

// Execute implements flags.Commander.
func (c *controlCostCommand) Execute([]string) error {
	result, err := controlcost.Run(context.Background(), controlcost.Options{
		Nodes: c.Nodes, Servers: c.Servers, TCP: !c.Memory, Stagger: c.Stagger,
		Settle: c.Settle, Idle: c.Idle, Changes: c.Changes, Spacing: c.Spacing,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(printResult(result))
}

func printResult(r *controlcost.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "nodes\t%d\n", r.Options.Nodes)
	fmt.Fprintf(w, "joined after the last start\t%v\n", r.JoinTime.Round(time.Millisecond))
	fmt.Fprintf(w, "memory of each node\t%.1f MB\n", r.HeapBytes/1e6)
	printCostRow(w, "idle, per second", r.IdlePerSecond)
	printCostRow(w, "one configuration change", r.PerConfigChange)
	printCostRow(w, "one record change", r.PerRecordChange)
	day := controlcost.Cost{
		Bytes:    designDayAverage(r, func(c controlcost.Cost) float64 { return c.Bytes }),
		Messages: designDayAverage(r, func(c controlcost.Cost) float64 { return c.Messages }),
		CPU:      time.Duration(designDayAverage(r, func(c controlcost.Cost) float64 { return float64(c.CPU) })),
	}
	printCostRow(w, "average of the design day, per second", day)
	fmt.Fprintf(w, "with packet headers, per second\t%.0f B\n", day.Bytes+day.Messages*packetBytes)
	fmt.Fprintf(w, "share of a core\t%.3f %%\n", 100*day.CPU.Seconds())
	fmt.Fprintf(w, "configuration change at every node after\t%v\n", roundToMilliseconds(r.ConfigPropagation))
	fmt.Fprintf(w, "record change at every node after\t%v\n", roundToMilliseconds(r.RecordPropagation))
	return w.Flush()
}

func printCostRow(w *tabwriter.Writer, name string, cost controlcost.Cost) {
	fmt.Fprintf(w, "%s\t%.0f B\t%.1f messages\t%v CPU\n", name, cost.Bytes, cost.Messages, cost.CPU.Round(time.Microsecond))
}

// designDayAverage returns the cost per second averaged over a day at the design size.
func designDayAverage(r *controlcost.Result, part func(controlcost.Cost) float64) float64 {
	return part(r.IdlePerSecond) + configChangesPerSecond*part(r.PerConfigChange) +
		recordChangesPerSecond*part(r.PerRecordChange)
}

func roundToMilliseconds(times []time.Duration) []time.Duration {
	times = slices.Clone(times)
	for i := range times {
		times[i] = times[i].Round(time.Millisecond)
	}
	return times
}
