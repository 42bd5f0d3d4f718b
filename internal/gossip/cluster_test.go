package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gossip"
	"github.com/tarragonford/tarragonford/internal/memnet"
)

const testSecret = "secret of the tests"

// member is one node of a test cluster: a blackboard with the membership controller, and
// the gossip service.
type member struct {
	board   *blackboard.Board
	service *gossip.Service
	stop    context.CancelFunc
}

// cluster is a set of members on an in-memory network. The host name of a member is its
// node ID.
type cluster struct {
	t       *testing.T
	net     *memnet.Network
	members map[string]*member
	ids     []string
}

// inCluster runs f in virtual time with n running nodes that all have a0 as their seed.
func inCluster(t *testing.T, n int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		delay := func(string, string) time.Duration { return 1500 * time.Microsecond }
		c := &cluster{t: t, net: memnet.New(delay), members: map[string]*member{}}
		defer c.stop()
		for i := range n {
			id := fmt.Sprintf("a%d", i)
			c.ids = append(c.ids, id)
			c.start(id, uint64(time.Now().UnixNano()))
		}
		f(c)
	})
}

func (c *cluster) stop() {
	for _, m := range c.members {
		m.stop()
	}
}

func (c *cluster) start(id string, incarnation uint64) {
	c.t.Helper()
	self := fleet.NodeRecord{
		ID: id, ControlAddr: id, Version: fleet.Version{Incarnation: incarnation},
		Servers: []fleet.ServerRecord{{ID: "server-" + id, Service: "s", Slots: 6}},
	}
	listener, err := c.net.Listen(id)
	if err != nil {
		c.t.Fatal(err)
	}
	service, err := gossip.New(gossip.Options{
		Self: self, Secret: testSecret, Listener: listener, Dial: c.net.Dialer(id), Seeds: []string{"a0"},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	board := blackboard.New(self)
	board.Add(controller.NewMembership(service))
	c.members[id] = &member{board: board, service: service, stop: cancel}
	go board.Run(ctx)
	go service.Run(ctx)
}

// kill stops a node abruptly, as a crash would.
func (c *cluster) kill(id string) {
	c.members[id].stop()
	c.net.Reset(id)
	delete(c.members, id)
	synctest.Wait()
}

// update publishes a change of a node's own record.
func (c *cluster) update(id string, change func(*fleet.NodeRecord)) {
	c.members[id].board.Post(func(e *blackboard.Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool { change(r); return true })
	})
}

// within waits in virtual time until the condition holds, and returns how long that took.
// It fails the test if that takes longer than the limit.
func (c *cluster) within(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// never fails the test if the condition becomes true within the duration.
func (c *cluster) never(duration time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < duration; time.Sleep(50 * time.Millisecond) {
		if condition() {
			c.t.Fatalf("after %v: %s", time.Since(start), what)
		}
	}
}

func (c *cluster) view(id string) *fleet.View { return c.members[id].board.View() }

// converged reports whether every running node has the newest record of every running node.
func (c *cluster) converged() bool {
	for id := range c.members {
		version := c.view(id).Self.Version
		for other := range c.members {
			known, ok := c.view(other).Nodes[id]
			if !ok || known.Version != version {
				return false
			}
		}
	}
	return true
}

// downCount returns the number of running nodes for which id counts as down.
func (c *cluster) downCount(id string) int {
	count := 0
	for other := range c.members {
		if c.view(other).DownNodes[id] {
			count++
		}
	}
	return count
}

// noneDown reports whether no node counts as down or is reported as unreachable.
func (c *cluster) noneDown() bool {
	for id := range c.members {
		if len(c.view(id).DownNodes) > 0 || len(c.view(id).Self.Unreachable) > 0 {
			return false
		}
	}
	return true
}

// anyPathDown reports whether the direct path to id counts as broken at any running node.
func (c *cluster) anyPathDown(id string) bool {
	for other := range c.members {
		service, ok := c.view(other).Services["s"]
		if !ok {
			continue
		}
		for _, candidate := range service.Candidates {
			if candidate.Host.ID == id && candidate.PathDown {
				return true
			}
		}
	}
	return false
}
