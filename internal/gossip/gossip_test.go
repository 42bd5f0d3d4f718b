package gossip_test

import (
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against changes that do not reach every node in time. The periodic exchanges
// alone, without flooding, take longer than the limit.
func TestChangeReachesAll(t *testing.T) {
	inCluster(t, 40, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		time.Sleep(time.Second)
		c.update("a5", func(r *fleet.NodeRecord) { r.Servers[0].Health = fleet.Ejected })
		c.within(600*time.Millisecond, "the change is known everywhere", func() bool {
			for id := range c.members {
				if c.view(id).Nodes["a5"].Servers[0].Health != fleet.Ejected {
					return false
				}
			}
			return true
		})
	})
}
