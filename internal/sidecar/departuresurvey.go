package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/quota"
)

const (
	// askInterval is the pause after the first round in which a started node asks the others for departures. It doubles
	// up to askMaxInterval.
	askInterval    = 100 * time.Millisecond
	askMaxInterval = time.Second
	// endedAfter is the time without a report of a node, which sends one every refreshInterval, after which the node counts
	// as ended if it does not answer either.
	endedAfter = 3 * refreshInterval / 2
	// askRemote is the number of nodes of other data centres that are asked. They may hold a departure of a time when the
	// own data centre had too few nodes; more than departureHolders, because the order of nodes changes as some join.
	askRemote = 2 * departureHolders
	// askLateTime is how long a node asks those that have not answered, or that it did not know, after it has begun to use
	// its server, and askLateInterval the pause between two rounds.
	askLateTime     = 30 * time.Second
	askLateInterval = 3 * time.Second
)

// departureSurvey holds the IDs of the nodes that have told which departures they hold. Only the goroutine that asks
// uses it.
type departureSurvey map[string]bool

// unanswered returns the nodes that have not answered.
func (s departureSurvey) unanswered(asked []peer) []peer {
	return slices.DeleteFunc(slices.Clone(asked), func(p peer) bool { return s[p.id] })
}

// conclusive reports whether any departure that the asked nodes hold is known. ended tells of nodes that no longer run;
// it is nil as long as that is unknown.
//
// Several nodes hold each departure, so that fewer may remain unanswered. What a node held ends with it. But if most do
// not answer, it is more likely that this one cannot hear them: then silence proves nothing.
func (s departureSurvey) conclusive(asked []peer, ended func(id string) bool) bool {
	unanswered := s.unanswered(asked)
	answered := len(asked) - len(unanswered)
	if len(unanswered) == 0 || len(unanswered) < departureHolders && answered >= departureHolders {
		return true
	}
	if ended == nil || answered < len(unanswered) {
		return false
	}
	return !slices.ContainsFunc(unanswered, func(p peer) bool { return !ended(p.id) })
}

// holders returns the nodes that may hold the departures of this node, in the order in which they are asked to: those of
// its data centre, in random order, and the first ones of other data centres if there are too few of them.
func (k *departureKeeper) holders() []peer {
	view := k.control.View()
	peers := slices.Clone(view.localPeers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) < departureHolders {
		peers = append(peers, k.remoteHolders(view)...)
	}
	return peers
}

// remoteHolders returns some nodes of other data centres in an order that hardly changes as nodes join and leave.
func (k *departureKeeper) remoteHolders(view *View) []peer {
	byNode := map[quota.Node]peer{}
	var nodes []quota.Node
	for _, p := range slices.Concat(view.remotePeers...) {
		node := quota.HashNode(p.id)
		byNode[node] = p
		nodes = append(nodes, node)
	}
	var peers []peer
	for _, node := range quota.Homes(k.node, nodes, askRemote) {
		peers = append(peers, byNode[node])
	}
	return peers
}

// askable returns the nodes that may hold a departure of this node from any time.
func (k *departureKeeper) askable() []peer {
	view := k.control.View()
	return append(slices.Clone(view.localPeers), k.remoteHolders(view)...)
}

// askHolders collects the departures that other nodes hold for this one. It asks until all nodes that run have answered,
// or so many that none of the departures can be unknown; the server is used with caution until then. The nodes that are
// known change meanwhile.
func (k *departureKeeper) askHolders(ctx context.Context) {
	if k.firstStart || k.holdersAsked.Load() {
		return
	}
	started := time.Now()
	survey := departureSurvey{}
	for pause := askInterval; !k.askOnce(ctx, survey); pause = min(2*pause, askMaxInterval) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, pause)
	}
	k.log.Info("departures held by other nodes", zap.Int("nodes_answered", len(survey)),
		zap.Int("nodes_without_answer", len(survey.unanswered(k.askable()))), zap.Duration("took", time.Since(started)))
	k.collected(&k.holdersAsked)
	go k.askLate(ctx, survey)
}

// askLate goes on asking the nodes that have not answered, or that have become known since, for askLateTime.
func (k *departureKeeper) askLate(ctx context.Context, survey departureSurvey) {
	for end := time.Now().Add(askLateTime); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, askLateInterval)
		k.askRound(ctx, survey)
	}
}

// askOnce asks the nodes that have not answered, and reports whether the answers are conclusive.
func (k *departureKeeper) askOnce(ctx context.Context, survey departureSurvey) bool {
	k.askRound(ctx, survey)
	var ended func(id string) bool
	if heard := k.heardWithin(endedAfter); heard != nil {
		ended = func(id string) bool { return !heard(id) }
	}
	return survey.conclusive(k.askable(), ended)
}

// askRound asks the nodes that have not answered, all at the same time. What they hold is applied, and saved again: they
// may end before this process does.
func (k *departureKeeper) askRound(ctx context.Context, survey departureSurvey) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range survey.unanswered(k.askable()) {
		group.Go(func() {
			reply, err := k.calls.do(ctx, callHeldDepartures, p.addr, []byte(k.node))
			departed, decodeErr := decodeDepartures(reply)
			if err != nil || decodeErr != nil {
				return
			}
			if len(departed) > 0 {
				k.log.Info("departure held by another node", zap.String("holder", p.id), zap.Int("departures", len(departed)))
				k.restore(departed)
			}
			for _, incarnation := range departed {
				k.save(ctx, incarnation)
			}
			mu.Lock()
			defer mu.Unlock()
			survey[p.id] = true
		})
	}
	group.Wait()
}

// passOn has another node hold each departure that this one holds for others, before it stops.
func (k *departureKeeper) passOn(ctx context.Context) {
	passed := 0
	for _, held := range k.held.all() {
		payload, err := json.Marshal(held)
		if err != nil {
			k.log.Error("failed to encode departure", zap.Error(err))
			continue
		}
		for _, p := range k.holders() {
			if p.id == held.Node {
				continue
			}
			if k.askToHold(ctx, p, payload) {
				passed++
				break
			}
		}
	}
	if passed > 0 {
		k.log.Info("departures passed on", zap.Int("departures", passed))
	}
}
