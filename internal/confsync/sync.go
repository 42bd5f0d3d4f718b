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
	// maxPollInterval bounds the backoff of polls while the platform fails.
	maxPollInterval = time.Minute
	// notReadyInterval bounds the time between attempts while the readiness gate is
	// closed.
	notReadyInterval = 250 * time.Millisecond
	// minPollInterval is the shortest delay before a step that no signal triggers.
	minPollInterval = 50 * time.Millisecond
)

// Peers calls RPC methods of other nodes. gossip.Service implements it.
type Peers interface {
	Call(ctx context.Context, nodeID, method string, params, result any) error
}

// Options configures a Syncer.
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
	// Log is the logger. nil disables logging.
	Log *zap.Logger
}

// Syncer keeps the configuration of one node up to date, from the platform's
// table and from peers.
type Syncer struct {
	self         string
	board        *blackboard.Board
	store        platform.Store
	peers        Peers
	pollInterval time.Duration
	timeout      time.Duration
	log          *zap.Logger
	mirror       *mirror

	// wantedEpoch is incremented by Refresh. freshEpoch is the value of wantedEpoch
	// at the start of the last complete read, from the platform or from peers.
	wantedEpoch, freshEpoch atomic.Uint64
	wake                    chan struct{}

	mu sync.Mutex
	// hintPeer is the peer that reported the highest version, hintVersion, since
	// the last fetch.
	hintPeer    string
	hintVersion uint64
	pollNow     bool
	// accepted holds the rows of changes that this node wrote, by version,
	// until they are in force.
	accepted map[uint64][]fleet.Row

	// The fields below are used only by the goroutine of Run.
	nextPoll   time.Time
	backoff    time.Duration
	survey     peerSurvey
	platformUp bool
}

// New returns a Syncer; Run starts it.
func New(options Options) *Syncer {
	s := &Syncer{
		self:         options.Self,
		board:        options.Board,
		store:        options.Store,
		peers:        options.Peers,
		pollInterval: options.PollInterval,
		timeout:      options.Timeout,
		log:          options.Log,
		mirror:       newMirror(),
		wake:         make(chan struct{}, 1),
		platformUp:   true,

		accepted: map[uint64][]fleet.Row{},
	}
	if s.pollInterval <= 0 {
		s.pollInterval = 5 * time.Second
	}
	if s.timeout <= 0 {
		s.timeout = 2 * time.Second
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	s.wantedEpoch.Store(1)
	return s
}

// Fresh reports whether the configuration was complete at some time since the
// last Refresh, or since the start.
func (s *Syncer) Fresh() bool { return s.freshEpoch.Load() == s.wantedEpoch.Load() }

// Refresh makes Fresh false until the configuration has been read completely
// again, from the platform or from peers. It does not block.
func (s *Syncer) Refresh() {
	s.wantedEpoch.Add(1)
	s.signal()
}

// PollNow schedules an immediate read of the platform. The admin API calls it
// after a change. It does not block.
func (s *Syncer) PollNow() {
	s.mu.Lock()
	s.pollNow = true
	s.mu.Unlock()
	s.signal()
}

// Accept records a change that this node wrote to the table, so that it comes
// into force and reaches peers even if the platform fails right after the
// transaction. rows is nil if only the version is known. It does not block.
func (s *Syncer) Accept(version uint64, rows []fleet.Row) {
	s.mu.Lock()
	s.pollNow = true
	if rows != nil {
		s.accepted[version] = rows
	}
	s.mu.Unlock()
	s.signal()
}

// applyAccepted applies the changes recorded by Accept in version order, up to
// the first gap.
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

// takeAccepted returns the rows of the change that follows version own, and
// discards accepted changes that are already in force.
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

// Hint reports that a peer has the given version in force, which triggers a fetch
// if this node is behind. It does not block.
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
		timer := time.NewTimer(s.untilNextStep())
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

func (s *Syncer) untilNextStep() time.Duration {
	wait := time.Until(s.nextPoll)
	if !s.Fresh() {
		wait = min(wait, notReadyInterval)
	}
	return max(wait, minPollInterval)
}

// step does what is due: it fetches from a peer that is ahead, polls the platform,
// and asks peers if the platform fails and the node is not ready.
func (s *Syncer) step(ctx context.Context) {
	epoch := s.wantedEpoch.Load()
	if peer, ok := s.takeHint(); ok {
		s.catchUpWith(ctx, peer)
	}
	s.applyAccepted()
	if s.pollDue(epoch) {
		s.pollPlatform(ctx, epoch)
	}
	s.applyAccepted()
	if !s.Fresh() && !s.platformUp {
		s.askPeers(ctx, epoch)
	}
}

// takeHint clears the hint and returns its peer, and whether that peer is ahead
// of this node.
func (s *Syncer) takeHint() (string, bool) {
	own, _ := s.mirror.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, version := s.hintPeer, s.hintVersion
	s.hintPeer, s.hintVersion = "", 0
	return peer, version > own
}

// pollDue reports whether to read the platform now. A refresh triggers one
// immediate read. After a failure the backoff applies even if the node is not
// ready, so that such nodes do not add load to a failing platform.
func (s *Syncer) pollDue(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested := s.pollNow
	s.pollNow = false
	return requested || !time.Now().Before(s.nextPoll) || s.platformUp && s.freshEpoch.Load() != epoch
}

func (s *Syncer) pollPlatform(ctx context.Context, epoch uint64) {
	err := s.readPlatform(ctx)
	if ctx.Err() != nil {
		return
	}
	interval := s.pollInterval
	if err != nil {
		s.backoff = min(max(2*s.backoff, s.pollInterval), maxPollInterval)
		interval = s.backoff
	} else {
		s.backoff = 0
		s.markFresh(epoch)
	}
	if up := err == nil; up != s.platformUp {
		s.platformUp = up
		s.log.Info("platform availability changed", zap.Bool("up", up), zap.Error(err))
	}
	s.nextPoll = time.Now().Add(interval/2 + rand.N(interval))
}

// markFresh opens the readiness gate for an epoch. It goes through the board's
// queue, so that the gate opens after all earlier updates have been applied.
func (s *Syncer) markFresh(epoch uint64) {
	if s.freshEpoch.Load() == epoch {
		return
	}
	s.board.Post(func(*blackboard.Entries) { s.freshEpoch.Store(epoch) })
}

// apply applies an update to the mirror and then to the board. Only the goroutine
// of Run may call it.
func (s *Syncer) apply(u update) {
	newer := s.mirror.apply(u)
	version, _ := s.mirror.state()
	s.board.Post(func(e *blackboard.Entries) {
		if unreadable := e.ApplyConfig(version, newer); len(unreadable) > 0 {
			s.log.Error("failed to decode configuration rows", zap.Strings("keys", firstKeys(unreadable)))
		}
	})
}

// firstKeys limits the keys in a log line to 10.
func firstKeys(keys []string) []string { return keys[:min(len(keys), 10)] }

// reachablePeers returns the known peers that are neither down nor have left.
func (s *Syncer) reachablePeers() []*fleet.NodeRecord {
	view := s.board.View()
	var nodes []*fleet.NodeRecord
	for id, node := range view.Nodes {
		if id != s.self && !node.Left && !view.DownNodes[id] {
			nodes = append(nodes, node)
		}
	}
	return nodes
}
