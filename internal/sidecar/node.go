package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/registration"
	"github.com/tarragonford/tarragonford/internal/route"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// serverDialTimeout bounds connecting to the local server, which runs on the same instance.
	serverDialTimeout = time.Second
	// idlePerServer bounds the idle connections that are kept.
	idlePerServer = 32
	// maxResponse bounds the size of a response in bytes. A node buffers responses completely.
	maxResponse = 16 << 20
	// headerReadTimeout bounds the time to receive a request header. It exceeds the limits that
	// configurations set; when connections are short, slow headers give way sooner.
	headerReadTimeout = 30 * time.Second
	// callerIdleTimeout bounds the idle time of a caller's connection. It exceeds the limits that
	// configurations set, so that a kept connection is not closed just as the caller sends its
	// next request.
	callerIdleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds the header of a request and, between nodes, of a response. It leaves
	// room for the headers of a server response plus the hop headers.
	maxHeaderBytes = 2 * httpconn.MaxHeaderBytes
	// sweepInterval is the time between two removals of idle connections and of data about nodes
	// that have been removed.
	sweepInterval = 2 * time.Second
)

// Dependencies are provided by the platform adapter.
type Dependencies struct {
	Settings      Settings
	Source        Source
	Configuration Configuration
	Headers       Headers
	// RequestIDHeader is the header that carries the request ID in server responses.
	RequestIDHeader string
	// ReadyHandler serves the platform's readiness probes, RegistrationHandler the registration
	// calls of the local server.
	ReadyHandler        func(ready func() bool) http.Handler
	RegistrationHandler func(node *Node) http.Handler
	Telemetry           *telemetry.Telemetry
}

// Node is one sidecar process.
type Node struct {
	deps     Dependencies
	settings Settings
	log      *zap.Logger
	control  *ControlLoop
	gate     *gate.Gate
	picker   *pick.Picker
	splitter *route.Splitter
	servers  *httpconn.Pool
	peers    *peerClient
	syncer   *syncer
	entry    *entry
	beacons  *beacons
	// departures saves the departures of the local server.
	departures *departureKeeper
	// status sends status requests to the local server.
	status *http.Client
	// confirmations is nil unless keys must be refused when their age is unknown.
	confirmations *confirmations
	// memory bounds what the node holds for its clients.
	memory *limit.Memory
	// doors are the listeners of the node.
	doors []*limit.Door
	// lifetime is cancelled when the process ends.
	lifetime context.Context
	cancel   context.CancelFunc
	// stopped is cancelled when a stopping node ends the requests that still run.
	stopped     context.Context
	endRequests context.CancelFunc
	// callers and hops count the requests in flight.
	callers, hops atomic.Int64
}

// New creates a node.
func New(deps Dependencies) *Node {
	s := deps.Settings
	n := &Node{deps: deps, settings: s, log: deps.Telemetry.Log}
	n.beacons = &beacons{dirty: make(chan struct{}, 1), table: beacon.NewTable()}
	n.gate = gate.New(time.Now(), n.beacons.requestBeacon)
	if s.RateBurst > 0 {
		n.gate.SetRateBurst(s.RateBurst)
	}
	n.lifetime, n.cancel = context.WithCancel(context.Background())
	n.stopped, n.endRequests = context.WithCancel(n.lifetime)
	self := Member{ID: s.Node, Addr: s.Inbound, Beacon: s.Beacon, DataCentre: s.DataCentre, Region: s.Region, Service: s.Service}
	n.control = NewControlLoop(self, n.onStateChange)
	if !s.FirstStart {
		n.control.state.registry.AwaitDepartures()
		n.gate.AwaitRateLimit()
	}
	n.picker = pick.New(s.DataCentre, s.Region)
	n.splitter = route.NewSplitter()
	n.servers = httpconn.NewPool(httpconn.Options{
		DialTimeout:     serverDialTimeout,
		IdleTimeout:     maxIdleIdempotent,
		MaxIdlePerAddr:  idlePerServer,
		MaxResponseBody: maxResponse,
		IDHeader:        deps.RequestIDHeader,
	})
	n.peers = newPeerClient()
	n.memory = limit.NewMemory(clientMemory(s))
	n.confirmations = n.newConfirmations()
	n.syncer = &syncer{
		self: self, settings: s, control: n.control, source: deps.Source,
		configuration: deps.Configuration, peers: n.peers, log: n.log, metrics: deps.Telemetry.Metrics, random: rand.Float64,
		role: n.beacons, readConfiguration: make(chan struct{}, 1), selfLacking: make(chan struct{}, 1), confirmations: n.confirmations,
	}
	n.entry = &entry{
		settings: s, control: n.control, picker: n.picker, splitter: n.splitter, peers: n.peers,
		headers: deps.Headers, log: n.log, telemetry: deps.Telemetry, memory: n.memory,
		keysConfirmed: n.confirmations.confirmed,
		onVersion:     n.onPeerVersion, sizes: responseSizes{mean: map[string]float64{}}, departures: newDepartures(),
		host: &host{
			control: n.control, gate: n.gate, pool: n.servers, headers: deps.Headers, addr: s.ServerAddr,
			log: n.log, telemetry: deps.Telemetry, onAddressTaken: n.forgetServer, onLeaving: n.markDeparted, picker: n.picker,
		},
	}
	n.beacons.self, n.beacons.control, n.beacons.gate, n.beacons.picker = self, n.control, n.gate, n.picker
	n.beacons.log = n.log
	n.beacons.calls = newCalls(self, n.log, n.beacons.sendCall)
	n.status = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}
	n.departures = newDepartureKeeper(s.Node, s.FirstStart, deps.Source, n.control, n.beacons.calls, n.beacons.heardWithin, n.log)
	n.departures.held.onHold = n.entry.departures.record
	n.syncer.departures = n.departures
	n.entry.quotas = newQuotas(n.lifetime, s, n.control, n.beacons.calls, n.log, deps.Telemetry.Metrics, n.bootTime, n.beacons.heardWithin)
	n.beacons.onVersions = func(configuration uint64, members currency.Revision, addr string) {
		n.syncer.onPeerVersions(n.lifetime, configuration, members, addr)
	}
	n.beacons.watching, n.beacons.untilReads, n.beacons.confirming = n.syncer.watching, n.syncer.untilReads, n.confirmations.active
	if n.confirmations != nil {
		n.beacons.calls.handlers[callConfirm] = n.confirmations.answer
	}
	n.beacons.onLoad = func() { n.entry.host.logHealthChange("", gate.None) }
	return n
}

// newConfirmations returns the proofs of the configuration's age; nil if none are needed.
func (n *Node) newConfirmations() *confirmations {
	if !n.settings.FailClosed {
		return nil
	}
	return &confirmations{
		policy: currency.Policy{Within: n.settings.RevokeWithin}, control: n.control, log: n.log,
		metrics: n.deps.Telemetry.Metrics, clock: sinceBoot, candidates: n.beacons.confirmCandidates,
		ask: func(ctx context.Context, to netip.AddrPort) ([]byte, error) {
			return n.beacons.calls.do(ctx, callConfirm, to, nil)
		},
		onVersion: n.onPeerVersion,
	}
}

// bootTime returns the time since the start of the instance. Run has checked that the clock works.
func (n *Node) bootTime() time.Duration {
	now, err := sinceBoot()
	if err != nil {
		panic(err)
	}
	return now
}

// onPeerVersion processes the configuration version that a node sent with a hop.
func (n *Node) onPeerVersion(version uint64, addr string) {
	n.syncer.onPeerVersions(n.lifetime, version, currency.Revision{}, addr)
}

// onStateChange reacts to a change of the control state. It runs on the control goroutine.
func (n *Node) onStateChange(before, after *View) {
	if before.MembersNewest != after.MembersNewest || before.Leaving != after.Leaving {
		n.beacons.requestBeacon()
	}
	if before.Config != after.Config {
		n.splitter.Retain(func(route string) bool { _, ok := after.Config.Routes[route]; return ok })
		// Beacons announce the version to nodes that have not received it from the store.
		n.beacons.requestBeacon()
		n.deps.Telemetry.Metrics.ConfigVersion.Set(int64(after.Config.Version))
	}
	n.logChanges(before, after)
	if before.MemberIndex != after.MemberIndex || before.MembersKnown() != after.MembersKnown() {
		n.updateRetryBudget(after)
	}
	switch {
	case !before.MembersKnown() && after.MembersKnown():
		go n.departures.askHolders(n.lifetime)
	case before.MembersRevision.Era != after.MembersRevision.Era:
		go n.departures.recordAgain(n.lifetime)
	}
	if before.Server == after.Server {
		return
	}
	now := time.Now()
	fresh := !before.Server.Matches(after.Server.Incarnation)
	if after.Server.Leaving || after.Server.Unconfirmed {
		n.gate.Close()
	} else {
		n.gate.Open(now, after.Server.Slots, after.Server.WarmUntil, fresh)
		// Without this, the entry would use its last report, in which the server was closed.
		n.picker.Report(now, n.settings.Node, after.adjustLoad(now, n.gate.Load(now)))
		n.entry.host.logRateLimit(after.Server, "")
	}
	if fresh || before.Server.Leaving != after.Server.Leaving {
		n.log.Info("server",
			zap.String("server", after.Server.ID), zap.Int64("born", after.Server.StartedMs),
			zap.Bool("leaving", after.Server.Leaving), zap.Int("slots", after.Server.Slots))
	}
	if after.Server.Leaving && (fresh || !before.Server.Leaving) {
		n.departures.save(n.lifetime, after.Server.LeftAs)
	}
}

// maxLoggedNodes bounds the nodes that one log line lists.
const maxLoggedNodes = 10

// logChanges logs changes of the node's readiness and of the list of members.
func (n *Node) logChanges(before, after *View) {
	if before.Ready() != after.Ready() {
		n.log.Info("ready", zap.Bool("ready", after.Ready()), zap.Uint64("config", after.configVersion()),
			zap.Bool("members_known", after.MembersKnown()), zap.Bool("leaving", after.Leaving))
	}
	if before.MemberIndex == after.MemberIndex {
		return
	}
	for _, id := range after.invalidBeaconAddrs {
		n.log.Error("invalid beacon address", zap.String("node", id))
	}
	joined, departed := missing(after.Members, before.Members), missing(before.Members, after.Members)
	if len(joined)+len(departed) > 0 {
		n.log.Info("members changed", zap.Strings("joined", joined[:min(len(joined), maxLoggedNodes)]),
			zap.Strings("left", departed[:min(len(departed), maxLoggedNodes)]), zap.Int("members", len(after.Members)))
	}
}

// missing returns the sorted IDs of the members that are not among others.
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
	// budgetMargin is the fraction of the retry ratio that is used. It is below 1 because the
	// requests of a window leave it before the retries that they allowed.
	budgetMargin = 0.85
	// allowanceShare is the fraction of the retry allowance that a process uses, and startShare
	// the fraction that is available right after its start. When all processes end at once, the
	// servers fail a share of the first requests, which no process knows of. Together with the
	// retries of the previous processes, those of the next ones must not exceed the allowance.
	allowanceShare = 0.7
	startShare     = 1 - allowanceShare
)

// updateRetryBudget sets the gate's part of the service's retry budget.
func (n *Node) updateRetryBudget(view *View) {
	budget := gate.RetryBudget{Ratio: n.settings.RetryRatio * budgetMargin, Window: n.settings.RetryWindow}
	if pool := view.Services[n.settings.Service]; pool != nil && view.MembersKnown() {
		part := n.settings.RetryAllowance / float64(len(pool.Members))
		budget.Allowance, budget.Initial = part*allowanceShare, part*startShare
	}
	n.gate.SetRetryBudget(budget)
}

// registrationTimeout bounds how long a server report waits for the control goroutine.
const registrationTimeout = 500 * time.Millisecond

// TakeConfiguration applies an encoded configuration if it is newer than the current one.
func (n *Node) TakeConfiguration(document []byte) { n.syncer.applyDocument(document, "call") }

// Heartbeat processes a report of the local server. A report that the server is leaving is accepted
// once something outside the process has the departure.
func (n *Node) Heartbeat(report registration.Report) registration.Ack {
	accepted := false
	ctx, cancel := context.WithTimeout(n.lifetime, registrationTimeout)
	defer cancel()
	err := n.control.Do(ctx, func(s *state) { accepted = s.heartbeat(time.Now(), report) })
	if err != nil || !accepted {
		n.log.Warn("report not taken", zap.String("server", report.ID), zap.Uint64("sequence", report.Sequence), zap.Error(err))
		return registration.Rejected
	}
	if report.Leaving {
		return n.saveDeparture(registration.Incarnation{ID: report.ID, StartedMs: report.StartedMs})
	}
	return registration.Accepted
}

// Deregister records that a server is leaving. The result is Accepted once something outside the
// process has the departure.
func (n *Node) Deregister(id string, born int64) registration.Ack {
	ctx, cancel := context.WithTimeout(n.lifetime, registrationTimeout)
	defer cancel()
	var departed registration.Incarnation
	if err := n.control.Do(ctx, func(s *state) { departed = s.registry.Deregister(time.Now(), id, born) }); err != nil {
		n.log.Warn("deregistration not processed", zap.String("server", id), zap.Error(err))
		return registration.Unsaved
	}
	n.log.Info("server deregistered", zap.String("server", id), zap.Int64("born", departed.StartedMs), zap.Int64("born_by", departed.StartedByMs))
	return n.saveDeparture(departed)
}

func (n *Node) saveDeparture(departed registration.Incarnation) registration.Ack {
	if !n.departures.saveAndWait(n.lifetime, departed) {
		return registration.Unsaved
	}
	return registration.Accepted
}

// forgetServer drops a server incarnation whose address is used by another one.
func (n *Node) forgetServer(incarnation registration.Incarnation) {
	n.log.Warn("another server has the address", zap.String("server", incarnation.ID))
	n.markDeparted(incarnation)
}

// markDeparted records the departure of a server incarnation. It does not wait for the change.
func (n *Node) markDeparted(incarnation registration.Incarnation) {
	n.control.pending <- func(s *state) { s.registry.MarkDeparted(incarnation) }
}

// ConfigVersion returns the version of the configuration in force; 0 if there is none.
func (n *Node) ConfigVersion() uint64 { return n.control.View().configVersion() }

// Members returns the nodes that this one knows, by ID.
func (n *Node) Members() map[string]Member { return n.control.View().Members }

// Close ends Run immediately, without a graceful stop.
func (n *Node) Close() { n.cancel() }

// Run serves until stop yields a value, then stops gracefully. Further values have no effect.
func (n *Node) Run(stop <-chan struct{}) error {
	defer n.cancel()
	if _, err := sinceBoot(); err != nil {
		return trace.Wrap(err)
	}
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
	group.Go(func() error { n.control.Run(ctx); return nil })
	group.Go(func() error { n.syncer.syncConfiguration(ctx); return nil })
	group.Go(func() error { n.syncer.syncMembers(ctx); return nil })
	group.Go(func() error { n.syncer.keepSelf(ctx); return nil })
	group.Go(func() error { n.sweep(ctx); return nil })
	group.Go(func() error { n.entry.quotas.watchReach(ctx); return nil })
	go n.departures.restoreUntilRead(ctx)
	if !n.settings.FirstStart {
		go n.adoptServer(ctx)
	}
	if n.confirmations != nil {
		group.Go(func() error { n.confirmations.run(ctx); return nil })
	}
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
		n.cancel()
		return nil
	})
	n.log.Info("started", zap.String("outbound", n.settings.Outbound), zap.String("inbound", n.settings.Inbound),
		zap.String("server_service", n.settings.Service), zap.Bool("first_start", n.settings.FirstStart),
		zap.String("metrics", n.settings.Metrics))
	return group.Wait()
}

// pathMetrics serves the counters and histograms.
const pathMetrics = "/metrics"

func (n *Node) listen() ([]*http.Server, []net.Listener, error) {
	hop := &hopHandler{host: n.entry.host, service: n.settings.Service, memory: n.memory, headers: n.deps.Headers, onVersion: n.onPeerVersion}
	handlers := []endpoint{
		{n.settings.Outbound, n.inFlight(&n.callers, n.entry), callerAddr},
		{n.settings.Inbound, n.inFlight(&n.hops, hop), nodeAddr},
		{n.settings.Ready, n.deps.ReadyHandler(func() bool { return n.control.View().Ready() }), controlAddr},
		{n.settings.Registration, n.deps.RegistrationHandler(n), controlAddr},
	}
	if n.settings.Metrics != "" {
		router := mux.NewRouter()
		router.Handle(pathMetrics, n.deps.Telemetry.MetricsHandler()).Methods(http.MethodGet)
		router.HandleFunc(PathExplain, n.entry.explainHandler).Methods(http.MethodGet)
		handlers = append(handlers, endpoint{n.settings.Metrics, router, controlAddr})
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
		server, door := n.newServer(h, listener)
		servers, listeners = append(servers, server), append(listeners, door)
		n.doors = append(n.doors, door)
	}
	return servers, listeners, nil
}

// inFlight counts the requests of a handler, and cancels their contexts at the end of a stop, so that each
// still gets a response.
func (n *Node) inFlight(count *atomic.Int64, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		defer count.Add(-1)
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(n.stopped, cancel)()
		handler.ServeHTTP(w, r.WithContext(ctx))
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
			n.deps.Telemetry.LogSuppressedLines()
			n.reportDoor()
			members := n.control.View().Members
			isMember := func(id string) bool { _, ok := members[id]; return ok }
			n.picker.Retain(isMember)
			n.entry.departures.retain(isMember)
			n.entry.quotas.sweep()
		}
	}
}
