package intentstore_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
)

// maxCalls is more than the platform calls of one step.
const maxCalls = 14

// atEveryCall runs test once for each place at which a second step can run in
// the middle of a first one.
func atEveryCall(t *testing.T, test func(g *WithT, m *machine, at int)) {
	for at := range maxCalls {
		m := newMachine(t)
		test(NewWithT(t), m, at)
		m.store.arm(noFault, 0, nil)
		m.check(t)
	}
}

// confirmed returns the plan number of a confirmed intent.
func (m *machine) confirmed(g *WithT, id string, spec intent.Spec) int {
	_, err := m.engine.Create(ctx, operators[0], id, spec)
	g.Expect(err).NotTo(HaveOccurred())
	in, err := m.engine.Plan(ctx, operators[0], id, m.look)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.engine.Confirm(ctx, operators[0], id, in.Plan.Number, m.look)
	g.Expect(err).NotTo(HaveOccurred())
	return in.Plan.Number
}

func serverStop(server string) intent.Spec {
	return intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeServer, Target: server}
}

// TestInterleavedStops guards against two stops that are accepted together on
// capacity for one, wherever the second approval runs within the first.
func TestInterleavedStops(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *machine, at int) {
		m.lost["an3"] = true // 18 slots are left, the floor is 12
		first := m.confirmed(g, "first", serverStop("an0"))
		second := m.confirmed(g, "second", serverStop("an1"))
		accepted := map[string]bool{}
		approve := func(id string, plan int) {
			if _, err := m.engine.Approve(ctx, approvers[0], id, plan, m.look); err == nil {
				accepted[id] = true
			}
		}
		m.store.arm(interleave, at, func() { approve("second", second) })
		approve("first", first)
		m.store.arm(noFault, 0, nil)
		approve("second", second)
		g.Expect(accepted).To(HaveLen(1))
		g.Expect(m.slots("a", decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal)), m.now, true)).To(Equal(12))
	})
}

// TestInterleavedChanges guards against two changes that take the same value of
// the counter, wherever the second approval runs within the first.
func TestInterleavedChanges(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *machine, at int) {
		account := func(id string) intent.Spec {
			return intent.Spec{Kind: intent.Account, Account: &fleet.Account{ID: id}}
		}
		first, second := m.confirmed(g, "first", account("a")), m.confirmed(g, "second", account("b"))
		approve := func(id string, plan int) {
			in, err := m.engine.Approve(ctx, approvers[0], id, plan, m.look)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(in.State).To(Equal(intent.InForce))
		}
		m.store.arm(interleave, at, func() { approve("second", second) })
		approve("first", first)
		m.store.arm(noFault, 0, nil)
		approve("second", second)
		g.Expect(m.counter(t)).To(BeEquivalentTo(3))
	})
}

// TestInterleavedResumes guards against two held stops that resume together on
// capacity for one.
func TestInterleavedResumes(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *machine, at int) {
		for id, server := range map[string]string{"first": "an0", "second": "an1"} {
			plan := m.confirmed(g, id, serverStop(server))
			_, err := m.engine.Approve(ctx, approvers[0], id, plan, m.look)
			g.Expect(err).NotTo(HaveOccurred())
		}
		drive := func(id string) intent.Action {
			_, action, err := m.engine.Drive(ctx, "n0", id, m.look)
			g.Expect(err).NotTo(HaveOccurred())
			return action
		}
		m.lost["an2"], m.lost["an3"] = true, true
		g.Expect(drive("first")).To(Equal(intent.ActionHold))
		g.Expect(drive("second")).To(Equal(intent.ActionHold))
		m.lost["an2"] = false
		m.now = m.now.Add(time.Minute)
		var actions []intent.Action
		m.store.arm(interleave, at, func() { actions = append(actions, drive("second")) })
		actions = append(actions, drive("first"))
		m.store.arm(noFault, 0, nil)
		actions = append(actions, drive("second"))
		resumed := 0
		for _, action := range actions {
			if action == intent.ActionResume {
				resumed++
			}
		}
		g.Expect(resumed).To(Equal(1), "%v", actions)
		g.Expect(m.slots("a", decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal)), m.now, true)).To(Equal(12))
	})
}

// TestInterleavedSteps guards against one step that is taken twice by two
// identities or nodes at once.
func TestInterleavedSteps(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *machine, at int) {
		plan := m.confirmed(g, "stop", serverStop("an0"))
		var states []intent.State
		approve := func(actor intent.Actor) {
			if in, err := m.engine.Approve(ctx, actor, "stop", plan, m.look); err == nil {
				states = append(states, in.State)
			}
		}
		m.store.arm(interleave, at, func() { approve(intent.Actor{ID: "other", Role: fleet.RoleApprover}) })
		approve(approvers[0])
		g.Expect(states).To(Equal([]intent.State{intent.InForce}))
		g.Expect(m.counter(t)).To(BeEquivalentTo(2))
	})
}
