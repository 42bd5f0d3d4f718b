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

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// TableMembers holds one row per node; TableDepartures holds, per node, the last servers that left.
	TableMembers    = "members"
	TableDepartures = "left"
	// watchJitter is the fraction by which the length of a watch varies. It is small, because the
	// watches of several nodes are spaced evenly.
	watchJitter = 0.005
	// minWatch is the shortest time that a watch waits for changes.
	minWatch = 200 * time.Millisecond
	// membersPause batches the changes of many members into one response. configurationPause does
	// the same for a series of configurations; it is well below the time within which one must be
	// in force.
	membersPause       = time.Second
	configurationPause = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// pollInterval is the mean time between two reads of a table by a node that does not watch it.
	// The watchers tell it of changes; polling finds those that no watcher has seen.
	pollInterval = 30 * time.Second
	// roleCheckInterval is the time between two checks whether the node should watch the store.
	roleCheckInterval = 500 * time.Millisecond
	// pollerMaxBackoff bounds the pause after a failed call on nodes that others have precedence
	// over in watching.
	pollerMaxBackoff = 4 * time.Second
	// remotePeerDelay is how long a node waits on average for updates from the store or its own
	// data centre before it asks a node of another one.
	remotePeerDelay = 500 * time.Millisecond
	// spreadFrom is the number of other nodes in a data centre up to which all ask for a configuration at
	// once, and spreadPerPeer the time by which each further one extends the time in which they ask.
	spreadFrom    = 25
	spreadPerPeer = 8 * time.Millisecond
	// peerStateTimeout bounds a request for the state of another node.
	peerStateTimeout = time.Second
)

// Source is the part of the platform's store API that a sidecar uses.
type Source interface {
	platform.Store
	platform.Feed
}

// Configuration tells in which row operators write the configuration and how to decode it.
type Configuration struct {
	Table, Key string
	Decode     func(value []byte) (*fleet.Config, error)
}

// syncer keeps the control state in sync with the store and with other nodes.
type syncer struct {
	self          Member
	settings      Settings
	control       *ControlLoop
	source        Source
	configuration Configuration
	peers         *peerClient
	log           *zap.Logger
	metrics       *telemetry.Metrics
	// announcers are the nodes that a configuration can be fetched from.
	announcers announcers
	// fetching is set while another node is being asked for its state.
	fetching atomic.Bool
	// role tells whether this node should watch the store.
	role watcherRole
	// confirmations holds the proofs of the age of the configuration; nil if none are needed.
	confirmations *confirmations
	// witness decides which reads of the configuration are proofs of its age. Only syncConfiguration uses it.
	witness currency.Witness
	// nextReads are the times of the next reads of the watched tables, by the index of the table.
	nextReads  [beacon.WatchedTables]atomic.Pointer[time.Time]
	departures *departureKeeper
	// selfLacking holds a token if the store may lack the row of this node.
	selfLacking chan struct{}
	// unreadableTables counts the tables whose last read failed.
	unreadableTables atomic.Int32
	// readConfiguration triggers a read of the configuration from the store.
	readConfiguration chan struct{}
	// random returns uniform numbers from 0 to 1.
	random func() float64
}

// watcherRole decides which nodes of a data centre watch the store.
type watcherRole interface {
	// shouldWatch reports whether the node should watch the tables because too few of the nodes
	// that have precedence over it do.
	shouldWatch() bool
	// isPreferred reports whether the node is one of the watchers when all nodes can watch.
	isPreferred() bool
	// otherWatchers returns the other nodes that watch the store and when they next ask it for the
	// table with the index.
	otherWatchers(table int) currency.Watchers
}

// Indexes of the watched tables in beacons.
const (
	configurationIndex = iota
	membersIndex
)

func indexOf(table string) int {
	if table == TableMembers {
		return membersIndex
	}
	return configurationIndex
}

// syncTable reads a table and applies its changes until ctx ends. A few nodes of each data centre
// watch the table. The others learn of changes from them, and read it at intervals or on request.
func (s *syncer) syncTable(ctx context.Context, table string, pause time.Duration, pollNow <-chan struct{}, apply func(rows []platform.Row, changes []platform.Change, at currency.Revision)) {
	at, loaded, down, changed := currency.Revision{}, false, false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		wait := s.planWatch(table, down, changed, pause)
		if loaded && !down && !s.role.shouldWatch() {
			s.waitForPoll(ctx, pollNow)
			wait = 0
		}
		asked, clockRead := s.confirmations.clockNow()
		var err error
		changed, err = s.readOrWatch(ctx, table, &at, &loaded, wait, apply)
		if err == nil {
			if down {
				s.unreadableTables.Add(-1)
				s.log.Info("dependency regained", zap.String("dependency", "store"), zap.String("table", table))
			}
			if clockRead && table == s.configuration.Table {
				s.confirmStored(asked)
			}
			down, backoff = false, minBackoff
			sleep(ctx, pause)
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			loaded = false
			continue
		}
		if !down && ctx.Err() == nil {
			s.unreadableTables.Add(1)
			s.log.Warn("dependency lost", zap.String("dependency", "store"), zap.String("table", table), zap.Error(err))
		}
		down = true
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, s.maxBackoffFor(loaded))
	}
}

// confirmStored adds the proof that no configuration was newer than the newest one read from the
// store when the store was asked, if the store can know. The control goroutine applies that configuration first.
func (s *syncer) confirmStored(asked time.Duration) {
	proof, proved := s.witness.Proof(asked)
	if !proved {
		return
	}
	s.control.pending <- func(*state) { s.confirmations.add(proof, confirmedByStore) }
}

// maxBackoffFor bounds the pause after a failed call. Nodes that already have the table leave it
// to the preferred watchers to detect early that the store is back.
func (s *syncer) maxBackoffFor(loaded bool) time.Duration {
	if loaded && !s.role.isPreferred() {
		return pollerMaxBackoff
	}
	return maxBackoff
}

// waitForPoll waits until the node should read a table that others watch: after pollInterval, on
// request, or when too few others watch.
func (s *syncer) waitForPoll(ctx context.Context, pollNow <-chan struct{}) {
	end := time.After(time.Duration((0.5 + s.random()) * float64(pollInterval)))
	check := time.NewTicker(roleCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-end:
			return
		case <-pollNow:
			return
		case <-check.C:
			if s.role.shouldWatch() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// watching reports whether the node currently watches the store.
func (s *syncer) watching() bool { return s.unreadableTables.Load() == 0 && s.role.shouldWatch() }

// planWatch returns how long the next watch of a table waits for a change, if the last read was
// followed by a pause. changed tells that the last read brought a change, which ended the watches of
// all nodes. While the store is unavailable a watch does not wait at all, to detect early that the
// store is back.
func (s *syncer) planWatch(table string, storeDown, changed bool, pause time.Duration) time.Duration {
	if storeDown {
		return 0
	}
	var next time.Duration
	if table == s.configuration.Table && s.confirmations.active() {
		if s.confirmations.due() {
			return 0
		}
		next = s.confirmations.policy.WatchPeriod()
	} else {
		next = s.role.otherWatchers(indexOf(table)).NextRead(changed)
	}
	wait := max(time.Duration((1-watchJitter+2*watchJitter*s.random())*float64(next))-pause, minWatch)
	s.planRead(table, wait+pause)
	return wait
}

// planRead records when this node next asks the store for a table, for the beacons.
func (s *syncer) planRead(table string, in time.Duration) {
	at := time.Now().Add(in)
	s.nextReads[indexOf(table)].Store(&at)
}

// untilReads returns the times until this node next asks the store for each table.
func (s *syncer) untilReads(now time.Time) (until [beacon.WatchedTables]time.Duration) {
	for i := range until {
		if at := s.nextReads[i].Load(); at != nil {
			until[i] = at.Sub(now)
		}
	}
	return until
}

// readOrWatch reads the whole table, or its changes once it was read. It reports whether there were
// any.
func (s *syncer) readOrWatch(ctx context.Context, table string, at *currency.Revision, loaded *bool, wait time.Duration, apply func([]platform.Row, []platform.Change, currency.Revision)) (changed bool, err error) {
	if !*loaded {
		rows, read, err := s.source.Snapshot(ctx, table)
		if err != nil {
			return false, err
		}
		s.logTableRead(table, *at, read, len(rows))
		*at, *loaded = read, true
		apply(rows, nil, read)
		return true, nil
	}
	changes, next, err := s.source.Watch(ctx, table, *at, wait)
	if err != nil {
		return false, err
	}
	*at = next
	if len(changes) > 0 {
		apply(nil, changes, next)
	}
	return len(changes) > 0, nil
}

// Reasons for reads of whole tables, for the log and the metrics.
const (
	firstRead        = "first"
	historyCompacted = "compacted"
	storeRestored    = "restored"
)

// logTableRead logs the read of a whole table. before is the revision up to which its changes were followed.
func (s *syncer) logTableRead(table string, before, at currency.Revision, rows int) {
	reason := historyCompacted
	switch {
	case before.IsZero():
		reason = firstRead
	case before.Era != at.Era:
		reason = storeRestored
	}
	s.metrics.TableReads.Inc(reason)
	s.log.Info("table read", zap.String("table", table), zap.String("reason", reason), zap.Uint64("before", before.Version),
		zap.Uint64("version", at.Version), zap.Uint64("era", at.Era), zap.Int("rows", rows))
}

// sleep returns after the duration or at the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// syncConfiguration keeps the newest configuration in force.
func (s *syncer) syncConfiguration(ctx context.Context) {
	s.syncTable(ctx, s.configuration.Table, configurationPause, s.readConfiguration, func(rows []platform.Row, changes []platform.Change, at currency.Revision) {
		s.observeEra(at.Era)
		for _, row := range rows {
			s.applyRow(row)
		}
		for _, change := range changes {
			if !change.Removed {
				s.applyRow(change.Row)
			}
		}
	})
}

// observeEra tells the witness the era of what was read.
func (s *syncer) observeEra(era uint64) {
	if now, ok := s.confirmations.clockNow(); ok {
		s.witness.Observe(era, now, s.control.View().configVersion())
	}
}

func (s *syncer) applyRow(row platform.Row) {
	if row.Key != s.configuration.Key {
		return
	}
	version, valid := s.applyDocument(row.Value, "store")
	if !valid {
		s.witness.Unreadable()
		return
	}
	s.witness.Stored(version)
}

// applyDocument puts a configuration in force if it is newer than the current one. It returns the
// version of the document, or false if it is invalid.
func (s *syncer) applyDocument(document []byte, from string) (version uint64, valid bool) {
	config, err := s.configuration.Decode(document)
	if err != nil {
		s.log.Error("invalid configuration", zap.String("from", from), zap.Error(err))
		return 0, false
	}
	s.control.pending <- func(state *state) {
		if state.config != nil && config.Version <= state.config.Version {
			if config.Version < state.config.Version {
				s.log.Info("older configuration not taken", zap.Uint64("version", config.Version), zap.Uint64("config", state.config.Version), zap.String("from", from))
			}
			return
		}
		state.config, state.document = config, document
		s.log.Info("configuration in force", zap.Uint64("version", config.Version), zap.String("from", from))
	}
	return config.Version, true
}

// persist makes an idempotent write and retries until it succeeds.
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

// onPeerVersions processes the version of the configuration and the revision of the members table that another
// node has, zero for one that it did not announce, and fetches from that node what this one lacks.
// Only a few nodes ask nodes of other data centres, and only if the update does not arrive by
// another path soon, because the responses cross the most expensive links.
func (s *syncer) onPeerVersions(ctx context.Context, configuration uint64, members currency.Revision, addr string) {
	view := s.control.View()
	missing := s.missingState(view, configuration, members)
	if missing.empty() {
		return
	}
	if missing.configuration && view.localAddrs[addr] {
		s.announcers.add(configuration, addr)
	}
	delay, ask := s.fetchDelay(view, addr)
	if missing.configuration || members.Era > view.MembersRevision.Era {
		delay += s.spreadDelay(len(view.localPeers))
	}
	if !ask || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		sleep(ctx, delay)
		want := s.missingState(s.control.View(), configuration, members)
		if want.empty() || ctx.Err() != nil {
			return
		}
		if want.configuration {
			addr = s.announcers.pick(configuration, addr, s.random)
		}
		if err := s.fetchState(ctx, addr, want); err != nil {
			s.log.Warn("state of another node not read", zap.String("addr", addr), zap.Error(err))
		}
	}()
}

// spreadDelay returns a random time by which a node of a large data centre delays its request for a
// configuration or for the whole list of members. The nodes that ask first pass them on to the others, so that the links of
// the few nodes that watch the store do not carry them to all.
func (s *syncer) spreadDelay(peers int) time.Duration {
	return time.Duration(s.random() * float64(max(peers-spreadFrom, 0)) * float64(spreadPerPeer))
}

// fetchDelay returns how long to wait for an update by a cheaper path before a node is asked, or
// false if it must not be asked at all.
func (s *syncer) fetchDelay(view *View, addr string) (time.Duration, bool) {
	// Nodes that wait for the same update ask at different times, so that the first one can pass
	// it on to the others.
	delay := time.Duration((0.5 + s.random()) * float64(remotePeerDelay))
	switch {
	case !view.MembersKnown():
		// The node has just started and is reading the store.
		return delay, true
	case view.localAddrs[addr]:
		return 0, true
	}
	return delay, s.role.isPreferred()
}

// missingState returns what this node lacks compared with the versions that another one has.
func (s *syncer) missingState(view *View, configuration uint64, members currency.Revision) stateRequest {
	return stateRequest{
		configuration: configuration > view.configVersion(),
		// Any node that has a configuration also has a list of members.
		members: members.After(view.MembersRevision) || !view.MembersKnown() && configuration > 0,
		since:   view.MembersRevision,
		anySize: s.unreadableTables.Load() > 0,
	}
}

func (s *syncer) fetchState(ctx context.Context, addr string, want stateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerStateTimeout)
	defer cancel()
	response, err := s.peers.do(ctx, addr, &httpconn.Request{
		Method: http.MethodGet, Target: "/", Host: addr, Header: http.Header{headerState: {want.encode()}},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	var received peerState
	if err := json.Unmarshal(response.Body.Bytes(), &received); err != nil {
		return trace.Wrap(err)
	}
	if len(received.Document) > 0 {
		s.applyDocument(received.Document, addr)
	}
	if received.Large {
		select {
		case s.readConfiguration <- struct{}{}:
		default:
		}
	}
	if received.Members != nil && !received.Members.Revision.IsZero() {
		s.control.pending <- func(state *state) { s.mergeMembers(state, *received.Members) }
	}
	return nil
}
