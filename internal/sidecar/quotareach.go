package sidecar

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/quota"
)

// callReach is the kind of calls that show that their sender runs and ask about silent nodes. The payload lists
// nodes by their beacon keys, 4 bytes each; the reply has a bit for each that is set if the node was heard of.
const callReach beacon.CallKind = 5

const (
	// reachInterval is the time between two rounds of calls to a random sample of reachSample members, and
	// reachRetry that while the node has no lease.
	reachInterval = 2 * time.Second
	reachRetry    = 500 * time.Millisecond
	reachSample   = 15
	// startInterval is the time between two looks whether a process that starts knows the members and their
	// configuration.
	startInterval = 50 * time.Millisecond
	// reachLease is the time from the start of a round to which at least half replied for which a node may be
	// a home. One round may fail. It is shorter than calledMemoryTime, for which those that replied do not
	// confirm that the node is silent.
	reachLease       = 4500 * time.Millisecond
	calledMemoryTime = 5 * time.Second
	// maxSuspects bounds the silent nodes that a call asks about, so that it fits a datagram.
	maxSuspects = 250
)

// quotaReach is what a node knows from the calls of other nodes and from its own rounds. Times are those of the
// clock of quotas, which guards it.
type quotaReach struct {
	// reached is set once a round succeeded; reachedAt is the start of the last one that did.
	reached   bool
	reachedAt time.Duration
	// called holds the time of the last call of each node.
	called map[beacon.NodeHash]time.Duration
	// silent are the nodes that the last round confirmed to be silent, replaced those that the one before did
	// too. replacedAt is the start of the last round.
	silent, replaced []quota.Node
	replacedAt       time.Duration
}

// mayGrant reports whether the node may grant credits as a home.
func (r *quotaReach) mayGrant(now time.Duration) bool {
	return r.reached && now-r.reachedAt <= reachLease
}

// replacedNow returns the silent nodes that others may replace.
func (r *quotaReach) replacedNow(now time.Duration) []quota.Node {
	if now-r.replacedAt > quota.TakeoverTime {
		return nil
	}
	return r.replaced
}

// heard reports whether a node has called lately.
func (r *quotaReach) heard(now time.Duration, node beacon.NodeHash) bool {
	at, ok := r.called[node]
	return ok && now-at <= calledMemoryTime
}

// noLongerSilent ends the replacement of a node.
func (r *quotaReach) noLongerSilent(node quota.Node) {
	same := func(other quota.Node) bool { return other == node }
	if slices.Contains(r.silent, node) {
		r.silent, r.replaced = slices.DeleteFunc(slices.Clone(r.silent), same), slices.DeleteFunc(slices.Clone(r.replaced), same)
	}
}

// suspect is a node that this node does not hear.
type suspect struct {
	key  beacon.NodeHash
	node quota.Node
}

// watchReach finds out, until ctx ends, whether this node reaches half of the members and is reached by them, and
// which nodes are silent for all that it reaches. Hearing others is not enough: after a cut in one direction, a
// home may hear all nodes while none of them hears it.
func (q *quotas) watchReach(ctx context.Context) {
	var config *fleet.Config
	limited := false
	for ctx.Err() == nil {
		view := q.control.View()
		if view.Config != config {
			config, limited = view.Config, limitsAccounts(view.Config)
		}
		pause := reachInterval
		switch {
		case view.Config == nil || !view.MembersKnown():
			pause = startInterval
		case limited:
			pause = q.reachRound(ctx, view)
		default:
			q.skipRound()
		}
		sleep(ctx, pause)
	}
}

func limitsAccounts(config *fleet.Config) bool {
	if config == nil {
		return false
	}
	for _, account := range config.Accounts {
		if account.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// skipRound lets a node be a home at once when the first account gets a limit.
func (q *quotas) skipRound() {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reach.reached, q.reach.reachedAt = true, now
	q.reach.silent, q.reach.replaced = nil, nil
}

// reachRound calls a random sample of the other members and returns the time until the next round.
func (q *quotas) reachRound(ctx context.Context, view *View) time.Duration {
	started := q.clock()
	suspects := q.suspects(started, view)
	payload := make([]byte, 0, 4*len(suspects))
	for _, s := range suspects {
		payload = binary.BigEndian.AppendUint32(payload, uint32(s.key))
	}
	addrs := q.sampleMembers(view)
	var mu sync.Mutex
	replies, heard := 0, make([]bool, len(suspects))
	var group sync.WaitGroup
	for _, addr := range addrs {
		group.Go(func() {
			reply, err := q.calls.do(ctx, callReach, addr, payload)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies++
			for i := range heard {
				// A node that replies less than was asked confirms nothing.
				heard[i] = heard[i] || len(reply) != (len(suspects)+7)/8 || reply[i/8]>>(i%8)&1 == 1
			}
		})
	}
	group.Wait()
	var silent []quota.Node
	for i, s := range suspects {
		if !heard[i] {
			silent = append(silent, s.node)
		}
	}
	return q.endRound(ctx, started, 2*(replies+1)-(len(addrs)+1), silent)
}

// endRound applies the result of a round: twice the number of nodes that replied, this one included, less the
// number of those that were asked, and the nodes that none of them heard of.
func (q *quotas) endRound(ctx context.Context, started time.Duration, majority int, silent []quota.Node) time.Duration {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &q.reach
	reached, held := r.reached, r.mayGrant(now)
	if majority >= 0 {
		if reached && !held {
			// Others may have granted in the place of this node meanwhile.
			q.home.Resume(now)
		}
		r.reached, r.reachedAt = true, started
	}
	if majority <= 0 {
		silent = nil
	}
	slices.Sort(silent)
	r.replaced = slices.DeleteFunc(slices.Clone(silent), func(n quota.Node) bool { return !slices.Contains(r.silent, n) })
	r.silent, r.replacedAt = silent, started
	holds := r.mayGrant(now)
	if reached && held != holds && ctx.Err() == nil {
		q.log.Warn("home of accounts not reached", zap.Bool("isolated", !holds))
	}
	if !holds {
		return reachRetry
	}
	return reachInterval
}

// suspects returns nodes that this node has not heard of, at most maxSuspects.
func (q *quotas) suspects(now time.Duration, view *View) []suspect {
	heard := q.heardLately(view)
	if heard == nil {
		return nil
	}
	var suspects []suspect
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range view.Members {
		if key := beacon.HashNode(id); id != q.settings.Node && !heard(id) && !q.reach.heard(now, key) {
			suspects = append(suspects, suspect{key, quota.HashNode(id)})
		}
	}
	// The first ones are the same at all nodes and in all rounds.
	slices.SortFunc(suspects, func(a, b suspect) int { return int(int64(a.key) - int64(b.key)) })
	return suspects[:min(len(suspects), maxSuspects)]
}

// heardLately returns which nodes a report has been heard of lately; nil if that is not known. Nodes that share a
// beacon key always count as heard, because their reports are not told apart.
func (q *quotas) heardLately(view *View) func(id string) bool {
	heard := q.heardWithin(silentHomeTime(view.largestDataCentre()))
	if heard == nil {
		return nil
	}
	return func(id string) bool {
		_, unique := view.memberOf(beacon.HashNode(id))
		return !unique || heard(id)
	}
}

// sampleMembers returns the addresses of a random sample of the other members.
func (q *quotas) sampleMembers(view *View) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, member := range view.Members {
		if addr, err := netip.ParseAddrPort(member.Beacon); err == nil && member.ID != q.settings.Node {
			addrs = append(addrs, addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(len(addrs), reachSample)]
}

// answerReach records that a node runs, and tells which of the nodes in its call this node has heard of. A
// process that started lately does not know of earlier calls, so it confirms nothing.
func (q *quotas) answerReach(_ time.Time, from beacon.NodeHash, payload []byte) []byte {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reach.called[from] = now
	view := q.control.View()
	if caller, known := view.memberOf(from); known {
		q.reach.noLongerSilent(quota.HashNode(caller.ID))
	}
	if len(payload) == 0 {
		return nil
	}
	heard := q.heardLately(view)
	young := heard == nil || now-q.started <= calledMemoryTime
	reply := make([]byte, (len(payload)/4+7)/8)
	for i := range len(payload) / 4 {
		key := beacon.NodeHash(binary.BigEndian.Uint32(payload[4*i:]))
		member, known := view.memberOf(key)
		if young || !known || member.ID == q.settings.Node || heard(member.ID) || q.reach.heard(now, key) {
			reply[i/8] |= 1 << (i % 8)
		}
	}
	return reply
}
