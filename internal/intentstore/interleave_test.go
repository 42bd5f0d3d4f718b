package intentstore_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
)

// maxCalls exceeds the number of platform calls of any step.
const maxCalls = 14

// atEveryCall runs test once for each platform call of a step, so that a second
// step can run just before that call.
func atEveryCall(t *testing.T, test func(g *WithT, m *fleetModel, at int)) {
	for at := range maxCalls {
		m := newFleetModel(t)
		test(NewWithT(t), m, at)
		m.store.arm(noFault, 0, nil)
		m.check(t)
	}
}

// confirmIntent creates, plans and confirms an intent and returns the plan number.
func (m *fleetModel) confirmIntent(g *WithT, id string, spec intent.Spec) int {
	_, err := m.engine.Create(ctx, operators[0], id, spec)
	g.Expect(err).NotTo(HaveOccurred())
	in, err := m.engine.Plan(ctx, operators[0], id, m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = m.engine.Confirm(ctx, operators[0], id, in.Plan.Number, m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	return in.Plan.Number
}

func withdrawServer(server string) intent.Spec {
	return intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeServer, Target: server}
}

// TestInterleavedStops guards against accepting two stops when there is capacity
// for one, at whichever call the second approval interrupts the first.
func TestInterleavedStops(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *fleetModel, at int) {
		m.failedServers["an3"] = true // 18 slots are left, the floor is 12
		first := m.confirmIntent(g, "first", withdrawServer("an0"))
		second := m.confirmIntent(g, "second", withdrawServer("an1"))
		accepted := map[string]bool{}
		approve := func(id string, plan int) {
			if _, err := m.engine.Approve(ctx, approvers[0], id, plan, m.snapshot); err == nil {
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

// TestInterleavedChanges guards against two changes with the same value of the
// change counter, at whichever call the second approval interrupts the first.
func TestInterleavedChanges(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *fleetModel, at int) {
		account := func(id string) intent.Spec {
			return intent.Spec{Kind: intent.Account, Account: &fleet.Account{ID: id}}
		}
		first, second := m.confirmIntent(g, "first", account("a")), m.confirmIntent(g, "second", account("b"))
		approve := func(id string, plan int) {
			in, err := m.engine.Approve(ctx, approvers[0], id, plan, m.snapshot)
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

// TestInterleavedResumes guards against resuming two held stops when there is
// capacity for one.
func TestInterleavedResumes(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *fleetModel, at int) {
		for id, server := range map[string]string{"first": "an0", "second": "an1"} {
			plan := m.confirmIntent(g, id, withdrawServer(server))
			_, err := m.engine.Approve(ctx, approvers[0], id, plan, m.snapshot)
			g.Expect(err).NotTo(HaveOccurred())
		}
		drive := func(id string) intent.Action {
			_, action, err := m.engine.Drive(ctx, "n0", id, m.snapshot)
			g.Expect(err).NotTo(HaveOccurred())
			return action
		}
		m.failedServers["an2"], m.failedServers["an3"] = true, true
		g.Expect(drive("first")).To(Equal(intent.ActionHold))
		g.Expect(drive("second")).To(Equal(intent.ActionHold))
		m.failedServers["an2"] = false
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

// TestInterleavedSteps guards against one step that takes effect twice when two
// approvers take it concurrently.
func TestInterleavedSteps(t *testing.T) {
	atEveryCall(t, func(g *WithT, m *fleetModel, at int) {
		plan := m.confirmIntent(g, "stop", withdrawServer("an0"))
		var states []intent.State
		approve := func(actor intent.Actor) {
			if in, err := m.engine.Approve(ctx, actor, "stop", plan, m.snapshot); err == nil {
				states = append(states, in.State)
			}
		}
		m.store.arm(interleave, at, func() { approve(intent.Actor{ID: "other", Role: fleet.RoleApprover}) })
		approve(approvers[0])
		g.Expect(states).To(Equal([]intent.State{intent.InForce}))
		g.Expect(m.counter(t)).To(BeEquivalentTo(2))
	})
}
