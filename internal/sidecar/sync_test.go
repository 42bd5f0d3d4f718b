package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// silentStore does not answer calls that it receives, or that fall due, while it is silent. Its
// callers notice only after lossTimeout.
type silentStore struct {
	platform.Store
	from, to time.Time
	// losesPending is set if the watches that are pending when the silence begins are lost too.
	losesPending bool
	// changed is the time of the only change.
	changed time.Time
	// waits lists the wait times of the watches, which several nodes may begin at the same time.
	waitsLock sync.Mutex
	waits     []time.Duration
}

// lossTimeout is how long after the due time a caller gives up on a response.
const lossTimeout = 1500 * time.Millisecond

func (s *silentStore) silent(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

func (s *silentStore) Snapshot(context.Context, string) ([]platform.Row, currency.Revision, error) {
	return nil, currency.Revision{Version: 1}, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after currency.Revision, wait time.Duration) ([]platform.Change, currency.Revision, error) {
	s.waitsLock.Lock()
	s.waits = append(s.waits, wait)
	s.waitsLock.Unlock()
	issued := time.Now()
	due := issued.Add(wait)
	if at := s.changed; after.Version < 2 && at.Before(due) {
		due = at
		if at.Before(issued) {
			due = issued
		}
	}
	if s.silent(issued) || s.silent(due) || s.losesPending && issued.Before(s.to) && due.After(s.from) {
		sleep(ctx, wait+lossTimeout)
		return nil, after, platform.ErrUnavailable
	}
	sleep(ctx, time.Until(due))
	if ctx.Err() != nil || time.Now().Before(s.changed) || after.Version >= 2 {
		return nil, after, ctx.Err()
	}
	return []platform.Change{{Row: platform.Row{Key: "config", Version: 2}}}, currency.Revision{Version: 2}, nil
}

// The store answers no calls for some seconds, and a change is written right after it has
// recovered. Watches that were started or fell due during the outage are lost without notice. The
// platform considers nodes connected again 3 s after the recovery, so by then at least one node
// must have seen the change; it informs the others.
func TestAChangeAfterASilentStoreArrivesInTime(t *testing.T) {
	for _, c := range []struct{ dataCentres, nodes int }{{1, 20}, {5, 47}} {
		for _, silence := range []time.Duration{time.Second, 4500 * time.Millisecond, 20 * time.Second} {
			for begin := time.Duration(0); begin < 16*time.Second; begin += 700 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					from := time.Now().Add(begin)
					to := from.Add(silence)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					for i := range c.dataCentres {
						for _, s := range dataCentre(c.nodes, uint64(begin)+uint64(i)) {
							s.source = &silentStore{from: from, to: to, changed: to.Add(100 * time.Millisecond)}
							go s.syncTable(ctx, "op", configurationPause, nil, func(_ []platform.Row, changes []platform.Change, _ currency.Revision) {
								if len(changes) > 0 {
									cancel()
								}
							})
						}
					}
					<-ctx.Done()
					g.Expect(time.Since(to)).To(BeNumerically("<=", 3*time.Second), "%d nodes, silent from %v for %v", c.nodes, begin, silence)
				})
			}
		}
	}
}

// fixedRole is the watcherRole of a node in a fleet where all nodes hear each other. Those of each
// data centre are listed in the order of their precedence, the data centres too.
type fixedRole struct {
	preceding   []*syncer
	dataCentre  []*syncer
	self        *syncer
	dataCentres *[][]*syncer
}

func (p fixedRole) shouldWatch() bool {
	watchers := 0
	for _, other := range p.preceding {
		if other.unreadableTables.Load() == 0 {
			watchers++
		}
	}
	return watchers < watcherCount
}

func (p fixedRole) otherWatchers(table int) currency.Watchers {
	local := p.watchers(p.dataCentre, table, currency.Watchers{}, true)
	if currency.EnoughLocal(len(local.NextReads)) {
		return local
	}
	all, before := currency.Watchers{}, true
	for _, nodes := range *p.dataCentres {
		own := nodes[0] == p.dataCentre[0]
		all = p.watchers(nodes, table, all, before || own)
		before = before && !own
	}
	return all
}

// watchers adds the other watchers among the nodes of a data centre. Their rank is counted up to the
// node itself if precede is set.
func (p fixedRole) watchers(nodes []*syncer, table int, known currency.Watchers, precede bool) currency.Watchers {
	for _, other := range nodes {
		if other == p.self {
			precede = false
			continue
		}
		if !other.watching() {
			continue
		}
		if precede {
			known.Rank++
		}
		known.NextReads = append(known.NextReads, other.untilReads(time.Now())[table])
	}
	return known
}

func (p fixedRole) isPreferred() bool { return len(p.preceding) < watcherCount }

// syncerMetrics are shared by all syncers and not read. They are made outside of any synctest bubble.
var syncerMetrics = func() *telemetry.Metrics {
	process, err := telemetry.NewForProcess(context.Background(), telemetry.Process{Name: "test", Log: io.Discard}, settings.Node{ID: "self"})
	if err != nil {
		panic(err)
	}
	return process.Metrics
}()

// dataCentre returns the syncers of a data centre.
func dataCentre(nodes int, seed uint64) []*syncer { return fleetOfSyncers([]int{nodes}, seed) }

// fleetOfSyncers returns the syncers of data centres of the given sizes.
func fleetOfSyncers(sizes []int, seed uint64) (fleet []*syncer) {
	dataCentres := make([][]*syncer, len(sizes))
	for i, nodes := range sizes {
		for j := range nodes {
			random := rand.New(rand.NewPCG(uint64(j), seed+uint64(i)))
			dataCentres[i] = append(dataCentres[i], &syncer{
				log: zap.NewNop(), metrics: syncerMetrics, random: random.Float64, configuration: Configuration{Table: "op"},
			})
		}
		for j, s := range dataCentres[i] {
			s.role = fixedRole{preceding: dataCentres[i][:j], dataCentre: dataCentres[i], self: s, dataCentres: &dataCentres}
		}
		fleet = append(fleet, dataCentres[i]...)
	}
	return fleet
}

// Watches must cost little while nothing changes, and those of different nodes must end at
// different times.
func TestWatchesAreLongAndStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		never := time.Now().Add(24 * time.Hour)
		store := &silentStore{from: never, to: never, changed: never}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		s := dataCentre(1, 1)[0]
		s.source = store
		s.syncTable(ctx, "op", configurationPause, nil, func([]platform.Row, []platform.Change, currency.Revision) {})
		waits := map[time.Duration]bool{}
		for _, wait := range store.waits {
			waits[wait] = true
		}
		g.Expect(float64(len(store.waits))/time.Hour.Seconds()).To(BeNumerically("<", 0.12), "watches per second")
		g.Expect(len(waits)).To(BeNumerically(">", len(store.waits)/2))
	})
}

// changingStore has a change every few seconds and counts the calls that it receives.
type changingStore struct {
	platform.Store
	every time.Duration
	began time.Time
	calls *atomic.Int64
}

func (s *changingStore) Snapshot(context.Context, string) ([]platform.Row, currency.Revision, error) {
	s.calls.Add(1)
	return nil, currency.Revision{Version: s.version()}, nil
}

func (s *changingStore) version() uint64 { return 1 + uint64(time.Since(s.began)/s.every) }

func (s *changingStore) Watch(ctx context.Context, _ string, after currency.Revision, wait time.Duration) ([]platform.Change, currency.Revision, error) {
	s.calls.Add(1)
	if s.version() <= after.Version {
		sleep(ctx, min(wait, s.every-time.Since(s.began)%s.every))
	}
	if s.version() <= after.Version {
		return nil, after, ctx.Err()
	}
	return []platform.Change{{Row: platform.Row{Key: "config", Version: s.version()}}}, currency.Revision{Version: s.version()}, ctx.Err()
}

// In a large fleet whose members change every few seconds while servers are being replaced, the
// store calls per change must not grow with the data centre beyond the number of watchers.
func TestStoreCallsPerChangeAreBoundedByWatchers(t *testing.T) {
	for _, c := range []struct {
		nodes     int
		perSecond float64
	}{{7, 7.0}, {47, 12.0}, {100, 16.0}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			const length = 10 * time.Minute
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			calls := new(atomic.Int64)
			for _, s := range dataCentre(c.nodes, 1) {
				s.source = &changingStore{every: 2 * time.Second, began: time.Now(), calls: calls}
				go s.syncTable(ctx, TableMembers, membersPause, nil, func([]platform.Row, []platform.Change, currency.Revision) {})
			}
			<-ctx.Done()
			g.Expect(float64(calls.Load())/length.Seconds()).To(BeNumerically("<=", c.perSecond), "%d nodes", c.nodes)
		})
	}
}

// A watcher that dies, or that the store rejects, must be replaced by another node.
func TestLostWatcherIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := dataCentre(20, 1)
		calls := make([]atomic.Int64, len(all))
		for i, s := range all {
			s.source = &changingStore{every: time.Second, began: time.Now(), calls: &calls[i]}
			go s.syncTable(ctx, TableMembers, 0, nil, func([]platform.Row, []platform.Change, currency.Revision) {})
		}
		time.Sleep(time.Minute)
		next := &calls[watcherCount]
		before := next.Load()
		g.Expect(before).To(BeNumerically("<", 10))
		all[0].unreadableTables.Store(1)
		time.Sleep(10 * time.Second)
		g.Expect(next.Load() - before).To(BeNumerically(">", 8))
	})
}

// The store is unavailable or has just recovered, and a node of another data centre announces a
// configuration of 2,000 routes. The responses cross the most expensive links, so only a few nodes
// may fetch it, at different times; the others receive it from them.
func TestFewNodesAskOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	view := &View{MemberIndex: &MemberIndex{localAddrs: map[string]bool{"near": true}}, MembersRevision: revisionOf(1)}
	fetchDelays := map[time.Duration]bool{}
	for _, s := range dataCentre(47, 1) {
		if delay, ask := s.fetchDelay(view, "far"); ask {
			fetchDelays[delay] = true
		}
		delay, ask := s.fetchDelay(view, "near")
		g.Expect(ask).To(BeTrue())
		g.Expect(delay).To(BeZero())
	}
	g.Expect(fetchDelays).To(HaveLen(watcherCount))
}

// callsOf returns the store calls of a fleet for both tables, with changes of one table at an
// interval.
func callsOf(t *testing.T, sizes []int, changing string, every, length time.Duration) (calls float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		count := new(atomic.Int64)
		for table, pause := range map[string]time.Duration{"op": configurationPause, TableMembers: membersPause} {
			store := &changingStore{every: 1000 * time.Hour, began: time.Now(), calls: count}
			if table == changing {
				store.every = every
			}
			for _, s := range fleetOfSyncers(sizes, 7) {
				s.source = store
				go s.syncTable(ctx, table, pause, nil, func([]platform.Row, []platform.Change, currency.Revision) {})
			}
		}
		<-ctx.Done()
		calls = float64(count.Load())
	})
	return calls
}

// Guards against a store that gets more calls than with watches of random length around a mean of
// 9.8 s, which the bounds are from: for an idle minute, and at the design's 980 changes a day.
func TestSpacedWatchesCostNoMoreCalls(t *testing.T) {
	const changesPerMinute = 980.0 / (24 * 60)
	for _, c := range []struct {
		sizes        []int
		idle, change float64
	}{
		{[]int{3}, 34.3, 1.7},
		{[]int{7, 7, 7}, 243.7, 12.2},
		{[]int{19, 18, 18, 18}, 532.8, 18.5},
		{[]int{47, 47, 47, 46, 46}, 1222, 23.3},
	} {
		const length, every = time.Hour, 61 * time.Second
		calls := callsOf(t, c.sizes, "", 0, length)
		idle := calls / length.Minutes()
		config := (callsOf(t, c.sizes, "op", every, length) - calls) / (length.Seconds() / every.Seconds())
		members := (callsOf(t, c.sizes, TableMembers, every, length) - calls) / (length.Seconds() / every.Seconds())
		t.Logf("nodes %v: %.1f calls an idle minute, %.1f a change of the configuration, %.1f of the members", c.sizes, idle, config, members)
		g := NewWithT(t)
		g.Expect(idle).To(BeNumerically("<=", c.idle), "nodes %v", c.sizes)
		g.Expect(idle+changesPerMinute*max(config, members)).To(BeNumerically("<=", c.idle+changesPerMinute*c.change), "nodes %v", c.sizes)
	}
}

// Guards against a small fleet whose watches all hang after the store was silent: a change 3 s after
// the silence must be seen by some node in time to be in force everywhere within 2 s. The silence
// begins at any time after a change that ended all watches.
func TestASmallFleetSeesAChangeAfterASilentStoreInTime(t *testing.T) {
	const stable, propagation = 3 * time.Second, 300 * time.Millisecond
	for _, sizes := range [][]int{{3}, {4}, {5}, {1, 1, 1}, {2, 1}, {8}} {
		for _, silence := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
			for begin := 300 * time.Millisecond; begin < 24*time.Second; begin += 170 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					from := time.Now().Add(begin)
					store := &silentStore{from: from, to: from.Add(silence), changed: from.Add(silence + stable), losesPending: true}
					for _, s := range fleetOfSyncers(sizes, uint64(begin)) {
						s.source = store
						go s.syncTable(ctx, "op", configurationPause, nil, func(_ []platform.Row, changes []platform.Change, _ currency.Revision) {
							if len(changes) > 0 {
								cancel()
							}
						})
					}
					<-ctx.Done()
					NewWithT(t).Expect(time.Since(store.changed)).To(BeNumerically("<=", maxConfigurationDelay-propagation),
						"nodes %v, silent from %v for %v", sizes, begin, silence)
				})
			}
		}
	}
}

// maxConfigurationDelay is the time within which the users require a configuration to be in force.
const maxConfigurationDelay = 2 * time.Second
