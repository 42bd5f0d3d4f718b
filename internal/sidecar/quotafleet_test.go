package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// quotaFleet connects the quotas of some nodes in virtual time.
type quotaFleet struct {
	t       testing.TB
	metrics *telemetry.Metrics
	begun   time.Time
	members map[string]Member

	// mu guards the fields below and those of the nodes.
	mu  sync.Mutex
	rng *rand.Rand
	// over and slack are the bounds of the settings.
	over, slack float64
	nodes       []*quotaNode
	// lossRate is the fraction of datagrams that are lost, maxDelay their longest delay.
	lossRate float64
	maxDelay time.Duration
	// cut reports whether no datagram passes from one node to another.
	cut  func(from, to int) bool
	runs []quotaRun
	// endBeacons ends the exchange of beacons.
	endBeacons context.CancelFunc
}

// quotaNode is a node; its process can be replaced and its instance frozen.
type quotaNode struct {
	number  int
	control *ControlLoop
	calls   *calls
	quotas  *quotas
	end     context.CancelFunc
	// frozenUntil holds back what arrives and what callers send.
	frozenUntil time.Time
	// startedAt is the start of the process, and heard the time at which it heard of each node last.
	startedAt time.Time
	heard     map[int]time.Time
	// ended is set once the instance has ended for good.
	ended bool
}

// quotaRun is a request that ran.
type quotaRun struct{ sent, ran time.Duration }

// quotaRefusal is a request that the node with the number refused.
type quotaRefusal struct {
	node int
	sent time.Duration
	err  error
}

const quotaAccount = "mill"

func newQuotaFleet(t testing.TB, nodes int, rate, burst, over, slack float64, seed uint64) *quotaFleet {
	t.Helper()
	all, err := telemetry.NewForProcess(context.Background(), telemetry.Process{Name: "test", Log: io.Discard}, settings.Node{ID: "test"})
	if err != nil {
		t.Fatal(err)
	}
	f := &quotaFleet{
		t: t, over: over, slack: slack, metrics: all.Metrics, rng: rand.New(rand.NewPCG(seed, 1)), begun: time.Now(),
		members: map[string]Member{}, maxDelay: 3 * time.Millisecond, cut: func(_, _ int) bool { return false },
	}
	for i := range nodes {
		id := fmt.Sprintf("node-%d", i)
		f.members[id] = Member{ID: id, Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Beacon: fmt.Sprintf("10.0.0.%d:90", i+1), DataCentre: "dc", Region: "r", Service: "s"}
	}
	for i := range nodes {
		n := &quotaNode{number: i, control: controlLoopOf(f.members[fmt.Sprintf("node-%d", i)], f.members)}
		f.nodes = append(f.nodes, n)
		n.configure(1, rate, burst)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	var ctx context.Context
	ctx, f.endBeacons = context.WithCancel(context.Background())
	go f.exchangeBeacons(ctx)
	return f
}

// configure puts a limit of the account in force at a node.
func (n *quotaNode) configure(version uint64, rate, burst float64) {
	n.control.apply(func(s *state) {
		s.config = &fleet.Config{Version: version, Accounts: map[string]fleet.Account{quotaAccount: {ID: quotaAccount, RatePerSecond: rate, Burst: burst}}}
	})
}

// start replaces the process of a node.
func (f *quotaFleet) start(n *quotaNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.end != nil {
		n.end()
	}
	var lifetime context.Context
	lifetime, n.end = context.WithCancel(context.Background())
	id := fmt.Sprintf("node-%d", n.number)
	n.calls = newCalls(Member{ID: id}, zap.NewNop(), func(data []byte, to netip.AddrPort) error {
		if lifetime.Err() == nil {
			f.deliver(n.number, int(to.Addr().As4()[3])-1, slices.Clone(data))
		}
		return nil
	})
	n.quotas = newQuotas(lifetime, Settings{Node: id, QuotaWindow: 5 * time.Second, QuotaOver: f.over, QuotaSlack: f.slack},
		n.control, n.calls, zap.NewNop(), f.metrics, f.now, func(within time.Duration) func(string) bool { return f.heardWithin(n, within) })
	n.startedAt, n.heard = time.Now(), map[int]time.Time{}
	go n.quotas.watchReach(lifetime)
}

// heardWithin returns which nodes a node has heard of lately.
func (f *quotaFleet) heardWithin(n *quotaNode, within time.Duration) func(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(n.startedAt) < within {
		return nil
	}
	heard := map[string]bool{}
	for number, at := range n.heard {
		heard[fmt.Sprintf("node-%d", number)] = time.Since(at) <= within
	}
	return func(id string) bool { return heard[id] }
}

// exchangeBeacons lets the nodes hear of each other each second, only directly: reports are not passed on within
// a data centre.
func (f *quotaFleet) exchangeBeacons(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, time.Second) {
		f.mu.Lock()
		now := time.Now()
		silent := func(n *quotaNode) bool { return n.ended || now.Before(n.frozenUntil) }
		for _, from := range f.nodes {
			if silent(from) {
				continue
			}
			for _, to := range f.nodes {
				if silent(to) || f.cut(from.number, to.number) {
					continue
				}
				to.heard[from.number] = now
			}
		}
		f.mu.Unlock()
	}
}

// process returns the process of a node, and the end of the freeze of its instance.
func (f *quotaFleet) process(n *quotaNode) (*calls, *quotas, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.calls, n.quotas, n.frozenUntil
}

func (f *quotaFleet) now() time.Duration { return time.Hour + time.Since(f.begun) }

// deliver passes a datagram on, late or not at all.
func (f *quotaFleet) deliver(from, to int, data []byte) {
	n := f.nodes[to]
	process, _, frozenUntil := f.process(n)
	f.mu.Lock()
	lost := process == nil || f.cut(from, to) || f.nodes[from].ended || n.ended || f.rng.Float64() < f.lossRate
	delay := time.Duration(f.rng.Int64N(int64(f.maxDelay)))
	f.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(max(delay, time.Until(frozenUntil)), func() {
		if now, _, _ := f.process(n); now == process {
			process.receive(time.Now(), data, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(from + 1)}), 90))
		}
	})
}

// request sends a request to a node. It runs after the given time, or never if that is negative.
// The result is the error with which it is refused.
func (f *quotaFleet) request(n *quotaNode, ran time.Duration) error {
	sent := f.now()
	_, _, frozenUntil := f.process(n)
	time.Sleep(time.Until(frozenUntil))
	_, quotas, _ := f.process(n)
	claim := quotas.begin(n.control.View(), AccountName{InUse: true, Name: quotaAccount})
	_, err := claim.wait(context.Background(), time.Minute)
	if err != nil {
		claim.giveBack()
		return err
	}
	time.Sleep(max(ran, -ran))
	if ran < 0 {
		claim.giveBack()
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, quotaRun{sent, f.now()})
	return nil
}

// mostInAWindow returns the largest number of requests that were both sent and run in a window that
// begins at the given time or later.
func (f *quotaFleet) mostInAWindow(from time.Duration, length time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, first := range f.runs {
		if first.sent < from {
			continue
		}
		count := 0
		for _, r := range f.runs {
			if r.sent >= first.sent && r.ran <= first.sent+length {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// stop ends all processes.
func (f *quotaFleet) stop() {
	f.endBeacons()
	for _, n := range f.nodes {
		n.end()
	}
}

// load sends requests to random nodes for some time, a share of which does not run, and returns those
// that were refused. The times between requests are exponential if random is set.
func (f *quotaFleet) load(length time.Duration, perSecond, unserved float64, random bool) []quotaRefusal {
	var refused []quotaRefusal
	for end := time.Now().Add(length); time.Now().Before(end); {
		f.mu.Lock()
		gap := 0.5 + f.rng.Float64()
		if random {
			gap = f.rng.ExpFloat64()
		}
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		if n.ended {
			f.mu.Unlock()
			time.Sleep(time.Millisecond)
			continue
		}
		ran := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
		if f.rng.Float64() < unserved {
			ran = -ran - 1
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(gap / perSecond * float64(time.Second)))
		go func() {
			sent := f.now()
			if err := f.request(n, ran); err != nil {
				f.mu.Lock()
				refused = append(refused, quotaRefusal{n.number, sent, err})
				f.mu.Unlock()
			}
		}()
	}
	// The last requests may still run.
	time.Sleep(10 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	return refused
}
