package gossip_test

import (
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against records that do not reach every node, or not in time: the
// regular exchanges alone take longer.
func TestChangeReachesAll(t *testing.T) {
	inCluster(t, 40, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
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
