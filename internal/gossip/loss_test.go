package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// fault is a temporary network fault: two nodes lose their connections, traffic between
// them is blocked, or one node is frozen.
type fault struct {
	from, to string
	kind     int
	duration time.Duration
}

// Guards against changes that stay lost after messages or responses were lost, and
// against healthy nodes that still count as down after the faults have ended.
func TestLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		node := rapid.Map(rapid.IntRange(0, 4), func(i int) string { return fmt.Sprintf("a%d", i) })
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				from: node.Draw(rt, "from"), to: node.Draw(rt, "to"), kind: rapid.IntRange(0, 3).Draw(rt, "kind"),
				duration: time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 10, 10).Draw(rt, "faults")
		inCluster(t, 5, func(c *cluster) {
			for _, f := range faults {
				c.apply(f, true)
				c.update(f.to, func(r *fleet.NodeRecord) { r.Servers[0].Slots++ })
				c.update(f.from, func(r *fleet.NodeRecord) { r.CallerAddr += "x" })
				time.Sleep(f.duration)
				c.apply(f, false)
			}
			c.within(6*time.Second, fmt.Sprintf("all nodes agree after %v", faults), func() bool { return c.converged() && c.noneDown() })
		})
	})
}

func (c *cluster) apply(f fault, on bool) {
	switch f.kind {
	case 0:
		c.net.Cut(f.from, f.to, on)
	case 1:
		c.net.Stall(f.from, f.to, on)
	case 2:
		c.net.Freeze(f.to, on)
	default:
		c.net.Break(f.from, f.to)
	}
}
