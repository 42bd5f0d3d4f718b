package sidecar

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/platform"
)

// silentStore loses the answers of the calls that it gets, or that fall due,
// while it is silent. Its callers learn that after a time.
type silentStore struct {
	platform.Store
	from, to time.Time
	// changed is the time of the one change.
	changed time.Time
	// waits lists the time that each watch was to wait.
	waits []time.Duration
}

// lostAfter is when a caller gives up an answer that is due.
const lostAfter = 1500 * time.Millisecond

func (s *silentStore) silent(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

func (s *silentStore) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	return nil, 1, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	s.waits = append(s.waits, wait)
	issued := time.Now()
	due := issued.Add(wait)
	if at := s.changed; after < 2 && at.Before(due) {
		due = at
		if at.Before(issued) {
			due = issued
		}
	}
	if s.silent(issued) || s.silent(due) {
		sleep(ctx, wait+lostAfter)
		return nil, after, platform.ErrUnavailable
	}
	sleep(ctx, time.Until(due))
	if ctx.Err() != nil || time.Now().Before(s.changed) || after >= 2 {
		return nil, after, ctx.Err()
	}
	return []platform.Change{{Row: platform.Row{Key: "config", Version: 2}}}, 2, nil
}

// The pattern: the store answers nobody for some seconds, and a change comes right
// after its return. Watches that were made or fell due meanwhile are lost without
// a sign. The platform counts nodes as in touch again 3 s after the return, so
// that until then some node must know of the change; it tells the others.
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
							go s.follow(ctx, "op", configurationPause, nil, func(_ []platform.Row, changes []platform.Change, _ uint64) {
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

// place is the turn of a node among those of its data centre, of which all hear each
// other.
type place struct{ ahead []*syncer }

func (p place) followsClosely() bool {
	following := 0
	for _, other := range p.ahead {
		if other.lost.Load() == 0 {
			following++
		}
	}
	return following < followers
}

func (p place) isFirst() bool { return len(p.ahead) < followers }

// dataCentre returns the syncers of a data centre.
func dataCentre(nodes int, seed uint64) []*syncer {
	var all []*syncer
	for i := range nodes {
		random := rand.New(rand.NewPCG(uint64(i), seed))
		all = append(all, &syncer{log: zap.NewNop(), random: random.Float64, turn: place{all[:i:i]}})
	}
	return all
}

// Watches cost little while nothing changes, and those of many nodes end at
// different times.
func TestNodesWatchForLongAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		never := time.Now().Add(24 * time.Hour)
		store := &silentStore{from: never, to: never, changed: never}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		s := dataCentre(1, 1)[0]
		s.source = store
		s.follow(ctx, "op", configurationPause, nil, func([]platform.Row, []platform.Change, uint64) {})
		waits := map[time.Duration]bool{}
		for _, wait := range store.waits {
			waits[wait] = true
		}
		g.Expect(float64(len(store.waits))/time.Hour.Seconds()).To(BeNumerically("<", 0.12), "watches a second")
		g.Expect(len(waits)).To(BeNumerically(">", len(store.waits)/2))
	})
}

// changingStore has a change every few seconds, and counts its calls.
type changingStore struct {
	platform.Store
	every time.Duration
	began time.Time
	calls *atomic.Int64
}

func (s *changingStore) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	s.calls.Add(1)
	return nil, s.version(), nil
}

func (s *changingStore) version() uint64 { return 1 + uint64(time.Since(s.began)/s.every) }

func (s *changingStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	s.calls.Add(1)
	if s.version() <= after {
		sleep(ctx, min(wait, s.every-time.Since(s.began)%s.every))
	}
	if s.version() <= after {
		return nil, after, ctx.Err()
	}
	return []platform.Change{{Row: platform.Row{Key: "config", Version: s.version()}}}, s.version(), ctx.Err()
}

// The pattern: a large fleet whose members change every few seconds, while servers
// are replaced. The calls of the store for a change do not grow with a data centre
// beyond the nodes that follow.
func TestAChangeCostsCallsOfTheFollowersOnly(t *testing.T) {
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
				go s.follow(ctx, TableMembers, membersPause, nil, func([]platform.Row, []platform.Change, uint64) {})
			}
			<-ctx.Done()
			g.Expect(float64(calls.Load())/length.Seconds()).To(BeNumerically("<=", c.perSecond), "%d nodes", c.nodes)
		})
	}
}

// A follower that dies, or that the store turns away, is replaced by another node.
func TestALostFollowerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := dataCentre(20, 1)
		calls := make([]atomic.Int64, len(all))
		for i, s := range all {
			s.source = &changingStore{every: time.Second, began: time.Now(), calls: &calls[i]}
			go s.follow(ctx, TableMembers, 0, nil, func([]platform.Row, []platform.Change, uint64) {})
		}
		time.Sleep(time.Minute)
		next := &calls[followers]
		before := next.Load()
		g.Expect(before).To(BeNumerically("<", 10))
		all[0].lost.Store(1)
		time.Sleep(10 * time.Second)
		g.Expect(next.Load() - before).To(BeNumerically(">", 8))
	})
}

// The pattern: the store is away or has just come back, and a node of another data
// centre tells of a configuration of 2,000 routes. Its answers cross the dearest links,
// so that few ask, at different times, and the others learn it from them.
func TestFewNodesAskOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	view := &View{Roster: &Roster{nearAddrs: map[string]bool{"near": true}}, MembersVersion: 1}
	asking := map[time.Duration]bool{}
	for _, s := range dataCentre(47, 1) {
		if delay, ask := s.peerDelay(view, "far"); ask {
			asking[delay] = true
		}
		delay, ask := s.peerDelay(view, "near")
		g.Expect(ask).To(BeTrue())
		g.Expect(delay).To(BeZero())
	}
	g.Expect(asking).To(HaveLen(followers))
}
