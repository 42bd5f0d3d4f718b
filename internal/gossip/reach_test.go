package gossip_test

import (
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against a crashed node that is not detected, and against an old record that
// supersedes the record of the restarted node, even if the clock was set back.
func TestCrashAndRestart(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		old := c.view("a3").Self.Version
		c.kill("a3")
		took := c.within(5*time.Second, "a3 is down everywhere", func() bool { return c.downCount("a3") == len(c.members) })
		c.t.Logf("crash detected everywhere after %v", took)
		c.start("a3", old.Incarnation-1000)
		c.within(5*time.Second, "the restarted node is accepted", func() bool {
			return c.noneDown() && c.converged() && c.view("a3").Self.Version.Newer(old)
		})
	})
}

// Guards against a frozen node that is not detected, and against a node that considers
// others down because it was paused itself.
func TestFreezeAndResume(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		c.net.Freeze("a3", true)
		took := c.within(5*time.Second, "a3 counts as down at the others", func() bool { return c.downCount("a3") == len(c.members)-1 })
		c.t.Logf("freeze detected everywhere after %v", took)
		c.net.Freeze("a3", false)
		c.within(5*time.Second, "nobody is down", c.noneDown)
	})
}

// Guards against a healthy node that counts as down because one observer lost its path to
// it, and against changes that are not routed around the broken path. Either delivery is
// blocked in one direction, or connections dialled by the observer stall.
func TestOneWayCut(t *testing.T) {
	for kind, cut := range map[string]func(c *cluster, from, to string){
		"packets":     func(c *cluster, from, to string) { c.net.Cut(from, to, true) },
		"connections": func(c *cluster, from, to string) { c.net.Stall(from, to, true) },
	} {
		detections := 0
		for _, observer := range []string{"a0", "a1", "a2", "a4", "a5", "a6", "a7"} {
			inCluster(t, 8, func(c *cluster) {
				c.within(5*time.Second, "all nodes know each other", c.converged)
				cut(c, observer, "a3")
				c.never(8*time.Second, "a healthy node counts as down", func() bool { return !c.noneDown() })
				c.update("a3", func(r *fleet.NodeRecord) { r.Leaving = true })
				c.within(2*time.Second, "the change reaches the observer through other nodes", func() bool {
					return c.view(observer).Nodes["a3"].Leaving
				})
				if c.anyPathDown("a3") {
					detections++
				}
			})
		}
		if detections < 3 {
			t.Errorf("%s: %d observers detected the broken path; each node is monitored by 3", kind, detections)
		}
	}
}

// Guards against an observer that lost the path to every other node and takes those nodes
// out of service, although they can still call it.
func TestIsolatedObserver(t *testing.T) {
	inCluster(t, 8, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		for id := range c.members {
			c.net.Stall("a3", id, id != "a3")
		}
		c.never(20*time.Second, "another node counts as down on the reports of the isolated observer", func() bool {
			for id := range c.members {
				if id != "a3" && len(c.view(id).DownNodes) > 0 {
					return true
				}
			}
			return false
		})
		if len(c.view("a1").Nodes["a3"].Unreachable) == 0 {
			c.t.Fatal("the reports of the isolated observer did not reach a1")
		}
	})
}

// Guards against two sides that do not reconnect after a network partition that lasts
// longer than records are kept.
func TestPartitionAndHeal(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		c.kill("a0") // the seed, so that only addresses in tombstones can reconnect the sides
		left, right := c.ids[1:7], c.ids[7:]
		c.net.Partition(left, right, true)
		took := c.within(10*time.Second, "each side counts the other as down", func() bool {
			return c.downCount("a1") == 5 && c.downCount("a7") == 6
		})
		c.t.Logf("partition detected everywhere after %v", took)
		time.Sleep(12 * time.Minute) // longer than records are kept
		if _, ok := c.view("a1").Nodes["a7"]; ok {
			c.t.Fatal("a record was not forgotten")
		}
		c.update("a1", func(r *fleet.NodeRecord) { r.Leaving = true })
		c.net.Partition(left, right, false)
		took = c.within(10*time.Second, "both sides agree", func() bool { return c.converged() && c.noneDown() })
		c.t.Logf("both sides agree %v after the partition healed", took)
	})
}

// Guards against a node that left gracefully but counts as down, and against its record
// being kept too long or coming back.
func TestGracefulLeave(t *testing.T) {
	inCluster(t, 8, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.converged)
		c.update("a3", func(r *fleet.NodeRecord) { r.Leaving, r.Left = true, true })
		time.Sleep(time.Second)
		c.kill("a3")
		c.never(10*time.Second, "a node that left counts as down", func() bool { return c.downCount("a3") > 0 })
		c.within(11*time.Minute, "the record is forgotten", func() bool {
			for id := range c.members {
				if _, ok := c.view(id).Nodes["a3"]; ok {
					return false
				}
			}
			return true
		})
		c.never(11*time.Minute, "the record came back", func() bool {
			_, ok := c.view("a1").Nodes["a3"]
			return ok
		})
	})
}
