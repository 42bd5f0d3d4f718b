package controlcost

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Options configure one measurement.
type Options struct {
	// Nodes is the number of nodes, Servers that of servers attached to each node.
	Nodes, Servers int
	// TCP uses the loopback interface instead of memnet.
	TCP bool
	// Stagger is the time between the starts of two nodes.
	Stagger time.Duration
	// Settle is the time between the start and the first measurement.
	Settle time.Duration
	// Idle is the length of the measurement without changes.
	Idle time.Duration
	// Changes is the number of configuration changes and of record changes.
	Changes int
	// Spacing is the time between two changes, over which the cost of one change is measured.
	Spacing time.Duration
}

// Cost is the cost of the control plane for one node.
type Cost struct {
	// Bytes are sent plus received.
	Bytes float64
	// Messages are sent plus received.
	Messages float64
	// CPU is user and system CPU time.
	CPU time.Duration
}

// Result is the result of a measurement. Costs per change exclude the idle cost.
type Result struct {
	Options Options
	// JoinTime is the time from the last start until all nodes know each other.
	JoinTime time.Duration
	// HeapBytes is the memory of heap and stacks in use per node, after a garbage collection.
	HeapBytes float64
	// IdlePerSecond is the cost of one second without changes.
	IdlePerSecond Cost
	// PerConfigChange and PerRecordChange are the costs of one change anywhere.
	PerConfigChange, PerRecordChange Cost
	// ConfigPropagation and RecordPropagation are the times until each change was in the
	// view of every node.
	ConfigPropagation, RecordPropagation []time.Duration
}

// Run starts the nodes and measures their costs. It returns an error if a change does not reach every node.
func Run(ctx context.Context, options Options) (*Result, error) {
	c, err := startCluster(ctx, options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer c.stop()
	if err := c.changeConfig(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Result{Options: options}
	if r.JoinTime, err = c.waitForAll(ctx, joinTimeout, c.converged); err != nil {
		return nil, trace.Wrap(err, "joining")
	}
	time.Sleep(options.Settle)
	r.HeapBytes = heapAndStackBytes() / float64(options.Nodes)
	r.IdlePerSecond = c.measure(func() { time.Sleep(options.Idle) }).scale(1 / options.Idle.Seconds())
	if r.ConfigPropagation, r.PerConfigChange, err = c.measureChanges(r.IdlePerSecond, func() (time.Duration, error) {
		return c.propagateConfigChange(ctx)
	}); err != nil {
		return nil, trace.Wrap(err, "configuration change")
	}
	r.RecordPropagation, r.PerRecordChange, err = c.measureChanges(r.IdlePerSecond, func() (time.Duration, error) {
		return c.propagateRecordChange(ctx)
	})
	return r, trace.Wrap(err, "record change")
}

// measureChanges makes the changes, one in each spacing, and returns their times and
// the cost of one above the idle cost.
func (c *cluster) measureChanges(idle Cost, change func() (time.Duration, error)) (reach []time.Duration, cost Cost, err error) {
	if c.options.Changes == 0 {
		return nil, Cost{}, nil
	}
	start := time.Now()
	total := c.measure(func() {
		for i := range c.options.Changes {
			var took time.Duration
			if took, err = change(); err != nil {
				return
			}
			reach = append(reach, took)
			time.Sleep(time.Until(start.Add(time.Duration(i+1) * c.options.Spacing)))
		}
	})
	above := total.minus(idle.scale(time.Since(start).Seconds()))
	return reach, above.scale(1 / float64(c.options.Changes)), err
}

func (c *cluster) propagateConfigChange(ctx context.Context) (time.Duration, error) {
	if err := c.changeConfig(ctx); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.waitForAll(ctx, time.Minute, func(n *node) bool {
		return n.board.View().Config.Version >= c.changes
	})
}

func (c *cluster) propagateRecordChange(ctx context.Context) (time.Duration, error) {
	origin := c.nodes[len(c.nodes)/2]
	version, err := c.changeRecord(ctx, origin)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return c.waitForAll(ctx, time.Minute, func(n *node) bool {
		return !version.Newer(recordVersion(n, origin.id))
	})
}

func recordVersion(n *node, id string) (version fleet.Version) {
	if record, ok := n.board.View().Nodes[id]; ok {
		version = record.Version
	}
	return version
}

// measure returns the average cost per node while f runs.
func (c *cluster) measure(f func()) Cost {
	before, cpu := c.traffic(), cpuTime()
	f()
	cost := c.traffic().minus(before)
	cost.CPU = cpuTime() - cpu
	return cost.scale(1 / float64(len(c.nodes)))
}

func (c *cluster) traffic() Cost {
	var total Cost
	for _, n := range c.nodes {
		t := &n.service.Traffic
		total.Bytes += float64(t.SentBytes.Load() + t.ReceivedBytes.Load())
		total.Messages += float64(t.SentMessages.Load() + t.ReceivedMessages.Load())
	}
	return total
}

func (c Cost) minus(other Cost) Cost {
	return Cost{Bytes: c.Bytes - other.Bytes, Messages: c.Messages - other.Messages, CPU: c.CPU - other.CPU}
}

func (c Cost) scale(factor float64) Cost {
	return Cost{Bytes: c.Bytes * factor, Messages: c.Messages * factor, CPU: time.Duration(float64(c.CPU) * factor)}
}

// cpuTime is the time that all threads of this process have run.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapAndStackBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
