package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/confsync"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/entry"
	"github.com/tarragonford/tarragonford/internal/fence"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gossip"
	"github.com/tarragonford/tarragonford/internal/host"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/route"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// maxLimitedAccounts bounds the accounts whose rate one node tracks, twice the
// 48,000 of the size to design for.
const maxLimitedAccounts = 96_000

// sweepInterval is the time between two removals of expired ledger records and
// of the load of servers that are gone.
const sweepInterval = 10 * time.Second

// Node is the process of one node.
type Node struct {
	config    settings.Node
	telemetry *telemetry.Telemetry
	listeners *listeners
	board     *blackboard.Board
	ledger    *atmostonce.Ledger
	host      *host.Host
	entry     *entry.Entry
	recent    *entry.Recent
	engine    *intentstore.Engine
	detection *controller.Detection
	gossip    *gossip.Service
	client    *platform.Client
	store     platform.Store
	syncer    *confsync.Syncer
	directory *confsync.Directory
	servers   []*http.Server
	// lifetime ends with the process; end ends it.
	lifetime context.Context
	end      context.CancelFunc
	// callers and hops count the requests of callers and of other nodes between
	// arrival and the end of their answer.
	callers, hops atomic.Int64
	// bodies bounds the bodies of callers' requests.
	bodies *limit.Bodies
}

// New builds a node and opens its listeners.
func New(config settings.Node, t *telemetry.Telemetry) (*Node, error) {
	l, err := listen(config.Listen, config.Limits)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{config: config, telemetry: t, listeners: l, bodies: limit.NewBodies(config.Limits.BodyMemory)}
	n.lifetime, n.end = context.WithCancel(context.Background())
	if err := n.build(); err != nil {
		n.end()
		l.close()
		return nil, trace.Wrap(err)
	}
	return n, nil
}

func (n *Node) build() error {
	self := n.firstRecord()
	n.board = blackboard.New(self)
	n.client = platform.NewClient(n.config.Platform.URL, platform.ClientOptions{Timeout: n.config.Platform.Timeout})
	n.store = &countedStore{store: n.client, metrics: n.telemetry.Metrics}
	n.board.OnTick = n.telemetry.Metrics.TickTime.Record
	var err error
	n.gossip, err = gossip.New(gossip.Options{
		Self:        self,
		Secret:      n.config.Secret,
		Listener:    n.listeners.control,
		Seeds:       n.config.Seeds,
		Interval:    n.config.Timing.GossipInterval,
		ForgetAfter: n.config.Timing.ForgetAfter,
		Limits: gossip.Limits{
			MessageBytes: n.config.Limits.MessageBytes,
			MessageTime:  n.config.Limits.MessageTime,
			IdleTime:     n.config.Limits.IdleTime,
			Connections:  n.config.Limits.ControlConnections,
		},
		Log: n.telemetry.Log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	n.buildConfiguration()
	n.buildRoles()
	return nil
}

// buildConfiguration connects the configuration to the platform and to peers.
func (n *Node) buildConfiguration() {
	n.syncer = confsync.New(confsync.Options{
		Self:         n.config.ID,
		Board:        n.board,
		Store:        n.store,
		Peers:        n.gossip,
		PollInterval: n.config.Platform.PollInterval,
		Timeout:      n.config.Platform.Timeout,
		Log:          n.telemetry.Log,
	})
	n.gossip.Handle(confsync.MethodSince, n.syncer.AnswerSince)
	n.gossip.OnConfigVersion(n.syncer.Hint)
	n.directory = confsync.NewDirectory(n.config.ID, n.board.View().Self.ControlAddr, n.store,
		n.config.Platform.Timeout, n.gossip.SetDiscoveredSeeds)
}

// firstRecord describes the node before anything is attached to it.
func (n *Node) firstRecord() fleet.NodeRecord {
	advertise := n.config.Advertise
	return fleet.NodeRecord{
		ID:          n.config.ID,
		Region:      n.config.Region,
		DataCentre:  n.config.DataCentre,
		Version:     fleet.Version{Incarnation: uint64(time.Now().UnixNano()), Sequence: 1},
		CallerAddr:  advertised(advertise.Caller, n.listeners.caller),
		TrafficAddr: advertised(advertise.Traffic, n.listeners.traffic),
		ControlAddr: advertised(advertise.Control, n.listeners.control),
		AdminAddr:   advertised(advertise.Admin, n.listeners.admin),
	}
}

func (n *Node) buildRoles() {
	clock := atmostonce.NewClock()
	n.ledger = atmostonce.NewLedger(atmostonce.Limits{
		Entries:   n.config.Limits.LedgerEntries,
		Bytes:     n.config.Limits.LedgerBytes,
		Retention: n.config.Timing.FenceRetention,
	}, clock)
	signer := atmostonce.NewSigner(n.config.Secret)
	fences := fence.New(n.gossip, n.board, n.ledger)
	n.gossip.Handle(fence.MethodFence, fences.HandleFence)
	n.gossip.Handle(fence.MethodFenceVia, fences.HandleFenceVia)
	n.recent = entry.NewRecent()
	n.engine = intentstore.New(n.store, intentstore.Options{OnChange: n.syncer.Accept})
	n.gossip.Handle(methodTraffic, n.answerTraffic)
	n.detection = controller.NewDetection(controller.DetectionOptions{
		Rand:         newRand(),
		OnTransition: n.reportTransition,
	})
	n.host = host.New(host.Options{
		Viewer:          n.board,
		Ledger:          n.ledger,
		Signer:          signer,
		Events:          n.detection,
		Telemetry:       n.telemetry,
		BufferedAnswer:  n.config.Limits.BufferedAnswer,
		FreezeThreshold: n.config.Timing.FreezeThreshold,
		MaxAnnouncement: n.config.Limits.AnnouncementBytes,
	})
	n.entry = entry.New(entry.Options{
		Viewer:          n.board,
		Local:           n.host,
		Client:          forward.NewClient(forward.Token(n.config.Secret), n.config.Limits.BufferedAnswer),
		Balancer:        entry.NewBalancer(route.New(route.NewLoads())),
		Fencer:          fences,
		Signer:          signer,
		Claims:          entry.NewClaims(n.store),
		Recent:          n.recent,
		Accounts:        admit.NewAccountLimiter(maxLimitedAccounts),
		Paths:           n.detection,
		MaxBody:         n.config.Limits.RequestBody,
		BodyTime:        n.config.Limits.BodyTime,
		AnswerGrace:     n.config.Limits.AnswerGrace,
		MaxDeadline:     n.config.Limits.MaxDeadline,
		KeyLifetime:     n.config.Timing.KeyLifetime,
		FenceRetention:  n.config.Timing.FenceRetention,
		FreezeThreshold: n.config.Timing.FreezeThreshold,
		Telemetry:       n.telemetry,
	})
	attachments := host.NewAttachments(n.host, n.board)
	n.board.Add(
		attachments,
		controller.NewMembership(n.gossip).WithGate(n.config.Timing.FreezeThreshold),
		controller.NewConfiguration(n.syncer, n.config.Timing.FreezeThreshold),
		n.detection,
		controller.NewEjection(n.reportStanding),
		controller.NewIntents(n.lifetime, n.engine, n.board.View, controller.IntentsOptions{OnStep: n.reportStep}),
		&counters{node: n, violations: map[string]int{}},
	)
	n.buildServers(attachments)
}

func (n *Node) buildServers(attachments *host.Attachments) {
	limits := n.config.Limits
	requestTime := limits.BodyTime + limits.MaxDeadline + limits.AnswerGrace
	traffic := &forward.Handler{
		Token:     forward.Token(n.config.Secret),
		MaxBody:   limits.RequestBody,
		Grace:     limits.AnswerGrace,
		Server:    n.host,
		Telemetry: n.telemetry,
	}
	n.servers = []*http.Server{
		newServer(n.counted(&n.callers, n.bodies.Handler(n.entry)), limits, limits.HeaderBytes, requestTime),
		// A hop adds its own headers to those of the caller. Its bodies have a
		// bound of their own, so that callers cannot keep out the other nodes.
		newServer(n.counted(&n.hops, limit.NewBodies(limits.BodyMemory).Handler(traffic)), limits, 2*limits.HeaderBytes, requestTime),
		newServer(attachments.Handler(), limits, limits.HeaderBytes, limits.WriteTime),
		newServer(n.adminHandler(), limits, limits.HeaderBytes, limits.WriteTime),
	}
}

// counted counts the requests of a listener that are in flight, for the
// graceful stop.
func (n *Node) counted(inFlight *atomic.Int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Run serves until stop is closed, then stops gracefully. It ends at once when
// ctx ends.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	defer n.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.board.Run(ctx); return nil })
	group.Go(func() error { return ignoreCancel(n.gossip.Run(ctx)) })
	group.Go(func() error { n.sweep(ctx); return nil })
	group.Go(func() error { return ignoreCancel(n.syncer.Run(ctx)) })
	group.Go(func() error { return ignoreCancel(n.directory.Run(ctx)) })
	for i, listener := range n.httpListeners() {
		server := n.servers[i]
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	}
	group.Go(func() error {
		select {
		case <-stop:
			n.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
		n.closeServers()
		return nil
	})
	n.telemetry.Log.Info("node started", n.addressFields()...)
	return trace.Wrap(group.Wait())
}

func (n *Node) addressFields() []zap.Field {
	return []zap.Field{
		zap.Stringer("caller", n.listeners.caller.Addr()),
		zap.Stringer("traffic", n.listeners.traffic.Addr()),
		zap.Stringer("control", n.listeners.control.Addr()),
		zap.Stringer("attach", n.listeners.attach.Addr()),
		zap.Stringer("admin", n.listeners.admin.Addr()),
	}
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.ledger.Sweep()
			n.entry.Prune()
			n.telemetry.Metrics.LedgerEntries.Set(int64(n.ledger.Len()))
			n.telemetry.Metrics.LedgerBytes.Set(n.ledger.Bytes())
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
