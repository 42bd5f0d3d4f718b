package eject_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	unionServers = 20
	unionSlots   = 6
	unionFloor   = 96 // four of twenty servers may be set aside
	unionTick    = 100 * time.Millisecond
	unionGossip  = 500 * time.Millisecond
)

// serverRecord is what one host publishes.
type serverRecord struct {
	version int
	health  fleet.Health
	since   time.Duration
	asked   time.Duration // 0 if no place is held
}

// gossipModel is a fleet of nodes that exchange records with a random node
// every 500 ms. The first nodes each host one server.
type gossipModel struct {
	rng     *rand.Rand
	counted bool
	now     time.Duration
	views   [][unionServers]serverRecord
	next    []time.Duration
	truth   [unionServers]bool
	flipAt  [unionServers]time.Duration
}

func newGossipModel(nodes int, seed uint64, counted bool) *gossipModel {
	m := &gossipModel{rng: rand.New(rand.NewPCG(seed, 9)), counted: counted}
	m.views = make([][unionServers]serverRecord, nodes)
	for range nodes {
		m.next = append(m.next, time.Duration(m.rng.Int64N(int64(unionGossip))))
	}
	for i := range m.flipAt {
		m.flipAt[i] = m.untilFlip()
	}
	return m
}

// untilFlip makes more servers bad than the floor lets go, half of the time at
// the same moment, as when a rack fails.
func (m *gossipModel) untilFlip() time.Duration {
	at := m.now + time.Duration(float64(15*time.Second)*m.rng.ExpFloat64())
	if m.rng.IntN(2) == 0 {
		at = at.Truncate(10*time.Second) + 10*time.Second
	}
	return at
}

func (m *gossipModel) step() {
	m.now += unionTick
	for i := range m.flipAt {
		m.stepHost(i)
	}
	for node := range m.views {
		if m.now >= m.next[node] {
			m.next[node] += unionGossip
			m.exchange(node, m.rng.IntN(len(m.views)))
		}
	}
}

// stepHost follows controller.Detection and controller.Ejection.
func (m *gossipModel) stepHost(i int) {
	own := &m.views[i][i]
	if m.now >= m.flipAt[i] {
		m.truth[i] = !m.truth[i]
		m.flipAt[i] = m.untilFlip()
		own.version++
		own.since = m.now
		own.health = fleet.Healthy
		if m.truth[i] {
			own.health = fleet.Ejected
			if own.asked == 0 || !m.counted {
				own.asked = m.now
			}
		} else if !m.counted {
			own.asked = 0
		}
	}
	if own.health != fleet.Ejected && own.asked != 0 && m.now-own.since >= eject.SettleTime {
		own.version++
		own.asked = 0
	}
}

func (m *gossipModel) exchange(a, b int) {
	for i := range unionServers {
		first, second := &m.views[a][i], &m.views[b][i]
		if first.version > second.version {
			*second = *first
		} else {
			*first = *second
		}
	}
}

// excess returns how many slots beyond the budget the nodes set aside together.
func (m *gossipModel) excess() int {
	var union [unionServers]bool
	for node := range m.views {
		decision := eject.Decide(fleet.Service{FloorSlots: unionFloor}, m.members(node))
		for i, standing := range decision.Standings {
			union[i] = union[i] || standing == fleet.SetAside
		}
	}
	slots := 0
	for _, aside := range union {
		if aside {
			slots += unionSlots
		}
	}
	return max(slots-(unionServers*unionSlots-unionFloor), 0)
}

func (m *gossipModel) members(node int) []eject.Member {
	members := make([]eject.Member, unionServers)
	for i, r := range m.views[node] {
		members[i] = eject.Member{ID: string(rune('a' + i)), Slots: unionSlots, Warmth: 1, Health: r.health}
		if r.asked != 0 {
			members[i].RequestedAt = time.Unix(0, int64(r.asked))
			members[i].Settled = !m.counted || m.now-r.asked >= eject.SettleTime
		}
	}
	return members
}

// measureUnion returns the largest excess and the share of time with one.
func measureUnion(nodes int, counted bool, seeds int) (int, float64) {
	largest, over, steps := 0, 0, 0
	for seed := range seeds {
		m := newGossipModel(nodes, uint64(seed), counted)
		for m.now < 2*time.Minute {
			m.step()
			m.step()
			excess := m.excess()
			largest = max(largest, excess)
			steps++
			if excess > 0 {
				over++
			}
		}
	}
	return largest, float64(over) / float64(steps)
}

// TestUnionStaysWithinBudget guards against hosts that ask at the same time
// and both take the last place at different nodes. Without places that are
// counted from the request until after the return, that does happen.
func TestUnionStaysWithinBudget(t *testing.T) {
	for _, nodes := range []int{21, 60} {
		with, withShare := measureUnion(nodes, true, 3)
		without, withoutShare := measureUnion(nodes, false, 3)
		t.Logf("%d nodes: places counted: %d slots over, %.1f%% of the time; not counted: %d slots, %.1f%%",
			nodes, with, 100*withShare, without, 100*withoutShare)
		if with != 0 {
			t.Errorf("%d nodes set aside %d slots beyond the budget", nodes, with)
		}
		if without == 0 {
			t.Errorf("%d nodes: the model shows no excess without counted places, so it tests nothing", nodes)
		}
	}
}

// TestGossipIsFasterThanSettling guards against a settling time that is shorter
// than the time in which 500 nodes hear of a request.
func TestGossipIsFasterThanSettling(t *testing.T) {
	longest := time.Duration(0)
	for seed := range 20 {
		m := newGossipModel(500, uint64(seed), true)
		for i := range m.flipAt {
			m.flipAt[i] = time.Hour
		}
		m.flipAt[0] = unionTick
		for told := false; !told; {
			m.step()
			told = true
			for node := range m.views {
				told = told && m.views[node][0].version > 0
			}
		}
		longest = max(longest, m.now-unionTick)
	}
	t.Logf("500 nodes heard of a request within %v", longest)
	if longest >= eject.SettleTime {
		t.Fatalf("500 nodes heard of a request after %v, settling takes %v", longest, eject.SettleTime)
	}
}
