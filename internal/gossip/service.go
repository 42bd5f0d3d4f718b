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
	// acceptRetryPause follows a failed accept, for instance for lack of file
	// descriptors.
	acceptRetryPause = 100 * time.Millisecond
	// floodPause collects changes that arrive together into one message.
	floodPause = 20 * time.Millisecond
	// floodSpacing is the least time between two floods. A single change after a
	// quiet time travels at once; under constant change a hop takes up to this
	// long, and the five hops that 500 nodes need stay within the 2 s that an
	// ejection allows. Without it, 50 joins a second made each of 500 nodes send
	// 250 messages a second.
	floodSpacing = 250 * time.Millisecond
	// floodRest is the spacing as a multiple of the time that an exchange takes,
	// so that slow peers get less to do and an overload ends.
	floodRest = 4
	// maxFloodSpacing bounds the spacing.
	maxFloodSpacing = 5 * time.Second
	// lazyPause collects changes that only inform operators.
	lazyPause = time.Second
	// outreachInterval is the time between two calls to a node outside of the
	// reachable membership: unreachable or forgotten nodes and seeds.
	outreachInterval = time.Second
	// joinInterval replaces outreachInterval while no other node is known.
	joinInterval = 200 * time.Millisecond
)

// Options describe a Service.
type Options struct {
	// Self is this node's first record. Its ControlAddr is where peers call it.
	Self fleet.NodeRecord
	// Secret is shared by all nodes. It must not be empty.
	Secret string
	// Listener accepts control connections.
	Listener net.Listener
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// Seeds are control addresses of nodes to join.
	Seeds []string
	// Interval is the time between two exchanges. 0 means 500 ms.
	Interval time.Duration
	// ForgetAfter is how long the record of an unreachable node is kept. 0
	// means 10 minutes.
	ForgetAfter time.Duration
	// Limits bounds what one peer can make the node hold.
	Limits Limits
	// Log receives changes of state; nil means none.
	Log *zap.Logger
}

// Service exchanges node records with peers and carries calls between nodes.
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

	handlers     map[string]HandlerFunc
	inboundCount atomic.Int64
	viaRunning   atomic.Int64
	// lastExchange is the start of the last successful exchange in Unix
	// nanoseconds.
	lastExchange atomic.Int64
	// exchangeTime is a moving average of the time of an exchange in nanoseconds.
	exchangeTime atomic.Int64
	pool         *pool
	store        *store
	paths        *paths

	// lifetime ends with Run and closes every outgoing connection.
	lifetime context.Context
	end      context.CancelFunc

	// evaluated, silentSince and loggedDown belong to the caller of Collect.
	evaluated   time.Time
	loggedDown  map[string]bool
	silentSince map[string]time.Time

	mu       sync.Mutex
	links    map[string]*link
	extra    []string
	onConfig func(peerID string, version uint64)
}

// New returns a Service that does not run yet. It returns BadParameter if a
// required option is missing.
func New(options Options) (*Service, error) {
	switch {
	case options.Secret == "":
		return nil, trace.BadParameter("the shared secret is empty")
	case options.Listener == nil:
		return nil, trace.BadParameter("the control listener is missing")
	case options.Self.ID == "" || len(options.Self.ID) > maxIDBytes:
		return nil, trace.BadParameter("the node ID has %d bytes", len(options.Self.ID))
	}
	s := &Service{
		id:          options.Self.ID,
		secret:      options.Secret,
		selfAddr:    options.Self.ControlAddr,
		listener:    options.Listener,
		seeds:       options.Seeds,
		interval:    orDefault(options.Interval, 500*time.Millisecond),
		forgetAfter: orDefault(options.ForgetAfter, 10*time.Minute),
		limits:      options.Limits.orDefaults(),
		log:         options.Log,
		handlers:    map[string]HandlerFunc{},
		store:       newStore(options.Self.ID),
		paths:       newPaths(),
		links:       map[string]*link{},
		silentSince: map[string]time.Time{},
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	s.lifetime, s.end = context.WithCancel(context.Background())
	s.pool = newPool(s, options.Dial)
	s.store.setSelf(options.Self.Clone(), time.Now())
	s.registerMembership()
	return s, nil
}

func orDefault(value, standard time.Duration) time.Duration {
	if value <= 0 {
		return standard
	}
	return value
}

// OnConfigVersion sets the function that is told the configuration version of a
// peer in each exchange. It must not block. It is set before Run.
func (s *Service) OnConfigVersion(f func(peerID string, version uint64)) { s.onConfig = f }

// SetSelf publishes a newer version of this node's own record.
func (s *Service) SetSelf(record *fleet.NodeRecord) { s.store.setSelf(record, time.Now()) }

// AddSeeds replaces the addresses that were found beside the settings, for
// instance in the platform's table.
func (s *Service) AddSeeds(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = append([]string(nil), addrs...)
}

// Run serves and exchanges until ctx ends, then closes every connection.
func (s *Service) Run(ctx context.Context) error {
	defer s.end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.accept(ctx) })
	group.Go(func() error { s.exchangeLoop(ctx); return nil })
	group.Go(func() error { s.floodLoop(ctx); return nil })
	group.Go(func() error { s.outreachLoop(ctx); return nil })
	group.Go(func() error { s.probeLoop(ctx); return nil })
	return group.Wait()
}

// exchangeLoop exchanges with one partner after the other.
func (s *Service) exchangeLoop(ctx context.Context) {
	for turn := 0; pause(ctx, jitter(s.interval)); turn++ {
		s.pool.closeIdle(time.Now())
		if partners := s.partners(); len(partners) > 0 {
			s.exchangeWith(ctx, partners[turn%len(partners)], true)
		}
	}
}

// floodLoop passes changes on to every partner soon after they arrive.
func (s *Service) floodLoop(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.store.urgent:
			if !pause(ctx, max(floodPause, time.Until(last.Add(s.spacing())))) {
				return
			}
		case <-time.After(jitter(lazyPause)):
		}
		last = time.Now()
		for _, id := range s.partners() {
			if s.hasNews(id) {
				go s.exchangeWith(ctx, id, false)
			}
		}
	}
}

// spacing returns the least time between two floods at present.
func (s *Service) spacing() time.Duration {
	return min(max(floodSpacing, floodRest*time.Duration(s.exchangeTime.Load())), maxFloodSpacing)
}

// outreachLoop calls nodes outside of the reachable membership, one at a time,
// so that a node joins through seeds and the sides of a split find each other.
func (s *Service) outreachLoop(ctx context.Context) {
	for {
		s.store.expireTombstones(time.Now())
		if target, ok := s.pickOutreach(); ok {
			s.exchangeAddr(ctx, target)
		}
		interval := outreachInterval
		if len(s.partners()) == 0 {
			interval = joinInterval
		}
		if !pause(ctx, jitter(interval)) {
			return
		}
	}
}

// pickOutreach chooses at random among unreachable and forgotten nodes and the
// seeds that are not known as reachable nodes.
func (s *Service) pickOutreach() (addr string, ok bool) {
	s.mu.Lock()
	seeds := append(append([]string(nil), s.seeds...), s.extra...)
	s.mu.Unlock()
	candidates := s.store.outsiders(seeds, s.selfAddr)
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter spreads d by a quarter to either side, so that nodes that started
// together do not stay in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
