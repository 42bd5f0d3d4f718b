package intentstore_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

const modelSeed = `
services:
  - {name: a, floor_slots: 12, preset: trust}
  - {name: b, floor_slots: 6, preset: trust}
routes:
  - {id: a, prefix: /a/, service: a}
accounts:
  - {id: shop}
`

// fleetModel is the model state of the property tests: a fleet with its store and
// engine, and what the steps so far reported.
type fleetModel struct {
	memory            *platform.Memory
	store             *faultStore
	engine            *intentstore.Engine
	now               time.Time
	nodes             map[string]*fleet.NodeRecord
	failedServers     map[string]bool
	ids               []string
	transactions      int
	lastTransactionID string
	// notApplied holds the transaction IDs of steps that were reported as failed.
	notApplied map[string]bool
	// applied holds the transaction IDs of steps that were reported as successful.
	applied map[string]bool
	// versions holds the highest version seen of each row.
	versions map[string]uint64
}

func newFleetModel(t testingT) *fleetModel {
	m := &fleetModel{
		memory: platform.NewMemory(), now: time.Unix(1_800_000_000, 0), nodes: map[string]*fleet.NodeRecord{},
		failedServers: map[string]bool{}, notApplied: map[string]bool{}, applied: map[string]bool{}, versions: map[string]uint64{},
	}
	file, err := seed.Parse([]byte(modelSeed))
	if err != nil {
		t.Fatal(err)
	}
	if err := seed.Apply(context.Background(), m.memory, file); err != nil {
		t.Fatal(err)
	}
	m.store = &faultStore{inner: m.memory}
	m.engine = intentstore.New(m.store, intentstore.Options{
		Now:              func() time.Time { return m.now },
		NewTransactionID: m.newTransactionID,
		Sleep:            func(context.Context, time.Duration) {},
	})
	for i := range 4 {
		m.addNode(i)
	}
	return m
}

func (m *fleetModel) newTransactionID() string {
	m.transactions++
	m.lastTransactionID = fmt.Sprintf("transaction-%d", m.transactions)
	return m.lastTransactionID
}

// addNode adds a node with one server of 6 slots for each service.
func (m *fleetModel) addNode(i int) {
	id := fmt.Sprintf("n%d", i)
	record := &fleet.NodeRecord{ID: id, DataCentre: fmt.Sprintf("dc%d", i%2), ConfigVersion: 1}
	for _, service := range []string{"a", "b"} {
		record.Servers = append(record.Servers, fleet.ServerRecord{
			ID: service + id, Service: service, DataCentre: record.DataCentre, Slots: 6, Health: fleet.Healthy,
		})
	}
	m.nodes[id] = record
}

// snapshot returns the snapshot of a node whose configuration is still the initial
// one, because a plan must not depend on how recent the node's configuration is.
func (m *fleetModel) snapshot() intentstore.Snapshot {
	view := &fleet.View{
		At: m.now, Config: fleet.EmptyConfig(), Nodes: m.nodes, Ready: true,
		DownNodes: map[string]bool{}, Services: map[string]*fleet.ServiceView{},
	}
	for i := range 4 {
		node := m.nodes[fmt.Sprintf("n%d", i)]
		for j := range node.Servers {
			server := node.Servers[j]
			if m.failedServers[server.ID] {
				server.Health = fleet.Ejected
			}
			sv := view.Services[server.Service]
			if sv == nil {
				sv = &fleet.ServiceView{}
				view.Services[server.Service] = sv
			}
			sv.Candidates = append(sv.Candidates, fleet.Candidate{Server: &server, Host: node, Warmth: 1})
		}
	}
	return intentstore.Snapshot{View: view}
}

// runStep takes one step under the armed fault and records its reported result. A
// crash reports no result.
func (m *fleetModel) runStep(step func() error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(simulatedCrash); !ok {
				panic(r)
			}
		}
	}()
	// A step that is refused before its transaction must not be recorded under
	// the transaction ID of the previous step.
	m.newTransactionID()
	err := step()
	id := m.lastTransactionID
	switch {
	case err == nil:
		m.applied[id] = true
	case !errors.Is(err, codes.StoreOutcomeUnknown.New("")):
		m.notApplied[id] = true
	}
}

var operators = []intent.Actor{{ID: "op1", Role: fleet.RoleOperator}, {ID: "op2", Role: fleet.RoleOperator}}

// approvers includes two operators whose role was changed to approver, and one
// identity without the role.
var approvers = []intent.Actor{
	{ID: "legal", Role: fleet.RoleApprover}, {ID: "legal", Role: fleet.RoleApprover},
	{ID: "op1", Role: fleet.RoleApprover}, {ID: "op2", Role: fleet.RoleApprover}, {ID: "op3", Role: fleet.RoleOperator},
}

// drawStep draws a step of a random identity on a random intent.
func (m *fleetModel) drawStep(t *rapid.T) func() error {
	ctx := context.Background()
	operator := rapid.SampledFrom(operators).Draw(t, "operator")
	action := rapid.SampledFrom([]string{"create", "plan", "confirm", "confirm", "approve", "approve", "approve", "cancel", "refuse"}).Draw(t, "action")
	if action == "create" || len(m.ids) == 0 {
		return m.drawCreate(t, operator)
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "id")
	approver := rapid.SampledFrom(approvers).Draw(t, "approver")
	older := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "older")
	number := m.planNumber(id) - older
	return func() (err error) {
		switch action {
		case "plan":
			_, err = m.engine.Plan(ctx, operator, id, m.snapshot)
		case "confirm":
			_, err = m.engine.Confirm(ctx, operator, id, number, m.snapshot)
		case "approve":
			_, err = m.engine.Approve(ctx, approver, id, number, m.snapshot)
		case "cancel":
			_, err = m.engine.Cancel(ctx, operator, id, "test")
		case "refuse":
			_, err = m.engine.Refuse(ctx, approver, id, "test")
		}
		return m.unlessRepeated(id, err)
	}
}

// unlessRepeated returns StoreOutcomeUnknown for a step that succeeded without a
// transaction because an earlier call had taken effect, so that runStep records
// no transaction ID for it.
func (m *fleetModel) unlessRepeated(id string, err error) error {
	if err != nil {
		return err
	}
	for _, audit := range m.audits(id) {
		if audit.TransactionID == m.lastTransactionID {
			return nil
		}
	}
	return codes.StoreOutcomeUnknown.New("repeat")
}

func (m *fleetModel) drawCreate(t *rapid.T, operator intent.Actor) func() error {
	id := fmt.Sprintf("i%d", len(m.ids))
	spec := m.drawSpec(t)
	m.ids = append(m.ids, id)
	return func() error {
		_, err := m.engine.Create(context.Background(), operator, id, spec)
		return err
	}
}

func (m *fleetModel) drawSpec(t *rapid.T) intent.Spec {
	server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3", "bn0"}).Draw(t, "server")
	switch rapid.SampledFrom([]string{"withdraw", "withdraw", "withdraw", "centre", "instance", "maintenance", "maintenance", "return", "floor", "route", "account", "account"}).Draw(t, "kind") {
	case "withdraw":
		return intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeServer, Target: server}
	case "centre":
		return intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeDataCentre, Target: "dc0"}
	case "instance":
		return intent.Spec{Kind: intent.Withdraw, Scope: fleet.ScopeInstance, Target: server[1:]}
	case "return":
		return intent.Spec{Kind: intent.Return, Scope: fleet.ScopeServer, Target: server}
	case "floor":
		slots := rapid.SampledFrom([]int{6, 12, 18}).Draw(t, "floor")
		return intent.Spec{Kind: intent.Floor, Service: "a", FloorSlots: &slots}
	case "account":
		return intent.Spec{Kind: intent.Account, Account: &fleet.Account{ID: "shop-" + server}}
	case "route":
		return intent.Spec{Kind: intent.Route, Route: &fleet.Route{ID: "a", Prefix: "/x/", Service: "b"}}
	}
	begin := m.now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "begin")) * time.Minute)
	length := time.Duration(rapid.IntRange(1, 30).Draw(t, "length")) * time.Minute
	if !begin.Add(length).After(m.now) {
		length = begin.Add(time.Hour).Sub(begin)
	}
	return intent.Spec{Kind: intent.Maintenance, Scope: fleet.ScopeServer, Target: server, NotBefore: begin, NotAfter: begin.Add(length)}
}

func (m *fleetModel) planNumber(id string) int {
	in, ok := m.intent(id)
	if !ok || in.Plan == nil {
		return 0
	}
	return in.Plan.Number
}

// armFault draws a fault and arms the store with it. An interleaved step of
// another actor runs without faults; it is one drawn step, a whole life cycle, or
// a node that drives every intent.
func (m *fleetModel) armFault(t *rapid.T) {
	kind := rapid.SampledFrom(faultKinds).Draw(t, "fault")
	atCall := rapid.IntRange(0, 7).Draw(t, "at")
	interleaved := func() {}
	if kind == interleave {
		run := m.drawInterleaved(t)
		interleaved = func() {
			id := m.lastTransactionID
			run()
			m.lastTransactionID = id
		}
	}
	m.store.arm(kind, atCall, interleaved)
}

func (m *fleetModel) drawInterleaved(t *rapid.T) func() {
	switch rapid.SampledFrom([]string{"step", "cycle", "cycle", "node"}).Draw(t, "other") {
	case "step":
		step := m.drawStep(t)
		return func() { m.runStep(step) }
	case "node":
		return func() { m.driveAll(t) }
	}
	create := m.drawCreate(t, operators[1])
	id := m.ids[len(m.ids)-1]
	return func() {
		m.runStep(create)
		for range 3 {
			m.runStep(func() error { return m.takeNextStep(t, id) })
		}
	}
}

// stepWithFault takes a drawn step under a drawn fault.
func (m *fleetModel) stepWithFault(t *rapid.T) {
	step := m.drawStep(t)
	m.armFault(t)
	m.runStep(step)
	m.store.arm(noFault, 0, nil)
}

// advanceIntent takes an intent, often a new one, through both confirmations with
// a fault at one of the steps, so that runs often reach the later states.
func (m *fleetModel) advanceIntent(t *rapid.T) {
	if len(m.ids) == 0 || rapid.IntRange(0, 3).Draw(t, "new") > 0 {
		m.runStep(m.drawCreate(t, operators[0]))
	}
	id := m.ids[len(m.ids)-1-rapid.IntRange(0, min(3, len(m.ids)-1)).Draw(t, "back")]
	faulty := rapid.IntRange(0, 4).Draw(t, "faulty")
	for stage := range 4 {
		m.tryForbiddenSteps(t, id)
		if stage == faulty {
			m.armFault(t)
		}
		m.runStep(func() error { return m.takeNextStep(t, id) })
		m.store.arm(noFault, 0, nil)
	}
}

// tryForbiddenSteps sometimes tries steps that must be refused: a confirmation of
// an outdated plan, or an approval by an identity without the role or with both
// roles. It may also fail a server before the approval.
func (m *fleetModel) tryForbiddenSteps(t *rapid.T, id string) {
	if rapid.IntRange(0, 2).Draw(t, "forbidden") > 0 {
		return
	}
	ctx := context.Background()
	in, _ := m.intent(id)
	switch in.State {
	case intent.Planned:
		m.runStep(func() error {
			_, err := m.engine.Plan(ctx, operators[0], id, m.snapshot)
			return err
		})
		m.runStep(func() error {
			_, err := m.engine.Confirm(ctx, operators[0], id, in.Plan.Number, m.snapshot)
			return err
		})
	case intent.Confirmed:
		server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3"}).Draw(t, "server")
		m.failedServers[server] = rapid.Bool().Draw(t, "lost")
		approver := rapid.SampledFrom(approvers).Draw(t, "approver")
		m.runStep(func() error {
			_, err := m.engine.Approve(ctx, approver, id, in.Plan.Number, m.snapshot)
			return err
		})
	}
}

// takeNextStep takes the next step of the usual life cycle.
func (m *fleetModel) takeNextStep(t testingT, id string) (err error) {
	ctx := context.Background()
	in, _ := m.intent(id)
	switch in.State {
	case intent.Draft:
		_, err = m.engine.Plan(ctx, operators[0], id, m.snapshot)
	case intent.Planned:
		_, err = m.engine.Confirm(ctx, operators[1], id, in.Plan.Number, m.snapshot)
	case intent.Confirmed:
		_, err = m.engine.Approve(ctx, approvers[0], id, in.Plan.Number, m.snapshot)
		if err == nil {
			m.checkApproval(t, in)
		}
	default:
		return codes.StoreOutcomeUnknown.New("no step")
	}
	return m.unlessRepeated(id, err)
}

// driveWithFault lets a node drive every intent under a drawn fault.
func (m *fleetModel) driveWithFault(t *rapid.T) {
	m.armFault(t)
	m.driveAll(t)
	m.store.arm(noFault, 0, nil)
}

func (m *fleetModel) driveAll(t testingT) {
	for _, id := range m.ids {
		m.runStep(func() error {
			_, action, err := m.engine.Drive(context.Background(), "n0", id, m.snapshot)
			if action == "" && err == nil {
				return codes.StoreOutcomeUnknown.New("nothing due")
			}
			if action == intent.ActionResume {
				m.checkStop(t, id)
			}
			return err
		})
	}
}

// loseAndRestoreServer fails a server, lets a node hold the affected stops, restores
// the server, and takes another intent through approval before the held stops
// resume.
func (m *fleetModel) loseAndRestoreServer(t *rapid.T) {
	server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3"}).Draw(t, "server")
	m.failedServers[server] = true
	m.driveAll(t)
	m.failedServers[server] = false
	m.advanceIntent(t)
	m.now = m.now.Add(time.Minute)
	m.driveWithFault(t)
}
