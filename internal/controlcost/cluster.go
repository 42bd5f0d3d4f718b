package controlcost

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/confsync"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gossip"
	"github.com/tarragonford/tarragonford/internal/memnet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// services is the number of services that the fleet is designed for.
	services = 270
	// seedNodes is the number of nodes that the others join through.
	seedNodes = 3
	// freezeGap is long, because all nodes share one machine.
	freezeGap = 5 * time.Second
	// joinTimeout is the limit for all nodes to know each other.
	joinTimeout = 3 * time.Minute
)

// node is the control plane of one node.
type node struct {
	id      string
	board   *blackboard.Board
	service *gossip.Service
	stop    context.CancelFunc
}

// cluster is a set of nodes with an in-memory platform.
type cluster struct {
	options Options
	store   *platform.Memory
	network *memnet.Network
	nodes   []*node
	seeds   []string
	changes uint64
}

func startCluster(ctx context.Context, options Options) (*cluster, error) {
	c := &cluster{options: options, store: platform.NewMemory()}
	if !options.TCP {
		c.network = memnet.New(nil)
	}
	for i := range options.Nodes {
		n, err := c.start(ctx, i)
		if err != nil {
			c.stop()
			return nil, trace.Wrap(err)
		}
		c.nodes = append(c.nodes, n)
		// Starting all nodes at once would measure the load of the shared machine instead.
		time.Sleep(options.Stagger)
		if i < seedNodes {
			c.seeds = append(c.seeds, n.board.View().Self.ControlAddr)
		}
	}
	return c, nil
}

func (c *cluster) listen(id string) (net.Listener, gossip.DialFunc, error) {
	if c.network == nil {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		return listener, nil, trace.Wrap(err)
	}
	listener, err := c.network.Listen(id)
	return listener, c.network.Dialer(id), trace.Wrap(err)
}

func (c *cluster) start(ctx context.Context, index int) (*node, error) {
	id := fmt.Sprintf("node-%04d", index)
	listener, dial, err := c.listen(id)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	self := c.record(id, index, listener.Addr().String())
	service, err := gossip.New(gossip.Options{
		Self: self, Secret: "control cost", Listener: listener, Dial: dial, Seeds: c.seeds,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	board := blackboard.New(self)
	syncer := confsync.New(confsync.Options{Self: id, Board: board, Store: c.store, Peers: service})
	service.Handle(confsync.MethodSince, syncer.AnswerSince)
	service.OnConfigVersion(syncer.Hint)
	board.Add(controller.NewMembership(service).WithGate(freezeGap), controller.NewConfiguration(syncer, freezeGap))
	ctx, cancel := context.WithCancel(ctx)
	go board.Run(ctx)
	go func() { _ = service.Run(ctx) }()
	go func() { _ = syncer.Run(ctx) }()
	return &node{id: id, board: board, service: service, stop: cancel}, nil
}

// record returns a node record of realistic size, with IDs, addresses and times as in production.
func (c *cluster) record(id string, index int, addr string) fleet.NodeRecord {
	now := time.Now()
	dataCentre := fmt.Sprintf("data-centre-%d", index%7)
	record := fleet.NodeRecord{
		ID: id, Region: "western", DataCentre: dataCentre,
		Version:    fleet.Version{Incarnation: uint64(now.UnixNano())},
		CallerAddr: "127.0.0.1:8080", TrafficAddr: "127.0.0.1:8081", ControlAddr: addr, AdminAddr: "127.0.0.1:8083",
	}
	for i := range c.options.Servers {
		record.Servers = append(record.Servers, fleet.ServerRecord{
			ID: fmt.Sprintf("server-%04d-%02d", index, i), DataCentre: dataCentre,
			Service:     fmt.Sprintf("service-%03d", (index*c.options.Servers+i)%services),
			Incarnation: uint64(now.UnixNano()), Addr: "127.0.0.1:9000", Slots: 6, ConnLimit: 350,
			Health: fleet.Healthy, HealthSince: now,
		})
	}
	return record
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// waitForAll waits until the condition holds for every node, and returns how long
// that took.
func (c *cluster) waitForAll(ctx context.Context, limit time.Duration, holds func(*node) bool) (time.Duration, error) {
	start := time.Now()
	for i := 0; i < len(c.nodes); {
		if holds(c.nodes[i]) {
			i++
			continue
		}
		if time.Since(start) > limit || ctx.Err() != nil {
			return 0, trace.LimitExceeded("not at every node within %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start), nil
}

// converged reports whether a node knows the newest record of every node.
func (c *cluster) converged(n *node) bool {
	view := n.board.View()
	if len(view.Nodes) < len(c.nodes) || len(view.DownNodes) > 0 || !view.Ready {
		return false
	}
	for _, other := range c.nodes {
		known, ok := view.Nodes[other.id]
		if !ok || known.Version != other.board.View().Self.Version {
			return false
		}
	}
	return true
}

// changeConfig writes one change of one service.
func (c *cluster) changeConfig(ctx context.Context) error {
	c.changes++
	key := fmt.Sprintf("%sservice-%03d", fleet.PrefixService, c.changes%services)
	service, _ := json.Marshal(fleet.Service{Name: key, FloorSlots: int(c.changes), Preset: "trust"})
	change, _ := json.Marshal(fleet.Change{Version: c.changes, Keys: []string{key}, Mark: "mark"})
	counter, _ := json.Marshal(c.changes)
	return trace.Wrap(c.store.Transact(ctx, fleet.Table, nil, []platform.Write{
		{Key: key, Value: service},
		{Key: fleet.ChangeKey(c.changes), Value: change},
		{Key: fleet.KeyCounter, Value: counter},
	}))
}

// changeRecord makes a node publish a new version of its record, as a change of the health of one of
// its servers does.
func (c *cluster) changeRecord(ctx context.Context, n *node) (fleet.Version, error) {
	var version fleet.Version
	err := n.board.Call(ctx, func(e *blackboard.Entries) {
		e.UpdateSelf(func(r *fleet.NodeRecord) bool {
			r.Servers[0].HealthSince = time.Now()
			return true
		})
		version = e.Self().Version
	})
	return version, trace.Wrap(err)
}
