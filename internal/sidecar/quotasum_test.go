package sidecar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against accounts over their limit when nodes are cut off from each other in halves, in two
// groups among others or one way, die, restart and freeze, when datagrams are lost, late or repeated, when many requests do not
// run, and when the limit is lowered meanwhile.
func TestNoWindowIsOverTheLimitOfAnAccount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawQuotaPlan(rt)
		var err error
		synctest.Test(t, func(t *testing.T) { err = plan.play(t) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// quotaPlan is the load of an account and the failures meanwhile.
type quotaPlan struct {
	nodes              int
	rate, burst, press float64
	over, slack        float64
	unserved, loss     float64
	delay              time.Duration
	seed               uint64
	failures           []quotaFailure
}

type quotaFailure struct {
	kind      string
	at, lasts time.Duration
	// some has a bit for each node that the failure affects.
	some uint64
}

// maxFreeze bounds a freeze, so that all callers of a plan have their answers before it ends.
const maxFreeze = 6 * time.Second

// quotaPlanLength is the time for which an account sends requests.
const quotaPlanLength = 24 * time.Second

func drawQuotaPlan(rt *rapid.T) quotaPlan {
	rate := rapid.SampledFrom([]float64{0.2, 1, 5, 20, 60}).Draw(rt, "rate")
	p := quotaPlan{
		nodes: rapid.IntRange(1, 8).Draw(rt, "nodes"), rate: rate,
		burst:    rate * rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(rt, "burst"),
		over:     rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "over"),
		slack:    rapid.SampledFrom([]float64{0, 4, 20}).Draw(rt, "slack"),
		press:    rapid.Float64Range(0.5, 6).Draw(rt, "press"),
		unserved: rapid.SampledFrom([]float64{0, 0.2, 0.7}).Draw(rt, "not run"),
		loss:     rapid.SampledFrom([]float64{0, 0, 0.05, 0.4}).Draw(rt, "loss"),
		delay:    rapid.SampledFrom([]time.Duration{3, 30, 200, 900}).Draw(rt, "delay") * time.Millisecond,
		seed:     rapid.Uint64().Draw(rt, "seed"),
	}
	for range rapid.IntRange(0, 6).Draw(rt, "failures") {
		p.failures = append(p.failures, quotaFailure{
			kind:  rapid.SampledFrom([]string{"halves", "apart", "one way", "alone", "kill", "freeze", "lower", "end", "return"}).Draw(rt, "kind"),
			at:    time.Duration(rapid.IntRange(0, 20000).Draw(rt, "at")) * time.Millisecond,
			lasts: time.Duration(rapid.IntRange(100, 14000).Draw(rt, "lasts")) * time.Millisecond,
			some:  rapid.Uint64().Draw(rt, "some"),
		})
	}
	return p
}

// play returns an error if some window is over the limit.
func (p quotaPlan) play(t *testing.T) error {
	f := newQuotaFleet(t, p.nodes, p.rate, p.burst, p.over, p.slack, p.seed)
	defer f.stop()
	f.mu.Lock()
	f.lossRate, f.maxDelay = p.loss, p.delay
	f.mu.Unlock()
	lowered, kills := quotaPlanLength, 0
	for _, failure := range p.failures {
		switch failure.kind {
		case "lower":
			lowered = min(lowered, failure.at)
		case "kill", "return":
			// Homes restart at most twice in a window; see docs/design/quotas.md.
			if kills++; kills > 2 {
				continue
			}
			fallthrough
		default:
			f.fail(failure)
		}
	}
	const spread = 500 * time.Millisecond
	for _, n := range f.nodes {
		f.mu.Lock()
		at := lowered + time.Duration(f.rng.Int64N(int64(spread)))
		f.mu.Unlock()
		time.AfterFunc(at, func() { n.configure(2, p.rate/4, p.burst/4) })
	}
	f.load(quotaPlanLength, p.rate*p.press, p.unserved, true)
	allowed := func(rate, burst float64) float64 { return (rate*5+burst)*(1+p.over) + p.slack }
	if got, most := f.mostInAWindow(0, 5*time.Second), allowed(p.rate, p.burst); float64(got) > most {
		return fmt.Errorf("%d requests in a window, allowed %g", got, most)
	}
	after := time.Hour + lowered + spread + 5*time.Second
	if got, most := f.mostInAWindow(after, 5*time.Second), allowed(p.rate/4, p.burst/4); float64(got) > most {
		return fmt.Errorf("%d requests in a window after the limit was lowered, allowed %g", got, most)
	}
	return nil
}

// fail lets a failure begin at its time.
func (f *quotaFleet) fail(failure quotaFailure) {
	in := func(node int) bool { return failure.some>>node&1 == 1 }
	each := func(do func(n *quotaNode)) {
		for i, n := range f.nodes {
			if in(i) {
				time.AfterFunc(failure.at, func() { do(n) })
			}
		}
	}
	switch failure.kind {
	case "halves":
		f.cutDuring(failure.at, failure.lasts, func(from, to int) bool { return in(from) != in(to) })
	case "apart":
		// Two groups do not reach each other; the other nodes reach both.
		group := func(node int) uint64 { return failure.some >> (2 * node) & 3 }
		f.cutDuring(failure.at, failure.lasts, func(from, to int) bool { return group(from)+group(to) == 3 && group(from)%3 != 0 })
	case "one way":
		f.cutDuring(failure.at, failure.lasts, func(from, to int) bool { return in(from) && !in(to) })
	case "alone":
		f.cutDuring(failure.at, failure.lasts, func(from, to int) bool { return from != to && (in(from) || in(to)) })
	case "kill":
		each(f.start)
	case "end":
		each(func(n *quotaNode) {
			f.mu.Lock()
			defer f.mu.Unlock()
			n.ended = true
		})
	case "return":
		// The instance ends, and comes back as a new process.
		each(func(n *quotaNode) {
			f.mu.Lock()
			n.ended = true
			f.mu.Unlock()
			time.AfterFunc(failure.lasts, func() {
				f.start(n)
				f.mu.Lock()
				defer f.mu.Unlock()
				n.ended = false
			})
		})
	case "freeze":
		each(func(n *quotaNode) {
			f.mu.Lock()
			defer f.mu.Unlock()
			n.frozenUntil = time.Now().Add(min(failure.lasts, maxFreeze))
		})
	}
}

func (f *quotaFleet) cutDuring(at, lasts time.Duration, cut func(from, to int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.cut
	from := time.Now().Add(at)
	f.cut = func(a, b int) bool {
		since := time.Since(from)
		return before(a, b) || since >= 0 && since < lasts && cut(a, b)
	}
}

// Guards against two groups of nodes that do not hear each other, but both hear most of the others, and each put
// nodes of their own in the place of the other's homes.
func TestTwoGroupsDoNotReplaceEachOther(t *testing.T) {
	// In the larger fleet, nodes ask samples of the members.
	for _, nodes := range []int{9, 31} {
		for seed := range uint64(12) {
			synctest.Test(t, func(t *testing.T) {
				plan := quotaPlan{nodes: nodes, rate: 50, burst: 50, press: 4, delay: 3 * time.Millisecond, seed: seed}
				plan.failures = []quotaFailure{{kind: "apart", at: 2 * time.Second, lasts: 20 * time.Second, some: rand.New(rand.NewPCG(seed, 2)).Uint64()}}
				if err := plan.play(t); err != nil {
					t.Errorf("%d nodes, groups %d: %v", nodes, seed, err)
				}
			})
		}
	}
}
