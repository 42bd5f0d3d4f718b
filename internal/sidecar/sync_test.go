package sidecar

import (
	"context"
	"math/rand/v2"
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
	const nodes = 20
	for _, silence := range []time.Duration{time.Second, 4500 * time.Millisecond, 20 * time.Second} {
		for begin := time.Duration(0); begin < 16*time.Second; begin += 700 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				from := time.Now().Add(begin)
				to := from.Add(silence)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for i := range uint64(nodes) {
					random := rand.New(rand.NewPCG(i, uint64(begin)))
					s := &syncer{log: zap.NewNop(), random: random.Float64}
					s.source = &silentStore{from: from, to: to, changed: to.Add(100 * time.Millisecond)}
					go s.follow(ctx, "op", configurationPause, func(_ []platform.Row, changes []platform.Change) {
						if len(changes) > 0 {
							cancel()
						}
					})
				}
				<-ctx.Done()
				g.Expect(time.Since(to)).To(BeNumerically("<=", 3*time.Second), "silent from %v for %v", begin, silence)
			})
		}
	}
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
		s := &syncer{source: store, log: zap.NewNop(), random: rand.New(rand.NewPCG(1, 1)).Float64}
		s.follow(ctx, "op", configurationPause, func([]platform.Row, []platform.Change) {})
		waits := map[time.Duration]bool{}
		for _, wait := range store.waits {
			waits[wait] = true
		}
		g.Expect(float64(len(store.waits))/time.Hour.Seconds()).To(BeNumerically("<", 0.12), "watches a second")
		g.Expect(len(waits)).To(BeNumerically(">", len(store.waits)/2))
	})
}
