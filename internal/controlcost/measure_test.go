package controlcost

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

var (
	nodes   = flag.Int("nodes", 21, "nodes of TestCost")
	changes = flag.Int("changes", 3, "configuration changes and record changes of TestCost")
)

// Budgets of the design, with the rates of its size.
const (
	bytesPerSecond  = 13_000
	configPerSecond = 980.0 / 86_400
	recordPerSecond = 360.0 * 30 / 86_400
)

// Guards against control traffic beyond the budget and against changes that
// spread too slowly. Time is virtual, so the result does not depend on how busy
// the machine is, except for the processor time, which is only reported.
func TestCost(t *testing.T) {
	var result *Result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var err error
		result, err = Run(ctx, Options{
			Nodes: *nodes, Servers: 11, Stagger: 20 * time.Millisecond, Settle: 5 * time.Second,
			Idle: 20 * time.Second, Changes: *changes, Spacing: 6 * time.Second,
		})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
	})
	idle, config, record := result.IdlePerSecond, result.PerConfigChange, result.PerRecordChange
	bytes := idle.Bytes + configPerSecond*config.Bytes + recordPerSecond*record.Bytes
	cpu := idle.CPU.Seconds() + configPerSecond*config.CPU.Seconds() + recordPerSecond*record.CPU.Seconds()
	t.Logf("%d nodes: joined %v after the last start, heap and stacks %.1f MB a node", *nodes, result.JoinTime, result.HeapBytes/1e6)
	t.Logf("idle: %.0f B/s, %.1f messages/s, CPU %v/s", idle.Bytes, idle.Messages, idle.CPU)
	t.Logf("one configuration change: %.0f B, %.1f messages, CPU %v, reach %v", config.Bytes, config.Messages, config.CPU, result.ConfigPropagation)
	t.Logf("one record change: %.0f B, %.1f messages, CPU %v, reach %v", record.Bytes, record.Messages, record.CPU, result.RecordPropagation)
	t.Logf("day: %.0f B/s, %.3f %% of a core", bytes, 100*cpu)
	if bytes > bytesPerSecond {
		t.Errorf("%.0f B/s exceed the budget of %d", bytes, bytesPerSecond)
	}
	for _, reach := range result.RecordPropagation {
		if reach > 2*time.Second {
			t.Errorf("a record change took %v to reach every node", reach)
		}
	}
	for _, reach := range result.ConfigPropagation {
		if reach > 16*time.Second {
			t.Errorf("a configuration change took %v to reach every node", reach)
		}
	}
}
