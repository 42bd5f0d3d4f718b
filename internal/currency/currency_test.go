package currency

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// watcher is a simulated watcher whose reads are events on a common time line.
type watcher struct {
	next time.Duration
}

// largestPause runs watchers from given first reads and returns the longest time without a read of
// any of them after settling. Each knows the others' plans, and reads up to 1% earlier or later.
func largestPause(random *rand.Rand, watchers []watcher, changes []time.Duration, settle, end time.Duration) (pause time.Duration, reads int) {
	inexact := func(next time.Duration) time.Duration {
		return time.Duration((0.99 + 0.02*random.Float64()) * float64(next))
	}
	last := time.Duration(-1)
	for {
		i := 0
		for j := range watchers {
			if watchers[j].next < watchers[i].next {
				i = j
			}
		}
		now := watchers[i].next
		if len(changes) > 0 && changes[0] <= now {
			now, changes = changes[0], changes[1:]
			for j := range watchers {
				w := Watchers{Rank: j, NextReads: make([]time.Duration, len(watchers)-1)}
				watchers[j].next = now + inexact(w.NextRead(true))
				reads++
			}
			last = now
			continue
		}
		if now > end {
			return pause, reads
		}
		if last >= settle {
			pause = max(pause, now-last)
		}
		last = now
		reads++
		w := Watchers{Rank: i}
		for j := range watchers {
			if j != i {
				w.NextReads = append(w.NextReads, watchers[j].next-now)
			}
		}
		watchers[i].next = now + inexact(w.NextRead(false))
	}
}

// Guards against watchers of a small fleet that ask the store at about the same time and hang
// together when it falls silent, whenever they started and however often changes end all watches.
func TestReadsOfSeveralWatchersAreSpaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(minSpaced, 12).Draw(t, "watchers")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		watchers := make([]watcher, count)
		for i := range watchers {
			if rapid.Bool().Draw(t, "together") {
				continue
			}
			watchers[i].next = time.Duration(random.Int64N(int64(Period(count))))
		}
		var changes []time.Duration
		for at := 3 * time.Minute; at < 8*time.Minute; at += time.Duration(random.Int64N(int64(time.Minute))) {
			changes = append(changes, at)
		}
		pause, _ := largestPause(random, watchers, changes, time.Minute, 10*time.Minute)
		if pause > maxGap+2*Period(count)/100 {
			t.Fatalf("%d watchers left the store unread for %v", count, pause)
		}
	})
}

// Guards against a spacing that costs more reads than watches of random length did: a mean of 9.8 s
// and a pause of 0.2 s.
func TestSpacingCostsNoMoreReads(t *testing.T) {
	for count := 1; count <= 24; count++ {
		const length = 20 * time.Minute
		_, idle := largestPause(rand.New(rand.NewPCG(1, 2)), make([]watcher, count), nil, 0, length)
		NewWithT(t).Expect(float64(idle)).To(BeNumerically("<=", float64(count)*length.Seconds()/10+float64(2*count)), "%d watchers", count)
	}
}

// Guards against a place beyond the period or at the very moment of the current read.
func TestNextReadLiesWithinThePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Watchers{}
		for range rapid.IntRange(0, 20).Draw(t, "others") {
			w.NextReads = append(w.NextReads, time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Minute)).Draw(t, "next")))
		}
		w.Rank = rapid.IntRange(0, len(w.NextReads)).Draw(t, "rank")
		next := w.NextRead(rapid.Bool().Draw(t, "changed"))
		if next <= 0 || next > 3*Period(len(w.NextReads)+1)/2 {
			t.Fatalf("next read after %v", next)
		}
	})
}

// model is a store that withdraws a key with each version, and nodes that learn of versions from it
// and from each other over links that lose and delay. Each node has a clock of its own that starts
// anywhere.
type model struct {
	now time.Duration
	// acked holds the time at which each version was acknowledged.
	acked []time.Duration
	nodes []*modelNode
	// answers in flight, which may arrive at any time or never.
	flying []flight
}

type modelNode struct {
	offset  time.Duration
	version uint64
	proofs  Proofs
	// life tells processes of the node apart: answers to an earlier one are lost.
	life int
}

type flight struct {
	to, life int
	version  uint64
	proof    Proof
}

func (m *model) clock(n *modelNode) time.Duration { return m.now + n.offset }

// ask sends a question of a node to the store (other < 0) or to another node, which processes it
// after a delay; the answer flies.
func (m *model) ask(node, other int, delay time.Duration) {
	n := m.nodes[node]
	sent := m.clock(n)
	m.now += delay
	answer := flight{to: node, life: n.life}
	if other < 0 {
		answer.version = uint64(len(m.acked))
		answer.proof = Proof{Version: answer.version, At: sent}
	} else {
		o := m.nodes[other]
		best, ok := o.proofs.Newest()
		if !ok {
			return
		}
		answer.version = o.version
		answer.proof = Proof{Version: best.Version, At: sent - (m.clock(o) - best.At)}
	}
	m.flying = append(m.flying, answer)
}

func (m *model) arrive(i int) {
	f := m.flying[i]
	m.flying = append(m.flying[:i], m.flying[i+1:]...)
	n := m.nodes[f.to]
	if n.life == f.life {
		n.version = max(n.version, f.version)
		n.proofs = n.proofs.Add(f.proof)
	}
}

// checkRelied checks that no node relies on a version for too long, and returns how many nodes rely on theirs.
func (m *model) checkRelied(t *rapid.T, policy Policy) (relying int) {
	for i, n := range m.nodes {
		if !policy.Holds(n.proofs, n.version, m.clock(n)) {
			continue
		}
		relying++
		if n.version < uint64(len(m.acked)) && m.now-m.acked[n.version] > policy.Within {
			t.Fatalf("node %d relies on version %d, %v after it was superseded", i, n.version, m.now-m.acked[n.version])
		}
	}
	return relying
}

// Guards against a key that is accepted later than the policy allows after its withdrawal, under
// cuts (questions without answers), suspensions (answers that arrive after any time), restarts (no
// proofs, any version from another node), chains of nodes that ask each other, and clocks that
// differ.
func TestAWithdrawnKeyIsNeverAcceptedTooLate(t *testing.T) {
	policy := Policy{Within: 5 * time.Second}
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		for range rapid.IntRange(1, 5).Draw(t, "nodes") {
			m.nodes = append(m.nodes, &modelNode{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += time.Duration(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "wait"))
			node := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
			n := m.nodes[node]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.acked = append(m.acked, m.now)
			case 1:
				*n = modelNode{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "new offset")), life: n.life + 1}
			case 2:
				// Another node hands over its configuration without a proof.
				n.version = max(n.version, m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "from")].version)
			case 3, 4, 5:
				m.ask(node, -1, time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			case 6, 7:
				m.ask(node, rapid.IntRange(0, len(m.nodes)-1).Draw(t, "other"), time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			default:
				if len(m.flying) > 0 {
					m.arrive(rapid.IntRange(0, len(m.flying)-1).Draw(t, "answer"))
				}
			}
			accepted += m.checkRelied(t, policy)
		}
	})
	NewWithT(t).Expect(accepted).To(BeNumerically(">", 100), "the test must reach states in which keys are accepted")
}

// Guards against a request that is refused only because it refers to the version before a change
// that was put in force a moment ago.
func TestTheVersionBeforeAChangeKeepsItsProof(t *testing.T) {
	g := NewWithT(t)
	policy := Policy{Within: 4 * time.Second}
	proofs := Proofs{}.Add(Proof{Version: 3, At: time.Second}).Add(Proof{Version: 4, At: 2 * time.Second})
	g.Expect(policy.Holds(proofs, 3, 4*time.Second)).To(BeTrue())
	g.Expect(policy.Holds(proofs, 3, 4*time.Second+time.Millisecond)).To(BeFalse())
	g.Expect(policy.Holds(proofs, 2, 2*time.Second)).To(BeFalse())
	proofs = proofs.Add(Proof{Version: 3, At: 3 * time.Second})
	g.Expect(policy.Holds(proofs, 3, 6*time.Second)).To(BeTrue())
	g.Expect(policy.Holds(proofs, 4, 6*time.Second)).To(BeTrue(), "what proves an older version proves a newer one")
}

// Guards against a node that refuses keys because it has heard of two newer versions before it has
// received them, as when keys are withdrawn in quick succession.
func TestProofsOutliveAQuickSeriesOfVersions(t *testing.T) {
	g := NewWithT(t)
	policy := Policy{Within: 4 * time.Second}
	proofs := Proofs{}
	for version := uint64(1); version <= 5; version++ {
		proofs = proofs.Add(Proof{Version: version, At: time.Second})
	}
	g.Expect(policy.Holds(proofs, 1, 2*time.Second)).To(BeTrue())
	g.Expect(policy.Holds(proofs, 1, 5*time.Second)).To(BeFalse())
	for version := uint64(6); version <= 100; version++ {
		proofs = proofs.Add(Proof{Version: version, At: time.Second})
	}
	g.Expect(len(proofs.byVersion)).To(Equal(maxProofs))
}

// restoredModel is a model whose store may come back from a copy that lacks the last versions, which the
// operator repeats within SettleTime.
type restoredModel struct {
	model
	era uint64
	// holds is the version that the store holds, and repeatAt when it holds all that was acknowledged again.
	holds    uint64
	repeatAt time.Duration
}

func (m *restoredModel) held() uint64 {
	if m.now >= m.repeatAt {
		m.holds = uint64(len(m.acked))
	}
	return m.holds
}

// Guards against a key that is accepted too late after its withdrawal because a restored store, which lacks the
// withdrawal, seems to prove an older configuration, for processes that run on and for new ones.
func TestARestoredStoreProvesNoWithdrawnKey(t *testing.T) {
	policy := Policy{Within: 5 * time.Second}
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &restoredModel{era: 1}
		witnesses := make([]Witness, rapid.IntRange(1, 4).Draw(t, "nodes"))
		for range witnesses {
			m.nodes = append(m.nodes, &modelNode{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))})
		}
		m.acked, m.holds = []time.Duration{0}, 1
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += time.Duration(rapid.Int64Range(0, int64(1200*time.Millisecond)).Draw(t, "wait"))
			i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
			n, w := m.nodes[i], &witnesses[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				// The operator writes whole configurations, which replace whatever it has to repeat.
				m.acked = append(m.acked, m.now)
				m.holds, m.repeatAt = uint64(len(m.acked)), m.now
			case 1:
				*n = modelNode{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "new offset")), life: n.life + 1}
				*w = Witness{}
			case 2:
				m.now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "away"))
				m.era++
				m.holds = uint64(rapid.IntRange(1, int(m.held())).Draw(t, "copy"))
				m.repeatAt = m.now + time.Duration(rapid.Int64Range(0, int64(SettleTime)).Draw(t, "repeated after"))
			case 3, 4, 5, 6:
				asked := m.clock(n)
				m.now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay"))
				w.Observe(m.era, m.clock(n), n.version)
				w.Stored(m.held())
				n.version = max(n.version, m.held())
				if proof, ok := w.Proof(asked); ok {
					n.proofs = n.proofs.Add(proof)
				}
			case 7, 8:
				m.ask(i, rapid.IntRange(0, len(m.nodes)-1).Draw(t, "other"), time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			default:
				if len(m.flying) > 0 {
					m.arrive(rapid.IntRange(0, len(m.flying)-1).Draw(t, "answer"))
				}
			}
			accepted += m.checkRelied(t, policy)
		}
	})
	NewWithT(t).Expect(accepted).To(BeNumerically(">", 100), "the test must reach states in which keys are accepted")
}

// Guards against a proof by a store that holds an older version than the node has, however long the operator takes
// to repeat the newer one, and against what was read in an older era.
func TestAStoreThatLacksAKnownVersionProvesNothing(t *testing.T) {
	g := NewWithT(t)
	w := Witness{}
	w.Observe(1, 0, 0)
	w.Stored(12)
	proof, ok := w.Proof(SettleTime)
	g.Expect(ok).To(BeTrue())
	g.Expect(proof).To(Equal(Proof{Version: 12, At: SettleTime}))
	w.Observe(2, time.Minute, 12)
	_, ok = w.Proof(2 * time.Minute)
	g.Expect(ok).To(BeFalse(), "nothing was read in this era")
	w.Stored(10)
	_, ok = w.Proof(2 * time.Minute)
	g.Expect(ok).To(BeFalse(), "version 12 is known")
	w.Stored(12)
	_, ok = w.Proof(2 * time.Minute)
	g.Expect(ok).To(BeTrue())
	w.Unreadable()
	_, ok = w.Proof(2 * time.Minute)
	g.Expect(ok).To(BeFalse(), "what the store holds may be newer")
}
