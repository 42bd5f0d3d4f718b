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

// maxLimitedAccounts bounds the number of accounts whose request rate one node
// tracks. It is twice the 48,000 accounts of the design target.
const maxLimitedAccounts = 96_000

// sweepInterval is the interval at which expired ledger records, and the load
// data of servers that no longer exist, are removed.
const sweepInterval = 10 * time.Second

// Node is one running proxy node with its listeners and components.
type Node struct {
	config    settings.Node
	telemetry *telemetry.Telemetry
	listeners *listeners
	board     *blackboard.Board
	ledger    *atmostonce.Ledger
	host      *host.Host
	entry     *entry.Entry
	recent    *entry.RecentUsage
	engine    *intentstore.Engine
	detection *controller.Detection
	gossip    *gossip.Service
	client    *platform.Client
	store     platform.Store
	syncer    *confsync.Syncer
	directory *confsync.Directory
	servers   []*http.Server
	// nodeCtx covers the lifetime of the node; cancelNode ends it.
	nodeCtx    context.Context
	cancelNode context.CancelFunc
	// callerRequests and forwardedRequests count the requests in flight, from
	// arrival to the end of the response: those of callers and those that other
	// nodes forward.
	callerRequests, forwardedRequests atomic.Int64
	// callerBodies bounds the memory held by the bodies of callers' requests.
	callerBodies *limit.Memory
}

// New assembles a node and opens its listeners.
func New(config settings.Node, t *telemetry.Telemetry) (*Node, error) {
	l, err := listen(config.Listen, config.Limits)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{config: config, telemetry: t, listeners: l, callerBodies: limit.NewMemory(config.Limits.BodyMemory)}
	n.nodeCtx, n.cancelNode = context.WithCancel(context.Background())
	if err := n.build(); err != nil {
		n.cancelNode()
		l.close()
		return nil, trace.Wrap(err)
	}
	return n, nil
}

func (n *Node) build() error {
	self := n.initialRecord()
	n.board = blackboard.New(self)
	n.client = platform.NewClient(n.config.Platform.URL, platform.ClientOptions{Timeout: n.config.Platform.Timeout})
	n.store = &instrumentedStore{store: n.client, metrics: n.telemetry.Metrics}
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
	n.buildConfigSync()
	n.buildRoles()
	return nil
}

// buildConfigSync sets up the synchronisation of the configuration with the
// platform and with peers.
func (n *Node) buildConfigSync() {
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

// initialRecord returns the record of the node before any server is attached.
func (n *Node) initialRecord() fleet.NodeRecord {
	advertise := n.config.Advertise
	return fleet.NodeRecord{
		ID:          n.config.ID,
		Region:      n.config.Region,
		DataCentre:  n.config.DataCentre,
		Version:     fleet.Version{Incarnation: uint64(time.Now().UnixNano()), Sequence: 1},
		CallerAddr:  advertisedAddr(advertise.Caller, n.listeners.caller),
		TrafficAddr: advertisedAddr(advertise.Traffic, n.listeners.traffic),
		ControlAddr: advertisedAddr(advertise.Control, n.listeners.control),
		AdminAddr:   advertisedAddr(advertise.Admin, n.listeners.admin),
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
	n.recent = entry.NewRecentUsage()
	n.engine = intentstore.New(n.store, intentstore.Options{OnChange: n.syncer.Accept})
	n.gossip.Handle(methodTraffic, n.handleTraffic)
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
		RecentUsage:     n.recent,
		Accounts:        admit.NewAccountLimiter(maxLimitedAccounts),
		PathEvents:      n.detection,
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
		controller.NewIntents(n.nodeCtx, n.engine, n.board.View, controller.IntentsOptions{OnStep: n.reportStep}),
		&metricsUpdater{node: n, violations: map[string]int{}},
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
		newServer(n.countInFlight(&n.callerRequests, n.callerBodies.Handler(n.entry)), limits, limits.HeaderBytes, requestTime),
		// A forwarding node adds its own headers to those of the caller. Forwarded
		// bodies have a separate memory limit, so that callers cannot starve the
		// requests of other nodes.
		newServer(n.countInFlight(&n.forwardedRequests, limit.NewMemory(limits.BodyMemory).Handler(traffic)), limits, 2*limits.HeaderBytes, requestTime),
		newServer(attachments.Handler(), limits, limits.HeaderBytes, limits.WriteTime),
		newServer(n.adminHandler(), limits, limits.HeaderBytes, limits.WriteTime),
	}
}

// countInFlight wraps handler to count its requests in flight, which a graceful
// stop waits for.
func (n *Node) countInFlight(inFlight *atomic.Int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// Run serves until stop is closed, then stops gracefully. If ctx is cancelled, it
// stops without draining.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	defer n.cancelNode()
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
