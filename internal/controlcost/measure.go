package controlcost

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Options describe one measurement.
type Options struct {
	// Nodes and Servers are the nodes and the servers attached to each.
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
	// Spacing is the time that the cost of one change is measured for.
	Spacing time.Duration
}

// Cost is the cost of control work for one node.
type Cost struct {
	// Bytes are sent plus received.
	Bytes float64
	// Messages are sent plus received.
	Messages float64
	// CPU is processor time.
	CPU time.Duration
}

// Result holds what was measured. Costs per change exclude the idle cost.
type Result struct {
	Options Options
	// Join is the time from the last start until all nodes know each other.
	Join time.Duration
	// HeapBytes is the heap in use for each node, after a collection.
	HeapBytes float64
	// IdlePerSecond is the cost of one second without changes.
	IdlePerSecond Cost
	// PerConfigChange and PerRecordChange are the costs of one change anywhere.
	PerConfigChange, PerRecordChange Cost
	// ConfigReach and RecordReach are the times until each change was in the
	// view of every node.
	ConfigReach, RecordReach []time.Duration
}

// Run measures. It returns an error if a change does not reach every node.
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
	if r.Join, err = c.await(ctx, joinTimeout, c.converged); err != nil {
		return nil, trace.Wrap(err, "joining")
	}
	time.Sleep(options.Settle)
	r.HeapBytes = heap() / float64(options.Nodes)
	r.IdlePerSecond = c.measure(func() { time.Sleep(options.Idle) }).scale(1 / options.Idle.Seconds())
	if r.ConfigReach, r.PerConfigChange, err = c.repeat(r.IdlePerSecond, func() (time.Duration, error) {
		return c.oneConfigChange(ctx)
	}); err != nil {
		return nil, trace.Wrap(err, "configuration change")
	}
	r.RecordReach, r.PerRecordChange, err = c.repeat(r.IdlePerSecond, func() (time.Duration, error) {
		return c.oneRecordChange(ctx)
	})
	return r, trace.Wrap(err, "record change")
}

// repeat makes the changes, one in each spacing, and returns their times and
// the cost of one above the idle cost.
func (c *cluster) repeat(idle Cost, change func() (time.Duration, error)) (reach []time.Duration, cost Cost, err error) {
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

func (c *cluster) oneConfigChange(ctx context.Context) (time.Duration, error) {
	if err := c.changeConfig(ctx); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.await(ctx, time.Minute, func(n *node) bool {
		return n.board.View().Config.Version >= c.changes
	})
}

func (c *cluster) oneRecordChange(ctx context.Context) (time.Duration, error) {
	origin := c.nodes[len(c.nodes)/2]
	version, err := c.changeRecord(ctx, origin)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return c.await(ctx, time.Minute, func(n *node) bool {
		return !version.Newer(recordVersion(n, origin.id))
	})
}

func recordVersion(n *node, id string) (version fleet.Version) {
	if record, ok := n.board.View().Nodes[id]; ok {
		version = record.Version
	}
	return version
}

// measure returns the cost of one node while f runs.
func (c *cluster) measure(f func()) Cost {
	before, cpu := c.traffic(), processorTime()
	f()
	cost := c.traffic().minus(before)
	cost.CPU = processorTime() - cpu
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

// processorTime is the time that all threads of this process have run.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
