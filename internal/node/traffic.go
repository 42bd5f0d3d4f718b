package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tarragonford/tarragonford/internal/intent"
)

const (
	// methodTraffic asks a node for the traffic that it has seen lately.
	methodTraffic = "traffic.recent"
	// trafficTimeout bounds one call. A node that does not answer in time is
	// left out of the plan.
	trafficTimeout = time.Second
	// trafficParallel bounds the calls that are under way.
	trafficParallel = 32
)

// answerTraffic serves methodTraffic.
func (n *Node) answerTraffic(context.Context, json.RawMessage) (any, error) {
	return n.ownTraffic(), nil
}

func (n *Node) ownTraffic() intent.ObservedTraffic {
	callers, accounts := n.recent.Uses()
	return intent.ObservedTraffic{Callers: callers, Accounts: accounts, Running: n.host.RunningByServer()}
}

// Observed implements admin.TrafficSource: it asks every node, because each
// caller talks to a few nodes only.
func (n *Node) Observed(ctx context.Context) intent.ObservedTraffic {
	sum := newTrafficSum()
	sum.add(n.ownTraffic())
	view := n.board.View()
	var group errgroup.Group
	group.SetLimit(trafficParallel)
	for id := range view.Nodes {
		if id == view.Self.ID || view.DownNodes[id] {
			continue
		}
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, trafficTimeout)
			defer cancel()
			var seen intent.ObservedTraffic
			if n.gossip.Call(callCtx, id, methodTraffic, struct{}{}, &seen) == nil {
				sum.add(seen)
			}
			return nil
		})
	}
	// The calls report no errors; a silent node is left out.
	_ = group.Wait()
	return sum.result()
}

// useKey is one caller or account of one service.
type useKey struct{ service, name string }

// trafficSum adds up what several nodes have seen.
type trafficSum struct {
	mu                sync.Mutex
	callers, accounts map[useKey]intent.Use
	running           map[string]int
}

func newTrafficSum() *trafficSum {
	return &trafficSum{callers: map[useKey]intent.Use{}, accounts: map[useKey]intent.Use{}, running: map[string]int{}}
}

func (s *trafficSum) add(seen intent.ObservedTraffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addUses(s.callers, seen.Callers)
	addUses(s.accounts, seen.Accounts)
	for server, count := range seen.Running {
		s.running[server] += count
	}
}

func addUses(sum map[useKey]intent.Use, uses []intent.Use) {
	for _, use := range uses {
		key := useKey{service: use.Service, name: use.Name}
		total := sum[key]
		total.Service, total.Name = use.Service, use.Name
		total.Requests += use.Requests
		if use.LastSeen.After(total.LastSeen) {
			total.LastSeen = use.LastSeen
		}
		sum[key] = total
	}
}

func (s *trafficSum) result() intent.ObservedTraffic {
	result := intent.ObservedTraffic{Running: s.running}
	for _, use := range s.callers {
		result.Callers = append(result.Callers, use)
	}
	for _, use := range s.accounts {
		result.Accounts = append(result.Accounts, use)
	}
	return result
}
