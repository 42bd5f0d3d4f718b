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
	// methodTraffic is the RPC method that returns a node's recent traffic.
	methodTraffic = "traffic.recent"
	// trafficTimeout is the timeout of one call. A node that does not respond in
	// time is left out of the totals.
	trafficTimeout = time.Second
	// maxTrafficCalls bounds the number of concurrent calls.
	maxTrafficCalls = 32
)

// handleTraffic handles methodTraffic.
func (n *Node) handleTraffic(context.Context, json.RawMessage) (any, error) {
	return n.localTraffic(), nil
}

func (n *Node) localTraffic() intent.ObservedTraffic {
	callers, accounts := n.recent.Uses()
	return intent.ObservedTraffic{Callers: callers, Accounts: accounts, Running: n.host.RunningByServer()}
}

// Observed implements admin.TrafficSource. It queries every reachable node,
// because each caller sends its requests to only a few nodes.
func (n *Node) Observed(ctx context.Context) intent.ObservedTraffic {
	totals := newTrafficTotals()
	totals.add(n.localTraffic())
	view := n.board.View()
	var group errgroup.Group
	group.SetLimit(maxTrafficCalls)
	for id := range view.Nodes {
		if id == view.Self.ID || view.DownNodes[id] {
			continue
		}
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, trafficTimeout)
			defer cancel()
			var seen intent.ObservedTraffic
			if n.gossip.Call(callCtx, id, methodTraffic, struct{}{}, &seen) == nil {
				totals.add(seen)
			}
			return nil
		})
	}
	// The calls return no errors: a node that does not respond is left out.
	_ = group.Wait()
	return totals.result()
}

// useKey identifies one caller or account of one service.
type useKey struct{ service, name string }

// trafficTotals sums the traffic observed by several nodes.
type trafficTotals struct {
	mu                sync.Mutex
	callers, accounts map[useKey]intent.Use
	running           map[string]int
}

func newTrafficTotals() *trafficTotals {
	return &trafficTotals{callers: map[useKey]intent.Use{}, accounts: map[useKey]intent.Use{}, running: map[string]int{}}
}

func (s *trafficTotals) add(seen intent.ObservedTraffic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addUses(s.callers, seen.Callers)
	addUses(s.accounts, seen.Accounts)
	for server, count := range seen.Running {
		s.running[server] += count
	}
}

func addUses(totals map[useKey]intent.Use, uses []intent.Use) {
	for _, use := range uses {
		key := useKey{service: use.Service, name: use.Name}
		total := totals[key]
		total.Service, total.Name = use.Service, use.Name
		total.Requests += use.Requests
		if use.LastSeen.After(total.LastSeen) {
			total.LastSeen = use.LastSeen
		}
		totals[key] = total
	}
}

func (s *trafficTotals) result() intent.ObservedTraffic {
	result := intent.ObservedTraffic{Running: s.running}
	for _, use := range s.callers {
		result.Callers = append(result.Callers, use)
	}
	for _, use := range s.accounts {
		result.Accounts = append(result.Accounts, use)
	}
	return result
}
