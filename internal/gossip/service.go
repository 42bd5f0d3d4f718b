package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// acceptRetryDelay is the delay after a failed accept, for example when file
	// descriptors are exhausted.
	acceptRetryDelay = 100 * time.Millisecond
	// floodDelay is how long a flood waits, so that changes that arrive close together
	// share a message.
	floodDelay = 20 * time.Millisecond
	// minFloodInterval is the minimum time between two floods. A single change after
	// a quiet period is forwarded without this wait. Under constant change a hop takes
	// up to this long, and the five hops that 500 nodes need stay within the 2 s that
	// the propagation of an ejection may take. Without this limit, 50 joins a second
	// made each of 500 nodes send 250 messages a second.
	minFloodInterval = 250 * time.Millisecond
	// floodIntervalFactor is the minimum flood interval as a multiple of the average
	// duration of an exchange. Slow peers thus receive fewer exchanges, so that an
	// overload can subside.
	floodIntervalFactor = 4
	// maxFloodInterval is the upper bound of the flood interval.
	maxFloodInterval = 5 * time.Second
	// nonUrgentFloodDelay is how long changes that only inform operators wait to be
	// sent together.
	nonUrgentFloodDelay = time.Second
	// reconnectInterval is the time between two calls to addresses outside of the
	// reachable membership: unreachable nodes, forgotten nodes and seeds.
	reconnectInterval = time.Second
	// joinInterval replaces reconnectInterval while this node has no partners.
	joinInterval = 200 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	// Self is the initial version of this node's record. Peers connect to its
	// ControlAddr.
	Self fleet.NodeRecord
	// Secret is shared by all nodes. It must not be empty.
	Secret string
	// Listener accepts control connections.
	Listener net.Listener
	// Dial opens connections. Nil means TCP.
	Dial DialFunc
	// Seeds are the control addresses through which the node joins the fleet.
	Seeds []string
	// Interval is the time between two exchanges. 0 means 500 ms.
	Interval time.Duration
	// ForgetAfter is how long the record of an unreachable node is kept. 0
	// means 10 minutes.
	ForgetAfter time.Duration
	// Limits bounds the resources that a peer can consume.
	Limits Limits
	// Log receives state changes. Nil disables logging.
	Log *zap.Logger
}

// Service replicates node records among peers and carries RPC calls between nodes.
type Service struct {
	// Traffic counts the bytes of all control connections.
	Traffic Traffic

	id          string
	secret      string
	selfAddr    string
	listener    net.Listener
	seeds       []string
	interval    time.Duration
	forgetAfter time.Duration
	limits      Limits
	log         *zap.Logger

	handlers              map[string]HandlerFunc
	inboundCount          atomic.Int64
	indirectProbesRunning atomic.Int64
	// lastExchange is when the last successful exchange started, in Unix nanoseconds.
	lastExchange atomic.Int64
	// averageExchangeTime is the moving average of the duration of an exchange, in
	// nanoseconds.
	averageExchangeTime atomic.Int64
	pool                *pool
	store               *store
	paths               *paths

	// lifetime is cancelled when Run returns, which closes every outgoing connection.
	lifetime       context.Context
	cancelLifetime context.CancelFunc

	// lastEvaluation, loggedDown and inactiveSince are only accessed by Collect, which a
	// single goroutine calls.
	lastEvaluation time.Time
	loggedDown     map[string]bool
	inactiveSince  map[string]time.Time

	mu              sync.Mutex
	links           map[string]*link
	discoveredSeeds []string
	onConfigVersion func(peerID string, version uint64)
}

// New returns a Service that Run starts. It returns BadParameter if a required
// option is missing or the node ID is too long.
func New(options Options) (*Service, error) {
	switch {
	case options.Secret == "":
		return nil, trace.BadParameter("the shared secret is empty")
	case options.Listener == nil:
		return nil, trace.BadParameter("the control listener is missing")
	case options.Self.ID == "" || len(options.Self.ID) > maxIDBytes:
		return nil, trace.BadParameter("the node ID is empty or too long: %d bytes", len(options.Self.ID))
	}
	s := &Service{
		id:            options.Self.ID,
		secret:        options.Secret,
		selfAddr:      options.Self.ControlAddr,
		listener:      options.Listener,
		seeds:         options.Seeds,
		interval:      orDefault(options.Interval, 500*time.Millisecond),
		forgetAfter:   orDefault(options.ForgetAfter, 10*time.Minute),
		limits:        options.Limits.orDefaults(),
		log:           options.Log,
		handlers:      map[string]HandlerFunc{},
		store:         newStore(options.Self.ID),
		paths:         newPaths(),
		links:         map[string]*link{},
		inactiveSince: map[string]time.Time{},
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	s.lifetime, s.cancelLifetime = context.WithCancel(context.Background())
	s.pool = newPool(s, options.Dial)
	s.store.setSelf(options.Self.Clone(), time.Now())
	s.registerMembership()
	return s, nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// OnConfigVersion sets a callback that receives the peer's configuration version in
// each exchange. The callback must not block. OnConfigVersion is called before Run.
func (s *Service) OnConfigVersion(f func(peerID string, version uint64)) { s.onConfigVersion = f }

// SetSelf publishes a newer version of this node's own record.
func (s *Service) SetSelf(record *fleet.NodeRecord) { s.store.setSelf(record, time.Now()) }

// SetDiscoveredSeeds replaces the seeds that were discovered at run time, for example
// in the platform's table. The seeds from the settings remain in use.
func (s *Service) SetDiscoveredSeeds(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveredSeeds = append([]string(nil), addrs...)
}

// Run serves requests and runs the gossip loops until ctx is cancelled, then closes
// every connection.
func (s *Service) Run(ctx context.Context) error {
	defer s.cancelLifetime()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.accept(ctx) })
	group.Go(func() error { s.exchangeLoop(ctx); return nil })
	group.Go(func() error { s.floodLoop(ctx); return nil })
	group.Go(func() error { s.reconnectLoop(ctx); return nil })
	group.Go(func() error { s.probeLoop(ctx); return nil })
	return group.Wait()
}

// exchangeLoop exchanges summaries with the partners in turn.
func (s *Service) exchangeLoop(ctx context.Context) {
	for turn := 0; sleepContext(ctx, jitter(s.interval)); turn++ {
		s.pool.closeIdle(time.Now())
		if partners := s.partners(); len(partners) > 0 {
			s.exchangeWith(ctx, partners[turn%len(partners)], true)
		}
	}
}

// floodLoop forwards changes to every partner soon after they arrive.
func (s *Service) floodLoop(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.store.floodSignal:
			if !sleepContext(ctx, max(floodDelay, time.Until(last.Add(s.floodInterval())))) {
				return
			}
		case <-time.After(jitter(nonUrgentFloodDelay)):
		}
		last = time.Now()
		for _, id := range s.partners() {
			if s.hasUnackedChanges(id) {
				go s.exchangeWith(ctx, id, false)
			}
		}
	}
}

// floodInterval returns the current minimum time between two floods.
func (s *Service) floodInterval() time.Duration {
	return min(max(minFloodInterval, floodIntervalFactor*time.Duration(s.averageExchangeTime.Load())), maxFloodInterval)
}

// reconnectLoop calls nodes outside of the reachable membership, one at a time. It lets
// a node join through its seeds, and reconnects the sides of a network partition.
func (s *Service) reconnectLoop(ctx context.Context) {
	for {
		s.store.expireTombstones(time.Now())
		if target, ok := s.pickReconnectAddr(); ok {
			s.exchangeAddr(ctx, target)
		}
		interval := reconnectInterval
		if len(s.partners()) == 0 {
			interval = joinInterval
		}
		if !sleepContext(ctx, jitter(interval)) {
			return
		}
	}
}

// pickReconnectAddr chooses at random among the addresses of unreachable nodes,
// forgotten nodes, and the seeds that are not the address of a reachable node.
func (s *Service) pickReconnectAddr() (addr string, ok bool) {
	s.mu.Lock()
	seeds := append(append([]string(nil), s.seeds...), s.discoveredSeeds...)
	s.mu.Unlock()
	candidates := s.store.reconnectAddrs(seeds, s.selfAddr)
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// sleepContext sleeps for d. It returns false if ctx is cancelled first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter varies d by up to a quarter in either direction, so that nodes that started
// together do not stay synchronised.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
