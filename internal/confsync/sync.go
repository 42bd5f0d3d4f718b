package confsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// maxPollInterval bounds the poll interval while the platform fails.
	maxPollInterval = time.Minute
	// startInterval is the time between attempts while the gate is closed.
	startInterval = 250 * time.Millisecond
	// minPollInterval keeps polls apart that peers or the admin API ask for.
	minPollInterval = 50 * time.Millisecond
)

// Peers calls other nodes. gossip.Service implements it.
type Peers interface {
	Call(ctx context.Context, nodeID, method string, params, result any) error
}

// Options describe a Syncer.
type Options struct {
	// Self is the ID of this node.
	Self  string
	Board *blackboard.Board
	Store platform.Store
	Peers Peers
	// PollInterval is the mean time between two reads of the counter. 0 means 5 s.
	PollInterval time.Duration
	// Timeout bounds one call to the platform. 0 means 2 s.
	Timeout time.Duration
	// Log receives changes of state; nil means none.
	Log *zap.Logger
}

// Syncer keeps the configuration of one node up to date.
type Syncer struct {
	self    string
	board   *blackboard.Board
	store   platform.Store
	peers   Peers
	poll    time.Duration
	timeout time.Duration
	log     *zap.Logger
	mirror  *mirror

	// wanted is raised by Refresh; fresh is the value of wanted that the last
	// complete pass started with.
	wanted, fresh atomic.Uint64
	wake          chan struct{}

	mu sync.Mutex
	// hintPeer named the highest version, hintVersion, since the last fetch.
	hintPeer    string
	hintVersion uint64
	pollNow     bool
	// accepted holds the rows of changes that this node wrote, by version,
	// until they are in force.
	accepted map[uint64][]fleet.Row

	// The rest belongs to the goroutine of Run.
	nextPoll time.Time
	backoff  time.Duration
	asked    survey
	storeUp  bool
}

// New returns a Syncer that does not run yet.
func New(options Options) *Syncer {
	s := &Syncer{
		self:    options.Self,
		board:   options.Board,
		store:   options.Store,
		peers:   options.Peers,
		poll:    options.PollInterval,
		timeout: options.Timeout,
		log:     options.Log,
		mirror:  newMirror(),
		wake:    make(chan struct{}, 1),
		storeUp: true,

		accepted: map[uint64][]fleet.Row{},
	}
	if s.poll <= 0 {
		s.poll = 5 * time.Second
	}
	if s.timeout <= 0 {
		s.timeout = 2 * time.Second
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	s.wanted.Store(1)
	return s
}

// Fresh reports whether the configuration was complete at some time after the
// last Refresh, or after the start.
func (s *Syncer) Fresh() bool { return s.fresh.Load() == s.wanted.Load() }

// Refresh demands a new pass before Fresh holds again. It does not block.
func (s *Syncer) Refresh() {
	s.wanted.Add(1)
	s.signal()
}

// PollNow reads the platform soon. The admin API calls it after a change. It
// does not block.
func (s *Syncer) PollNow() {
	s.mu.Lock()
	s.pollNow = true
	s.mu.Unlock()
	s.signal()
}

// Accept takes a change that this node wrote to the table, so that it comes
// into force and reaches peers even if the platform fails right after it. rows
// is nil if only the version is known. It does not block.
func (s *Syncer) Accept(version uint64, rows []fleet.Row) {
	s.mu.Lock()
	s.pollNow = true
	if rows != nil {
		s.accepted[version] = rows
	}
	s.mu.Unlock()
	s.signal()
}

// applyAccepted puts changes that this node wrote in force, each after all
// changes before it.
func (s *Syncer) applyAccepted() {
	for {
		own, _ := s.mirror.state()
		rows, ok := s.takeAccepted(own)
		if !ok {
			return
		}
		s.apply(update{version: own + 1, rows: rows})
	}
}

// takeAccepted returns the rows of the change after own and forgets those that
// are in force.
func (s *Syncer) takeAccepted(own uint64) ([]fleet.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for version := range s.accepted {
		if version <= own {
			delete(s.accepted, version)
		}
	}
	rows, ok := s.accepted[own+1]
	return rows, ok
}

// Hint tells that a peer has the given version in force. It does not block.
func (s *Syncer) Hint(peerID string, version uint64) {
	own, _ := s.mirror.state()
	s.mu.Lock()
	behind := version > own && version > s.hintVersion
	if behind {
		s.hintPeer, s.hintVersion = peerID, version
	}
	s.mu.Unlock()
	if behind {
		s.signal()
	}
}

func (s *Syncer) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.step(ctx)
		timer := time.NewTimer(s.untilNext())
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (s *Syncer) untilNext() time.Duration {
	wait := time.Until(s.nextPoll)
	if !s.Fresh() {
		wait = min(wait, startInterval)
	}
	return max(wait, minPollInterval)
}

// step does what is due: fetch from the peer that is ahead, read the platform,
// ask peers.
func (s *Syncer) step(ctx context.Context) {
	epoch := s.wanted.Load()
	if peer, ok := s.takeHint(); ok {
		s.followPeer(ctx, peer)
	}
	s.applyAccepted()
	if s.pollDue(epoch) {
		s.pollPlatform(ctx, epoch)
	}
	s.applyAccepted()
	if !s.Fresh() && !s.storeUp {
		s.askPeers(ctx, epoch)
	}
}

// takeHint returns the peer that named the highest version, if that is ahead.
func (s *Syncer) takeHint() (string, bool) {
	own, _ := s.mirror.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, version := s.hintPeer, s.hintVersion
	s.hintPeer, s.hintVersion = "", 0
	return peer, version > own
}

// pollDue reports whether the platform is to be read now. A refresh reads it
// once at once; after a failure the backoff holds, so that nodes that are not
// ready do not load a platform in trouble.
func (s *Syncer) pollDue(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.pollNow
	s.pollNow = false
	return asked || !time.Now().Before(s.nextPoll) || s.storeUp && s.fresh.Load() != epoch
}

func (s *Syncer) pollPlatform(ctx context.Context, epoch uint64) {
	err := s.readPlatform(ctx)
	if ctx.Err() != nil {
		return
	}
	interval := s.poll
	if err != nil {
		s.backoff = min(max(2*s.backoff, s.poll), maxPollInterval)
		interval = s.backoff
	} else {
		s.backoff = 0
		s.markFresh(epoch)
	}
	if up := err == nil; up != s.storeUp {
		s.storeUp = up
		s.log.Info("platform table changed state", zap.Bool("up", up), zap.Error(err))
	}
	s.nextPoll = time.Now().Add(interval/2 + rand.N(interval))
}

// markFresh opens the gate for an epoch after everything applied before.
func (s *Syncer) markFresh(epoch uint64) {
	if s.fresh.Load() == epoch {
		return
	}
	s.board.Post(func(*blackboard.Entries) { s.fresh.Store(epoch) })
}

// apply puts an update in force at the mirror and at the board, in this order,
// always from the goroutine of Run.
func (s *Syncer) apply(u update) {
	newer := s.mirror.apply(u)
	version, _ := s.mirror.state()
	s.board.Post(func(e *blackboard.Entries) {
		if unreadable := e.ApplyConfig(version, newer); len(unreadable) > 0 {
			s.log.Error("configuration rows do not decode", zap.Strings("keys", clip(unreadable)))
		}
	})
}

// clip bounds the keys of one log line.
func clip(keys []string) []string { return keys[:min(len(keys), 10)] }

// reachable returns the known peers that are neither down nor gone.
func (s *Syncer) reachable() []*fleet.NodeRecord {
	view := s.board.View()
	var nodes []*fleet.NodeRecord
	for id, node := range view.Nodes {
		if id != s.self && !node.Left && !view.DownNodes[id] {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
