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
	// random yields uniform numbers from 0 to 1.
	random func() float64
}

// follow reads a table and applies its changes until ctx ends.
func (s *syncer) follow(ctx context.Context, table string, pause time.Duration, apply func(rows []platform.Row, changes []platform.Change)) {
	version, known, down := uint64(0), false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.step(ctx, table, &version, &known, s.watchFor(down), apply)
		if err == nil {
			if down {
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
			s.log.Warn("dependency lost", zap.String("dependency", "store"), zap.String("table", table), zap.Error(err))
		}
		down = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

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

func (s *syncer) step(ctx context.Context, table string, version *uint64, known *bool, wait time.Duration, apply func([]platform.Row, []platform.Change)) error {
	if !*known {
		rows, at, err := s.source.Snapshot(ctx, table)
		if err != nil {
			return err
		}
		*version, *known = at, true
		apply(rows, nil)
		return nil
	}
	changes, next, err := s.source.Watch(ctx, table, *version, wait)
	if err != nil {
		return err
	}
	*version = next
	if len(changes) > 0 {
		apply(nil, changes)
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
	s.follow(ctx, s.configuration.Table, configurationPause, func(rows []platform.Row, changes []platform.Change) {
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
	s.follow(ctx, TableMembers, membersPause, func(rows []platform.Row, changes []platform.Change) {
		members, removed := s.decodeMembers(rows, changes)
		s.board.posts <- func(state *state) {
			if changes == nil {
				state.members = map[string]Member{}
				state.membersKnown = true
			}
			for id, member := range members {
				state.members[id] = member
			}
			for _, id := range removed {
				delete(state.members, id)
			}
			state.members[s.self.ID] = s.self
		}
		if changes == nil && members[s.self.ID] != s.self || contains(removed, s.self.ID) && !s.board.View().Leaving {
			go s.writeSelf(ctx)
		}
	})
}

func contains(list []string, id string) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

func (s *syncer) decodeMembers(rows []platform.Row, changes []platform.Change) (map[string]Member, []string) {
	members := map[string]Member{}
	var removed []string
	for _, change := range changes {
		if change.Removed {
			removed = append(removed, change.Key)
			delete(members, change.Key)
			continue
		}
		rows = append(rows, change.Row)
	}
	for _, row := range rows {
		var member Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.ID != row.Key {
			s.log.Error("member not understood", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		members[member.ID] = member
	}
	return members, removed
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

// restoreLeft reads which server left while an earlier process of this node ran.
func (s *syncer) restoreLeft(ctx context.Context) {
	row, err := s.source.Get(ctx, TableLeft, s.self.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	var left registration.Incarnation
	if err == nil {
		err = json.Unmarshal(row.Value, &left)
	}
	if err != nil {
		s.log.Warn("leaves of an earlier process are not known", zap.Error(err))
		return
	}
	s.board.posts <- func(state *state) { state.registry.Restore(left) }
}

// heard takes the configuration version of another node, and asks that node for
// its state if it is newer than the own one.
func (s *syncer) heard(ctx context.Context, version uint64, addr string) {
	view := s.board.View()
	if version == 0 || view.Config != nil && view.Config.Version >= version || !s.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.asking.Store(false)
		if err := s.askPeer(ctx, addr); err != nil {
			s.log.Warn("state of another node not read", zap.String("addr", addr), zap.Error(err))
		}
	}()
}

func (s *syncer) askPeer(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, peerStateTimeout)
	defer cancel()
	want := stateConfiguration
	if !s.board.View().MembersKnown {
		want = stateAll
	}
	answer, err := s.peers.do(ctx, addr, &httpconn.Request{
		Method: http.MethodGet, Target: "/", Host: addr, Header: http.Header{headerState: {want}},
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
	s.board.posts <- func(state *state) {
		for id, member := range peer.Members {
			if _, known := state.members[id]; !known && !state.membersKnown {
				state.members[id] = member
			}
		}
		state.membersKnown = state.membersKnown || len(peer.Members) > 0
	}
	return nil
}
