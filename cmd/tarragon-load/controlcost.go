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

// Rates of the size to design for, per second in the whole fleet.
const (
	configChangesPerSecond = 980.0 / 86_400
	// recordChangesPerSecond allows 30 changes of a record for each of 360
	// restarts a day: one for each of 11 servers that stop and start, and some
	// for the node itself.
	recordChangesPerSecond = 360.0 * 30 / 86_400
	// packetBytes is the size of the Ethernet, IP and TCP headers of the packet
	// that carries a message, and of half an acknowledgement.
	packetBytes = 66 + 33
)

// controlCostCommand holds the options of "tarragon-load control-cost".
type controlCostCommand struct {
	Nodes   int           `long:"nodes" default:"21" description:"nodes in this process"`
	Servers int           `long:"servers" default:"11" description:"backend servers of each node"`
	Memory  bool          `long:"memory" description:"use an in-memory network instead of TCP on loopback"`
	Stagger time.Duration `long:"stagger" default:"20ms" description:"time between the starts of two nodes"`
	Settle  time.Duration `long:"settle" default:"5s" description:"pause before measuring"`
	Idle    time.Duration `long:"idle" default:"20s" description:"length of the measurement without changes"`
	Changes int           `long:"changes" default:"5" description:"configuration changes and record changes"`
	Spacing time.Duration `long:"spacing" default:"6s" description:"time between two changes"`
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
	return trace.Wrap(printCost(result))
}

func printCost(r *controlcost.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "nodes\t%d\n", r.Options.Nodes)
	fmt.Fprintf(w, "joined after the last start\t%v\n", r.JoinTime.Round(time.Millisecond))
	fmt.Fprintf(w, "memory of each node\t%.1f MB\n", r.HeapBytes/1e6)
	printOne(w, "idle, per second", r.IdlePerSecond)
	printOne(w, "one configuration change", r.PerConfigChange)
	printOne(w, "one record change", r.PerRecordChange)
	day := controlcost.Cost{
		Bytes:    average(r, func(c controlcost.Cost) float64 { return c.Bytes }),
		Messages: average(r, func(c controlcost.Cost) float64 { return c.Messages }),
		CPU:      time.Duration(average(r, func(c controlcost.Cost) float64 { return float64(c.CPU) })),
	}
	printOne(w, "average of the design day, per second", day)
	fmt.Fprintf(w, "with packet headers, per second\t%.0f B\n", day.Bytes+day.Messages*packetBytes)
	fmt.Fprintf(w, "share of a core\t%.3f %%\n", 100*day.CPU.Seconds())
	fmt.Fprintf(w, "configuration change at every node after\t%v\n", rounded(r.ConfigPropagation))
	fmt.Fprintf(w, "record change at every node after\t%v\n", rounded(r.RecordPropagation))
	return w.Flush()
}

func printOne(w *tabwriter.Writer, name string, cost controlcost.Cost) {
	fmt.Fprintf(w, "%s\t%.0f B\t%.1f messages\t%v CPU\n", name, cost.Bytes, cost.Messages, cost.CPU.Round(time.Microsecond))
}

func average(r *controlcost.Result, part func(controlcost.Cost) float64) float64 {
	return part(r.IdlePerSecond) + configChangesPerSecond*part(r.PerConfigChange) +
		recordChangesPerSecond*part(r.PerRecordChange)
}

func rounded(times []time.Duration) []time.Duration {
	times = slices.Clone(times)
	for i := range times {
		times[i] = times[i].Round(time.Millisecond)
	}
	return times
}
