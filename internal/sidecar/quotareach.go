package sidecar

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
)

// callReach is the kind of calls whose only purpose is their reply.
const callReach beacon.CallKind = 5

const (
	// reachInterval is the time between two rounds of calls to a sample of reachSample members. Two
	// rounds fit well into minSilentHomeTime, so that a home that the others do not hear has stopped before
	// another takes its place.
	reachInterval = 2 * time.Second
	reachSample   = 9
	// reachRounds is the number of failed rounds in a row after which a home counts as isolated; one may
	// fail because datagrams are lost.
	reachRounds = 2
)

// watchReach finds out, until ctx ends, whether this node reaches half of the members and is reached by
// them. Hearing them is not enough: after a cut in one direction, a home may hear all nodes while none of
// them hears it, and others take its place.
func (q *quotas) watchReach(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; sleep(ctx, reachInterval) {
		q.mu.Lock()
		active := q.home.Buckets() > 0 || q.unreached.Load()
		q.mu.Unlock()
		if !active || q.reachesHalf(ctx) {
			failed = 0
		} else {
			failed++
		}
		unreached := failed >= reachRounds
		if unreached != q.unreached.Load() {
			now := q.clock()
			q.mu.Lock()
			q.unreached.Store(unreached)
			if !unreached {
				q.resume(now)
			}
			q.mu.Unlock()
			q.log.Warn("home of accounts not reached", zap.Bool("isolated", unreached))
		}
	}
}

// reachesHalf calls a random sample of the other members and reports whether this node and those that
// reply are at least half of the sample and this node.
func (q *quotas) reachesHalf(ctx context.Context) bool {
	var addrs []netip.AddrPort
	for _, member := range q.control.View().Members {
		if addr, err := netip.ParseAddrPort(member.Beacon); err == nil && member.ID != q.settings.Node {
			addrs = append(addrs, addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(len(addrs), reachSample)]
	var replies atomic.Int64
	var group sync.WaitGroup
	for _, addr := range addrs {
		group.Go(func() {
			if _, err := q.calls.do(ctx, callReach, addr, nil); err == nil {
				replies.Add(1)
			}
		})
	}
	group.Wait()
	return 2*(int(replies.Load())+1) >= len(addrs)+1
}
