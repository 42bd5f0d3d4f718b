package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gossip"
)

// Guards against records that do not reach every node, or not in time.
func TestChangeReachesAll(t *testing.T) {
	inCluster(t, 12, func(c *cluster) {
		c.within(5*time.Second, "all nodes know each other", c.agree)
		time.Sleep(time.Second)
		c.update("a5", func(r *fleet.NodeRecord) { r.Servers[0].Health = fleet.Ejected })
		c.within(2*time.Second, "the change is known everywhere", func() bool {
			for id := range c.members {
				if c.view(id).Nodes["a5"].Servers[0].Health != fleet.Ejected {
					return false
				}
			}
			return true
		})
	})
}

// Guards against peers that do not know the secret, over real TCP, and against
// a service that cannot call itself by address.
func TestSecretOverTCP(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := func(id, secret string) (*gossip.Service, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := listener.Addr().String()
		service, err := gossip.New(gossip.Options{
			Self: fleet.NodeRecord{ID: id, ControlAddr: addr}, Secret: secret, Listener: listener,
		})
		if err != nil {
			t.Fatal(err)
		}
		go service.Run(ctx)
		return service, addr
	}
	good, _ := start("good", testSecret)
	bad, badAddr := start("bad", "another")
	_, addr := start("other", testSecret)
	var result struct{ ID string }
	params := map[string]string{"from": "test"}
	if id, err := good.CallAddr(ctx, addr, "gossip.probe", params, &result); err != nil || id != "other" {
		t.Fatalf("probe with the right secret: %q, %v", id, err)
	}
	if _, err := good.CallAddr(ctx, badAddr, "gossip.probe", params, &result); err == nil {
		t.Fatal("an acceptor without the secret was believed")
	}
	if _, err := bad.CallAddr(ctx, addr, "gossip.probe", params, &result); err == nil {
		t.Fatal("a dialler without the secret was served")
	}
}
