package intentstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

var ctx = context.Background()

// planWithdrawal creates and plans the withdrawal of a server and returns the
// plan number.
func (m *fleetModel) planWithdrawal(g *WithT, engine *intentstore.Engine, id, server string) int {
	spec := intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeServer, Target: server}
	_, err := engine.Create(ctx, operators[0], id, spec)
	g.Expect(err).NotTo(HaveOccurred())
	in, err := engine.Plan(ctx, operators[0], id, m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	return in.Plan.Number
}

// TestLateTransaction guards against a step that is reported as refused while
// its first transaction, whose response was lost, is still in transit and takes
// effect later.
func TestLateTransaction(t *testing.T) {
	g, m := NewWithT(t), newFleetModel(t)
	plan := m.planWithdrawal(g, m.engine, "late", "an0")
	m.store.arm(delayed, 0, nil)
	snapshots := 0
	_, err := m.engine.Confirm(ctx, operators[0], "late", plan, func() intentstore.Snapshot {
		snapshots++
		m.failedServers["an1"], m.failedServers["an2"] = snapshots > 1, snapshots > 1
		return m.snapshot()
	})
	g.Expect(err).To(MatchError(codes.StoreOutcomeUnknown.New("")))
	m.store.applyDelayed()
	in, err := m.engine.Get(ctx, "late")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(in.State).To(Equal(intent.Confirmed))
}

// TestConcurrentApprovals guards against concurrent approvals that accept stops
// which keep the floor one by one and break it together.
func TestConcurrentApprovals(t *testing.T) {
	for range 20 {
		g, m := NewWithT(t), newFleetModel(t)
		// Four servers of 6 slots and a floor of 12 leave room for two of the three stops.
		engine := intentstore.New(m.memory, intentstore.Options{Now: func() time.Time { return m.now }})
		plans := map[string]int{}
		for i := range 3 {
			id := fmt.Sprintf("stop%d", i)
			plans[id] = m.planWithdrawal(g, engine, id, fmt.Sprintf("an%d", i))
			_, err := engine.Confirm(ctx, operators[0], id, plans[id], m.snapshot)
			g.Expect(err).NotTo(HaveOccurred())
		}
		var group sync.WaitGroup
		var mu sync.Mutex
		accepted := 0
		for id, plan := range plans {
			group.Go(func() {
				_, err := engine.Approve(ctx, approvers[0], id, plan, m.snapshot)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted++
				}
			})
		}
		group.Wait()
		g.Expect(accepted).To(Equal(1), "each approval must make the other plans for the service stale")
	}
}

// TestRevokedIdentity guards against accepting a step of an identity whose row
// was changed or deleted after its token was checked.
func TestRevokedIdentity(t *testing.T) {
	g, memory := NewWithT(t), platform.NewMemory()
	file, err := seed.Load("../../deploy/trust/fleet.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seed.Apply(ctx, memory, file)).To(Succeed())
	engine := intentstore.New(memory, intentstore.Options{Sleep: func(context.Context, time.Duration) {}})
	identities, err := engine.Operators(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	actor := identities[fleet.HashToken("example-operator-token-trust-not-for-production")]
	g.Expect(actor.Role).To(Equal(fleet.RoleOperator))
	g.Expect(memory.Transact(ctx, fleet.Table, nil, []platform.Write{{Key: fleet.PrefixOperator + actor.ID}})).To(Succeed())
	floor := 6
	_, err = engine.Create(ctx, actor, "revoked", intent.Spec{Kind: intent.Floor, Service: "measures", FloorSlots: &floor})
	g.Expect(err).To(MatchError(codes.Unauthenticated.New("")))
	_, err = engine.Get(ctx, "revoked")
	g.Expect(err).To(MatchError(codes.UnknownIntent.New("")))
}

// TestReturnEndsStops guards against a server that stays withdrawn after a return,
// and against a maintenance stop that stays open after its withdrawal was deleted.
func TestReturnEndsStops(t *testing.T) {
	g, m := NewWithT(t), newFleetModel(t)
	window := intent.Spec{
		Kind: intent.Maintenance, Scope: fleet.ScopeServer, Target: "an0",
		NotBefore: m.now.Add(time.Minute), NotAfter: m.now.Add(time.Hour),
	}
	accept := func(id string, spec intent.Spec) intent.Intent {
		_, err := m.engine.Create(ctx, operators[0], id, spec)
		g.Expect(err).NotTo(HaveOccurred())
		in, err := m.engine.Plan(ctx, operators[0], id, m.snapshot)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = m.engine.Confirm(ctx, operators[0], id, in.Plan.Number, m.snapshot)
		g.Expect(err).NotTo(HaveOccurred())
		in, err = m.engine.Approve(ctx, approvers[0], id, in.Plan.Number, m.snapshot)
		g.Expect(err).NotTo(HaveOccurred())
		return in
	}
	g.Expect(accept("window", window).State).To(Equal(intent.Approved))
	m.now = m.now.Add(2 * time.Minute)
	_, action, err := m.engine.Drive(ctx, "n0", "window", m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(action).To(Equal(intent.ActionBegin))
	accept("back", intent.Spec{Kind: intent.Return, Scope: fleet.ScopeServer, Target: "an0"})
	in, action, err := m.engine.Drive(ctx, "n0", "window", m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(action).To(Equal(intent.ActionFinish))
	g.Expect(in.State).To(Equal(intent.Done))
	g.Expect(m.rows(fleet.PrefixWithdrawal)).To(BeEmpty())
}

// TestCapacityLostBeforeApproval guards against an approval that relies on
// capacity that was lost after the plan was made.
func TestCapacityLostBeforeApproval(t *testing.T) {
	g, m := NewWithT(t), newFleetModel(t)
	plan := m.planWithdrawal(g, m.engine, "stop", "an0")
	_, err := m.engine.Confirm(ctx, operators[0], "stop", plan, m.snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	m.failedServers["an1"], m.failedServers["an2"] = true, true
	_, err = m.engine.Approve(ctx, approvers[0], "stop", plan, m.snapshot)
	g.Expect(err).To(MatchError(codes.FloorWouldBreak.New("")))
	g.Expect(err.Error()).To(ContainSubstring("12 slots before and 6 during the change, and the floor is 12 slots"))
}
