package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/registration"
	"github.com/tarragonford/tarragonford/internal/route"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// serverDialTimeout bounds a connection to the own server, which is on the
	// same instance.
	serverDialTimeout = time.Second
	// idlePerServer bounds the kept connections.
	idlePerServer = 32
	// maxAnswer bounds an answer in bytes, which a node holds whole.
	maxAnswer = 16 << 20
	// headerTime bounds the arrival of a header.
	headerTime = 10 * time.Second
	// callerIdleTime bounds an idle connection of a caller. It exceeds the
	// limits that configurations set, so that no caller's kept connection is
	// closed under its next request.
	callerIdleTime = 3 * time.Minute
	// maxHead bounds the head of a request and, between nodes, of an answer. It
	// leaves room for the head of a server's answer and the headers of a hop.
	maxHead = 2 * httpconn.MaxHeaderBytes
	// bodyShare is the part of the memory of the process that bodies may take, and
	// standardBodies what they may take where that is not known, in bytes.
	bodyShare      = 0.25
	standardBodies = 64 << 20
	// sweepInterval is the time between two removals of idle connections and of
	// what is known of nodes that are gone.
	sweepInterval = 2 * time.Second
)

// Parts are what the adapter to the platform gives a node.
type Parts struct {
	Settings      Settings
	Source        Source
	Configuration Configuration
	Headers       Headers
	// RequestIDHeader names the request in the answers of servers.
	RequestIDHeader string
	// ReadyHandler and RegistrationHandler serve the calls of the platform and
	// of the own server.
	ReadyHandler        func(ready func() bool) http.Handler
	RegistrationHandler func(node *Node) http.Handler
	Telemetry           *telemetry.Telemetry
}

// Node is the process.
type Node struct {
	parts    Parts
	settings Settings
	log      *zap.Logger
	board    *Board
	gate     *gate.Gate
	picker   *pick.Picker
	splitter *route.Splitter
	servers  *httpconn.Pool
	peers    *peerClient
	syncer   *syncer
	entry    *entry
	beacons  *beacons
	// bodies bounds the memory of all bodies.
	bodies *limit.BodyMemory
	// lifetime ends with the process.
	lifetime context.Context
	end      context.CancelFunc
	// callers and hops count the requests in flight.
	callers, hops atomic.Int64
}

// New builds a node.
func New(parts Parts) *Node {
	s := parts.Settings
	n := &Node{parts: parts, settings: s, log: parts.Telemetry.Log}
	n.beacons = &beacons{dirty: make(chan struct{}, 1), table: beacon.NewTable()}
	n.gate = gate.New(time.Now(), n.beacons.changed)
	n.lifetime, n.end = context.WithCancel(context.Background())
	self := Member{ID: s.Node, Addr: s.Inbound, Beacon: s.Beacon, DataCentre: s.DataCentre, Region: s.Region, Service: s.Service}
	n.board = NewBoard(self, n.changed)
	if !s.FirstStart {
		n.board.state.registry.AwaitDepartures()
	}
	n.picker = pick.New(s.DataCentre, s.Region)
	n.splitter = route.NewSplitter()
	n.servers = httpconn.NewPool(httpconn.Options{
		DialTimeout:     serverDialTimeout,
		IdleTimeout:     repeatableIdle,
		MaxIdlePerAddr:  idlePerServer,
		MaxResponseBody: maxAnswer,
		IDHeader:        parts.RequestIDHeader,
	})
	n.peers = newPeerClient()
	n.bodies = limit.NewBodyMemory(bodyMemory(s))
	n.syncer = &syncer{
		self: self, settings: s, board: n.board, source: parts.Source,
		configuration: parts.Configuration, peers: n.peers, log: n.log, random: rand.Float64,
		turn: n.beacons, readConfiguration: make(chan struct{}, 1),
	}
	n.entry = &entry{
		settings: s, board: n.board, picker: n.picker, splitter: n.splitter, peers: n.peers,
		headers: parts.Headers, log: n.log, telemetry: parts.Telemetry, bodies: n.bodies,
		onVersion: n.heard, sizes: answerSizes{mean: map[string]float64{}},
		host: &host{
			board: n.board, gate: n.gate, pool: n.servers, headers: parts.Headers, addr: s.ServerAddr,
			log: n.log, telemetry: parts.Telemetry, onForeign: n.forget,
		},
	}
	n.beacons.self, n.beacons.board, n.beacons.gate, n.beacons.picker = self, n.board, n.gate, n.picker
	n.beacons.log = n.log
	n.beacons.onVersions = func(configuration, members uint64, addr string) {
		n.syncer.heard(n.lifetime, configuration, members, addr)
	}
	n.beacons.follows = n.syncer.follows
	n.beacons.onLoad = func() { n.entry.host.judge("", gate.None) }
	return n
}

// bodyMemory returns what all bodies together may take in bytes.
func bodyMemory(s Settings) int64 {
	if s.Memory <= 0 {
		return standardBodies
	}
	return int64(bodyShare * float64(s.Memory))
}

// heard takes the configuration version that a node told with a hop.
func (n *Node) heard(version uint64, addr string) { n.syncer.heard(n.lifetime, version, 0, addr) }

// changed follows a change of the control state. It runs on the control
// goroutine.
func (n *Node) changed(before, after *View) {
	if before.MembersNewest != after.MembersNewest {
		n.beacons.changed()
	}
	if before.Config != after.Config {
		n.splitter.Reset()
		// Beacons tell the version to nodes that the store has not told.
		n.beacons.changed()
		n.parts.Telemetry.Metrics.ConfigVersion.Set(int64(after.Config.Version))
	}
	n.logChanges(before, after)
	if before.Roster != after.Roster || before.MembersKnown() != after.MembersKnown() {
		n.shareRepeats(after)
	}
	if before.Server == after.Server {
		return
	}
	now := time.Now()
	fresh := before.Server.Incarnation != after.Server.Incarnation
	if after.Server.Leaving || after.Server.Unconfirmed {
		n.gate.Close()
	} else {
		n.gate.Open(now, after.Server.Slots, after.Server.WarmUntil, fresh)
	}
	if fresh || before.Server.Leaving != after.Server.Leaving {
		n.log.Info("server",
			zap.String("server", after.Server.ID), zap.Int64("born", after.Server.StartedMs),
			zap.Bool("leaving", after.Server.Leaving), zap.Int("slots", after.Server.Slots))
	}
	if after.Server.Leaving && (fresh || !before.Server.Leaving) {
		go n.syncer.saveLeft(n.lifetime, after.Server.Incarnation)
	}
}

// maxListed bounds the nodes that one log line names.
const maxListed = 10

// logChanges writes what the node now believes of itself and of other nodes.
func (n *Node) logChanges(before, after *View) {
	if before.Ready() != after.Ready() {
		n.log.Info("ready", zap.Bool("ready", after.Ready()), zap.Uint64("config", after.version()),
			zap.Bool("members_known", after.MembersKnown()), zap.Bool("leaving", after.Leaving))
	}
	if before.Roster == after.Roster {
		return
	}
	for _, id := range after.misaddressed {
		n.log.Error("address for beacons not understood", zap.String("node", id))
	}
	joined, left := missing(after.Members, before.Members), missing(before.Members, after.Members)
	if len(joined)+len(left) > 0 {
		n.log.Info("members changed", zap.Strings("joined", joined[:min(len(joined), maxListed)]),
			zap.Strings("left", left[:min(len(left), maxListed)]), zap.Int("members", len(after.Members)))
	}
}

// missing returns the IDs of the members that are not among others, sorted.
func missing(members, others map[string]Member) []string {
	var ids []string
	for id := range members {
		if _, ok := others[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

const (
	// budgetMargin is the part of the retry ratio that is used. The requests of a
	// window leave it before the repeats that they allowed.
	budgetMargin = 0.85
	// allowanceShare is the part of the retry allowance that a process uses, and
	// startShare what it has at once: when all processes end, the servers fail a
	// share of the first requests that no process knows of, and the next ones must
	// not exceed the allowance together with the last.
	allowanceShare = 0.7
	startShare     = 1 - allowanceShare
)

// shareRepeats gives the gate its part of the service's retry budget.
func (n *Node) shareRepeats(view *View) {
	terms := gate.RetryBudget{Ratio: n.settings.RetryRatio * budgetMargin, Window: n.settings.RetryWindow}
	if pool := view.Services[n.settings.Service]; pool != nil && view.MembersKnown() {
		part := n.settings.RetryAllowance / float64(len(pool.Members))
		terms.Allowance, terms.Initial = part*allowanceShare, part*startShare
	}
	n.gate.SetRetryBudget(terms)
}

// registrationTime bounds the wait of a report for the control goroutine.
const registrationTime = 500 * time.Millisecond

// TakeConfiguration puts an encoded configuration in force if it is newer than
// the current one.
func (n *Node) TakeConfiguration(document []byte) { n.syncer.takeDocument(document, "call") }

// Heartbeat takes a report of the own server.
func (n *Node) Heartbeat(report registration.Report) bool {
	taken := false
	ctx, cancel := context.WithTimeout(n.lifetime, registrationTime)
	defer cancel()
	err := n.board.Do(ctx, func(s *state) { taken = s.heartbeat(time.Now(), report) })
	if err != nil || !taken {
		n.log.Warn("report not taken", zap.String("server", report.ID), zap.Uint64("sequence", report.Sequence), zap.Error(err))
	}
	return err == nil && taken
}

// Deregister takes the leave of a server.
func (n *Node) Deregister(id string, born int64) bool {
	ctx, cancel := context.WithTimeout(n.lifetime, registrationTime)
	defer cancel()
	err := n.board.Do(ctx, func(s *state) { s.registry.Deregister(id, born) })
	if err != nil {
		n.log.Warn("leave not taken", zap.String("server", id), zap.Error(err))
	}
	return err == nil
}

// forget drops an incarnation whose address belongs to another one.
func (n *Node) forget(incarnation registration.Incarnation) {
	n.log.Warn("another server has the address", zap.String("server", incarnation.ID))
	n.board.posts <- func(s *state) { s.registry.MarkDeparted(incarnation) }
}

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (n *Node) ConfigVersion() uint64 { return n.board.View().version() }

// Close ends Run at once, as a crash would.
func (n *Node) Close() { n.end() }

// Run serves until stop yields a value, then stops gracefully. Further values change
// nothing.
func (n *Node) Run(stop <-chan struct{}) error {
	defer n.end()
	servers, listeners, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := n.beacons.open(); err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(n.lifetime)
	group.Go(n.beacons.receive)
	group.Go(func() error { n.beacons.run(ctx); return nil })
	for i := range servers {
		group.Go(func() error {
			if err := servers[i].Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return trace.Wrap(err)
			}
			return nil
		})
	}
	group.Go(func() error { n.board.Run(ctx); return nil })
	group.Go(func() error { n.syncer.followConfiguration(ctx); return nil })
	group.Go(func() error { n.syncer.followMembers(ctx); return nil })
	group.Go(func() error { n.sweep(ctx); return nil })
	go n.syncer.restoreLeft(ctx)
	group.Go(func() error {
		select {
		case <-stop:
			n.drain(ctx).close(ctx, servers)
		case <-ctx.Done():
		}
		for _, server := range servers {
			server.Close()
		}
		n.beacons.conn.Close()
		n.end()
		return nil
	})
	n.log.Info("started", zap.String("outbound", n.settings.Outbound), zap.String("inbound", n.settings.Inbound),
		zap.String("server_service", n.settings.Service), zap.Bool("first_start", n.settings.FirstStart),
		zap.String("metrics", n.settings.Metrics))
	return group.Wait()
}

// pathMetrics serves the counters and histograms.
const pathMetrics = "/metrics"

// handled is the handler of a listener.
type handled struct {
	addr    string
	handler http.Handler
}

func (n *Node) listen() ([]*http.Server, []net.Listener, error) {
	hop := &inbound{host: n.entry.host, service: n.settings.Service, maxBody: maxAnswer, bodies: n.bodies, headers: n.parts.Headers, onVersion: n.heard}
	handlers := []handled{
		{n.settings.Outbound, counted(&n.callers, n.bodies.Handler(n.entry))},
		{n.settings.Inbound, counted(&n.hops, n.bodies.Handler(hop))},
		{n.settings.Ready, n.parts.ReadyHandler(func() bool { return n.board.View().Ready() })},
		{n.settings.Registration, n.parts.RegistrationHandler(n)},
	}
	if n.settings.Metrics != "" {
		router := mux.NewRouter()
		router.Handle(pathMetrics, n.parts.Telemetry.MetricsHandler()).Methods(http.MethodGet)
		handlers = append(handlers, handled{n.settings.Metrics, router})
	}
	var servers []*http.Server
	var listeners []net.Listener
	for _, h := range handlers {
		listener, err := net.Listen("tcp", h.addr)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, nil, trace.Wrap(err)
		}
		listeners = append(listeners, listener)
		server := &http.Server{
			Handler: h.handler, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdleTime,
			MaxHeaderBytes: maxHead,
			ErrorLog:       zap.NewStdLog(n.log), Protocols: new(http.Protocols),
		}
		server.Protocols.SetHTTP1(h.addr != n.settings.Inbound)
		server.Protocols.SetUnencryptedHTTP2(h.addr == n.settings.Inbound)
		servers = append(servers, server)
	}
	return servers, listeners, nil
}

func counted(inFlight *atomic.Int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.servers.Prune(now)
			n.parts.Telemetry.ReportLeftOut()
			members := n.board.View().Members
			n.picker.Retain(func(id string) bool { _, ok := members[id]; return ok })
		}
	}
}
