package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/registration"
)

const (
	// TableMembers holds one row for each node, TableLeft the last server that
	// left beside each node.
	TableMembers = "members"
	TableLeft    = "left"
	// watchTime is how long the store holds most watches without changes, on
	// average; shortWatchTime holds for a share of them. A watch that the store
	// loses without a sign hangs until its end, and often those of all nodes are
	// made at the same moment, after a change. The nodes with a short one then
	// learn of it soon, and tell the others.
	watchTime       = 12 * time.Second
	shortWatchTime  = time.Second
	shortWatchShare = 0.2
	// membersPause lets the changes of many members arrive in one answer;
	// configurationPause does the same for a series of configurations, well
	// within the time in which one must be in force.
	membersPause       = time.Second
	configurationPause = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// firstStartPause lets all members write their rows before the first read.
	firstStartPause = 1500 * time.Millisecond
	// looseTime is the mean time between two reads of a table by a node that leaves
	// it to others to follow the table. They tell it of changes; its own reads find
	// those that no follower has seen.
	looseTime = 30 * time.Second
	// turnCheck is the time between two looks whether it is the node's turn to
	// follow.
	turnCheck = 500 * time.Millisecond
	// looseMaxBackoff bounds the pause after a failed call of a node that others
	// go before in following.
	looseMaxBackoff = 4 * time.Second
	// farPeerDelay is how long a node waits on average for news from the store or its
	// own data centre before it asks a node of another one.
	farPeerDelay = 500 * time.Millisecond
	// peerStateTimeout bounds the call that asks another node for its state.
	peerStateTimeout = time.Second
)

// Source is what a sidecar needs of the platform's store.
type Source interface {
	platform.Store
	platform.Feed
}

// Configuration says where operators write the configuration and how it reads.
type Configuration struct {
	Table, Key string
	Decode     func(value []byte) (*fleet.Config, error)
}

// syncer keeps the board in step with the store and with other nodes.
type syncer struct {
	self          Member
	settings      Settings
	board         *Board
	source        Source
	configuration Configuration
	peers         *peerClient
	log           *zap.Logger
	// asking is set while another node is asked for its state.
	asking atomic.Bool
	// turn tells how many nodes go before this one in following the store.
	turn turn
	// leftKnown is set once the leave of an earlier process was read.
	leftKnown atomic.Bool
	// lost counts the tables that could not be read the last time.
	lost atomic.Int32
	// readConfiguration asks for a read of the configuration at the store.
	readConfiguration chan struct{}
	// random yields uniform numbers from 0 to 1.
	random func() float64
}

// turn tells a node of its place among those of its data centre that may follow the
// store.
type turn interface {
	// followsClosely reports whether the node is to watch the tables, because too
	// few others of its data centre do.
	followsClosely() bool
	// isFirst reports whether the node is one of those that follow when all can.
	isFirst() bool
}

// follow reads a table and applies its changes until ctx ends. A few nodes of each
// data centre watch it; the others learn of changes from them, and read now and then
// or when asked.
func (s *syncer) follow(ctx context.Context, table string, pause time.Duration, asked <-chan struct{}, apply func(rows []platform.Row, changes []platform.Change, version uint64)) {
	version, known, down := uint64(0), false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		wait := s.watchFor(down)
		if known && !down && !s.turn.followsClosely() {
			s.rest(ctx, asked)
			wait = 0
		}
		err := s.step(ctx, table, &version, &known, wait, apply)
		if err == nil {
			if down {
				s.lost.Add(-1)
				s.log.Info("dependency regained", zap.String("dependency", "store"), zap.String("table", table))
			}
			down, backoff = false, minBackoff
			sleep(ctx, pause)
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			s.log.Info("history dropped", zap.String("table", table), zap.Uint64("version", version))
			known = false
			continue
		}
		if !down && ctx.Err() == nil {
			s.lost.Add(1)
			s.log.Warn("dependency lost", zap.String("dependency", "store"), zap.String("table", table), zap.Error(err))
		}
		down = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, s.maxBackoff(known))
	}
}

// maxBackoff bounds the pause after a failed call. Nodes that have the table leave
// it to a few to see early that the store is back.
func (s *syncer) maxBackoff(known bool) time.Duration {
	if known && !s.turn.isFirst() {
		return looseMaxBackoff
	}
	return maxBackoff
}

// rest waits until the node is to read a table that others follow: after looseTime,
// when asked, or when too few others follow.
func (s *syncer) rest(ctx context.Context, asked <-chan struct{}) {
	end := time.After(time.Duration((0.5 + s.random()) * float64(looseTime)))
	check := time.NewTicker(turnCheck)
	defer check.Stop()
	for {
		select {
		case <-end:
			return
		case <-asked:
			return
		case <-check.C:
			if s.turn.followsClosely() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// follows reports whether the node follows the store now.
func (s *syncer) follows() bool { return s.lost.Load() == 0 && s.turn.followsClosely() }

// watchFor returns how long the next watch waits for a change. While the store is
// lost it does not wait at all, to see early that the store is back.
func (s *syncer) watchFor(lost bool) time.Duration {
	if lost {
		return 0
	}
	mean := watchTime
	if s.random() < shortWatchShare {
		mean = shortWatchTime
	}
	return time.Duration((0.75 + s.random()/2) * float64(mean))
}

func (s *syncer) step(ctx context.Context, table string, version *uint64, known *bool, wait time.Duration, apply func([]platform.Row, []platform.Change, uint64)) error {
	if !*known {
		rows, at, err := s.source.Snapshot(ctx, table)
		if err != nil {
			return err
		}
		*version, *known = at, true
		apply(rows, nil, at)
		return nil
	}
	changes, next, err := s.source.Watch(ctx, table, *version, wait)
	if err != nil {
		return err
	}
	*version = next
	if len(changes) > 0 {
		apply(nil, changes, next)
	}
	return nil
}

// sleep returns after a time or at the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// followConfiguration keeps the newest configuration in force.
func (s *syncer) followConfiguration(ctx context.Context) {
	s.follow(ctx, s.configuration.Table, configurationPause, s.readConfiguration, func(rows []platform.Row, changes []platform.Change, _ uint64) {
		for _, row := range rows {
			s.takeRow(row)
		}
		for _, change := range changes {
			if !change.Removed {
				s.takeRow(change.Row)
			}
		}
	})
}

func (s *syncer) takeRow(row platform.Row) {
	if row.Key != s.configuration.Key {
		return
	}
	s.takeDocument(row.Value, "store")
}

// takeDocument puts a configuration in force if it is newer than the current one.
func (s *syncer) takeDocument(document []byte, from string) {
	config, err := s.configuration.Decode(document)
	if err != nil {
		s.log.Error("configuration not understood", zap.String("from", from), zap.Error(err))
		return
	}
	s.board.posts <- func(state *state) {
		if state.config != nil && config.Version <= state.config.Version {
			return
		}
		state.config, state.document = config, document
		s.log.Info("configuration in force", zap.Uint64("version", config.Version), zap.String("from", from))
	}
}

// followMembers writes the own row and keeps the list of members.
func (s *syncer) followMembers(ctx context.Context) {
	if s.settings.FirstStart {
		s.writeSelf(ctx)
		sleep(ctx, firstStartPause)
	}
	s.follow(ctx, TableMembers, membersPause, nil, func(rows []platform.Row, changes []platform.Change, version uint64) {
		// The store answers; a node that is ready knows whether its server left.
		s.readLeft(ctx)
		news := s.decodeMembers(rows, changes, version)
		s.board.posts <- func(state *state) { state.takeMembers(news) }
		if !s.board.View().Leaving && s.lacksSelf(news) {
			go s.writeSelf(ctx)
		}
	})
}

// lacksSelf reports whether the row of this node is missing after the changes.
func (s *syncer) lacksSelf(news memberChanges) bool {
	for _, row := range news.Rows {
		if row.ID == s.self.ID {
			return row.Removed || row.Member != s.self
		}
	}
	return news.Complete
}

// decodeMembers returns rows and changes without those that cannot be read.
func (s *syncer) decodeMembers(rows []platform.Row, changes []platform.Change, version uint64) memberChanges {
	decoded := memberChanges{Version: version, Complete: changes == nil}
	for _, change := range changes {
		if change.Removed {
			removed := memberRow{Member: Member{ID: change.Key}, Version: change.Version, Removed: true}
			if removed.Version == 0 {
				// The store need not tell when the row was removed.
				removed.Version = version
			}
			decoded.Rows = append(decoded.Rows, removed)
			continue
		}
		rows = append(rows, change.Row)
	}
	for _, row := range rows {
		member := memberRow{Version: row.Version}
		if err := json.Unmarshal(row.Value, &member.Member); err != nil || member.ID != row.Key {
			s.log.Error("member not understood", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		decoded.Rows = append(decoded.Rows, member)
	}
	return decoded
}

// writeSelf writes the row of this node until it is there.
func (s *syncer) writeSelf(ctx context.Context) {
	value, err := json.Marshal(s.self)
	if err != nil {
		s.log.Error("own row not written", zap.Error(err))
		return
	}
	s.persist(ctx, TableMembers, platform.Write{Key: s.self.ID, Value: value})
}

// removeSelf deletes the row of this node, whose server is gone.
func (s *syncer) removeSelf(ctx context.Context) {
	s.persist(ctx, TableMembers, platform.Write{Key: s.self.ID})
}

// saveLeft records that an incarnation left, for later processes of this node.
func (s *syncer) saveLeft(ctx context.Context, left registration.Incarnation) {
	value, err := json.Marshal(left)
	if err != nil {
		s.log.Error("leave not recorded", zap.Error(err))
		return
	}
	s.persist(ctx, TableLeft, platform.Write{Key: s.self.ID, Value: value})
}

// persist makes a write that may be repeated until it succeeds.
func (s *syncer) persist(ctx context.Context, table string, write platform.Write) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.source.Transact(ctx, table, nil, []platform.Write{write})
		if err == nil {
			return
		}
		s.log.Warn("write failed", zap.String("table", table), zap.String("key", write.Key), zap.Error(err))
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// restoreLeft reads which server left while an earlier process of this node ran. It
// tries until the store answers, unless the first read of the members does so.
func (s *syncer) restoreLeft(ctx context.Context) {
	for known := false; !known && ctx.Err() == nil; known = s.readLeft(ctx) {
		sleep(ctx, maxBackoff/2+rand.N(maxBackoff))
	}
}

// readLeft reads the leave of an earlier process, unless that is done. It returns
// false if the store does not answer.
func (s *syncer) readLeft(ctx context.Context) bool {
	if s.settings.FirstStart || s.leftKnown.Load() {
		return true
	}
	row, err := s.source.Get(ctx, TableLeft, s.self.ID)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.log.Warn("leaves of an earlier process are not known", zap.Error(err))
		return false
	}
	if !s.leftKnown.Swap(true) {
		s.takeLeft(row.Value)
	}
	return true
}

// takeLeft takes the recorded leave of an earlier process, empty for none.
func (s *syncer) takeLeft(value []byte) {
	var left registration.Incarnation
	if len(value) > 0 {
		if err := json.Unmarshal(value, &left); err != nil {
			s.log.Error("leave of an earlier process not understood", zap.Error(err))
		}
	}
	s.board.posts <- func(state *state) {
		if left.ID != "" {
			state.registry.RestoreDeparture(left)
		}
		state.registry.DeparturesLoaded()
	}
}

// heard takes the versions that another node has, of the configuration and of the
// table of members, 0 if it does not tell one, and asks that node for what this one
// lacks. Nodes of other data centres are asked only by a few, and only if the news do
// not come by another way soon, because their answers cross the dearest links.
func (s *syncer) heard(ctx context.Context, configuration, members uint64, addr string) {
	view := s.board.View()
	if s.wanted(view, configuration, members).none() {
		return
	}
	delay, ask := s.peerDelay(view, addr)
	if !ask || !s.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.asking.Store(false)
		sleep(ctx, delay)
		want := s.wanted(s.board.View(), configuration, members)
		if want.none() || ctx.Err() != nil {
			return
		}
		if err := s.askPeer(ctx, addr, want); err != nil {
			s.log.Warn("state of another node not read", zap.String("addr", addr), zap.Error(err))
		}
	}()
}

// peerDelay returns how long to wait for news by a better way before a node is asked,
// or false if it is not to be asked at all.
func (s *syncer) peerDelay(view *View, addr string) (time.Duration, bool) {
	// Nodes that wait for the same news ask at different times, so that the first
	// one can tell the others.
	delay := time.Duration((0.5 + s.random()) * float64(farPeerDelay))
	switch {
	case !view.MembersKnown():
		// The node has just started and reads the store.
		return delay, true
	case view.nearAddrs[addr]:
		return 0, true
	}
	return delay, s.turn.isFirst()
}

// wanted returns what this node lacks of the versions that another one has.
func (s *syncer) wanted(view *View, configuration, members uint64) stateWanted {
	return stateWanted{
		configuration: configuration > view.version(),
		// Any node that has a configuration knows members.
		members: members > view.MembersVersion || !view.MembersKnown() && configuration > 0,
		since:   view.MembersVersion,
		large:   s.lost.Load() > 0,
	}
}

func (s *syncer) askPeer(ctx context.Context, addr string, want stateWanted) error {
	ctx, cancel := context.WithTimeout(ctx, peerStateTimeout)
	defer cancel()
	answer, err := s.peers.do(ctx, addr, &httpconn.Request{
		Method: http.MethodGet, Target: "/", Host: addr, Header: http.Header{headerState: {want.encode()}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	var peer peerState
	if err := json.Unmarshal(answer.Body, &peer); err != nil {
		return trace.Wrap(err)
	}
	if len(peer.Document) > 0 {
		s.takeDocument(peer.Document, addr)
	}
	if peer.Large {
		select {
		case s.readConfiguration <- struct{}{}:
		default:
		}
	}
	if peer.Members != nil && peer.Members.Version > 0 {
		s.board.posts <- func(state *state) { state.takeMembers(*peer.Members) }
	}
	return nil
}
