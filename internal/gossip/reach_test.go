package gossip_test

import (
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against a dead node that goes unnoticed, and against an old record
// that wins over the restarted node's, even when the clock went back.
func TestDeathAndRestart(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		old := c.view("a3").Self.Version
		c.kill("a3")
		took := c.within(5*time.Second, "a3 is down everywhere", func() bool { return c.downAt("a3") == len(c.members) })
		c.t.Logf("death known everywhere after %v", took)
		c.start("a3", old.Incarnation-1000)
		c.within(5*time.Second, "the restarted node is accepted", func() bool {
			return c.noneDown() && c.agree() && c.view("a3").Self.Version.Newer(old)
		})
	})
}

// Guards against a frozen node that goes unnoticed, and against a node that
// holds others for down because it was paused itself.
func TestFreezeAndWake(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		c.net.Freeze("a3", true)
		took := c.within(5*time.Second, "a3 is down at the others", func() bool { return c.downAt("a3") == len(c.members)-1 })
		c.t.Logf("freeze known everywhere after %v", took)
		c.net.Freeze("a3", false)
		c.within(5*time.Second, "nobody is down", c.noneDown)
	})
}

// Guards against a healthy node that counts as down because one observer lost
// its path to it, by packets or by connections, and against changes that do
// not find a way round the cut.
func TestOneWayCut(t *testing.T) {
	for kind, cut := range map[string]func(c *cluster, from, to string){
		"packets":     func(c *cluster, from, to string) { c.net.Cut(from, to, true) },
		"connections": func(c *cluster, from, to string) { c.net.Stall(from, to, true) },
	} {
		noticed := 0
		for _, observer := range []string{"a0", "a1", "a2", "a4", "a5", "a6", "a7"} {
			inCluster(t, 8, func(c *cluster) {
				c.within(5*time.Second, "all nodes know each other", c.agree)
				cut(c, observer, "a3")
				c.never(8*time.Second, "a healthy node is held for down", func() bool { return !c.noneDown() })
				c.update("a3", func(r *fleet.NodeRecord) { r.Leaving = true })
				c.within(2*time.Second, "the change goes round the cut", func() bool {
					return c.view(observer).Nodes["a3"].Leaving
				})
				if c.pathDownSomewhere("a3") {
					noticed++
				}
			})
		}
		if noticed < 3 {
			t.Errorf("%s: %d observers noticed the broken path, and 3 watch each node", kind, noticed)
		}
	}
}

// Guards against an observer that lost every path and takes the others out of
// service, which can still call it.
func TestIsolatedObserver(t *testing.T) {
	inCluster(t, 8, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		for id := range c.members {
			c.net.Stall("a3", id, id != "a3")
		}
		c.never(20*time.Second, "others believe the isolated observer", func() bool {
			for id := range c.members {
				if id != "a3" && len(c.view(id).DownNodes) > 0 {
					return true
				}
			}
			return false
		})
		if len(c.view("a1").Nodes["a3"].Unreachable) == 0 {
			c.t.Fatal("the isolated observer's list did not reach a1")
		}
	})
}

// Guards against sides that do not find each other again after a split that is
// longer than the time for which records are kept.
func TestSplitAndHeal(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		c.kill("a0") // the seed, so that only remembered addresses join the sides
		left, right := c.ids[1:7], c.ids[7:]
		c.net.Split(left, right, true)
		took := c.within(10*time.Second, "each side holds the other for down", func() bool {
			return c.downAt("a1") == 5 && c.downAt("a7") == 6
		})
		c.t.Logf("split known everywhere after %v", took)
		time.Sleep(12 * time.Minute) // longer than records are kept
		if _, ok := c.view("a1").Nodes["a7"]; ok {
			c.t.Fatal("a record was not forgotten")
		}
		c.update("a1", func(r *fleet.NodeRecord) { r.Leaving = true })
		c.net.Split(left, right, false)
		took = c.within(10*time.Second, "both sides agree", func() bool { return c.agree() && c.noneDown() })
		c.t.Logf("both sides agree %v after healing", took)
	})
}

// Guards against a node that left gracefully and is held for down, or whose
// record stays or comes back.
func TestGracefulLeave(t *testing.T) {
	inCluster(t, 8, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		c.update("a3", func(r *fleet.NodeRecord) { r.Leaving, r.Left = true, true })
		time.Sleep(time.Second)
		c.kill("a3")
		c.never(10*time.Second, "a node that left is held for down", func() bool { return c.downAt("a3") > 0 })
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
