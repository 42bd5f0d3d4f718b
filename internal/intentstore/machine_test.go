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

const machineSeed = `
services:
  - {name: a, floor_slots: 12, preset: trust}
  - {name: b, floor_slots: 6, preset: trust}
routes:
  - {id: a, prefix: /a/, service: a}
accounts:
  - {id: shop}
`

// machine is the model of a fleet under two operators and two approvers.
type machine struct {
	memory *platform.Memory
	store  *faultStore
	engine *intentstore.Engine
	now    time.Time
	nodes  map[string]*fleet.NodeRecord
	lost   map[string]bool
	ids    []string
	marks  int
	mark   string
	// dead are marks of steps that were reported as not taken.
	dead map[string]bool
	// taken are marks of steps that were reported as taken.
	taken    map[string]bool
	versions map[string]uint64
}

func newMachine(t failer) *machine {
	m := &machine{
		memory: platform.NewMemory(), now: time.Unix(1_800_000_000, 0), nodes: map[string]*fleet.NodeRecord{},
		lost: map[string]bool{}, dead: map[string]bool{}, taken: map[string]bool{}, versions: map[string]uint64{},
	}
	file, err := seed.Parse([]byte(machineSeed))
	if err != nil {
		t.Fatal(err)
	}
	if err := seed.Apply(context.Background(), m.memory, file); err != nil {
		t.Fatal(err)
	}
	m.store = &faultStore{inner: m.memory}
	m.engine = intentstore.New(m.store, intentstore.Options{
		Now:     func() time.Time { return m.now },
		NewMark: m.newMark,
		Pause:   func(context.Context, time.Duration) {},
	})
	for i := range 4 {
		m.addNode(i)
	}
	return m
}

func (m *machine) newMark() string {
	m.marks++
	m.mark = fmt.Sprintf("mark-%d", m.marks)
	return m.mark
}

// addNode adds a node with one server of 6 slots of each service.
func (m *machine) addNode(i int) {
	id := fmt.Sprintf("n%d", i)
	record := &fleet.NodeRecord{ID: id, DataCentre: fmt.Sprintf("dc%d", i%2), ConfigVersion: 1}
	for _, service := range []string{"a", "b"} {
		record.Servers = append(record.Servers, fleet.ServerRecord{
			ID: service + id, Service: service, DataCentre: record.DataCentre, Slots: 6, Health: fleet.Healthy,
		})
	}
	m.nodes[id] = record
}

// look returns what a node sees. Its configuration is that of the start: a
// plan must not depend on how fresh it is.
func (m *machine) look() intentstore.Snapshot {
	view := &fleet.View{
		At: m.now, Config: fleet.EmptyConfig(), Nodes: m.nodes, Ready: true,
		DownNodes: map[string]bool{}, Services: map[string]*fleet.ServiceView{},
	}
	for i := range 4 {
		node := m.nodes[fmt.Sprintf("n%d", i)]
		for j := range node.Servers {
			server := node.Servers[j]
			if m.lost[server.ID] {
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

// run takes one step under the armed fault and books what its result claims.
// A crash claims nothing.
func (m *machine) run(step func() error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
		}
	}()
	// A step that is refused before its transaction must not be booked under
	// the mark of the step before it.
	m.newMark()
	err := step()
	mark := m.mark
	switch {
	case err == nil:
		m.taken[mark] = true
	case !errors.Is(err, codes.StoreOutcomeUnknown.New("")):
		m.dead[mark] = true
	}
}

var operators = []intent.Actor{{ID: "op1", Role: fleet.RoleOperator}, {ID: "op2", Role: fleet.RoleOperator}}

// approvers hold two operators whose roles were changed and one without the role.
var approvers = []intent.Actor{
	{ID: "legal", Role: fleet.RoleApprover}, {ID: "legal", Role: fleet.RoleApprover},
	{ID: "op1", Role: fleet.RoleApprover}, {ID: "op2", Role: fleet.RoleApprover}, {ID: "op3", Role: fleet.RoleOperator},
}

// draw returns a step of some identity on some intent.
func (m *machine) draw(t *rapid.T) func() error {
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
			_, err = m.engine.Plan(ctx, operator, id, m.look)
		case "confirm":
			_, err = m.engine.Confirm(ctx, operator, id, number, m.look)
		case "approve":
			_, err = m.engine.Approve(ctx, approver, id, number, m.look)
		case "cancel":
			_, err = m.engine.Cancel(ctx, operator, id, "test")
		case "refuse":
			_, err = m.engine.Refuse(ctx, approver, id, "test")
		}
		return m.withoutRepeat(id, err)
	}
}

// withoutRepeat forgets the mark of a step that succeeded without a
// transaction, because an earlier repeat had taken effect.
func (m *machine) withoutRepeat(id string, err error) error {
	if err != nil {
		return err
	}
	for _, audit := range m.audits(id) {
		if audit.Mark == m.mark {
			return nil
		}
	}
	return codes.StoreOutcomeUnknown.New("repeat")
}

func (m *machine) drawCreate(t *rapid.T, operator intent.Actor) func() error {
	id := fmt.Sprintf("i%d", len(m.ids))
	spec := m.drawSpec(t)
	m.ids = append(m.ids, id)
	return func() error {
		_, err := m.engine.Create(context.Background(), operator, id, spec)
		return err
	}
}

func (m *machine) drawSpec(t *rapid.T) intent.Spec {
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

func (m *machine) planNumber(id string) int {
	in, ok := m.intent(id)
	if !ok || in.Plan == nil {
		return 0
	}
	return in.Plan.Number
}

// arm draws a fault. The interleaved step of another identity meets none; it
// is one drawn step, a whole life cycle, or the work of a node.
func (m *machine) arm(t *rapid.T) {
	kind := rapid.SampledFrom(faultKinds).Draw(t, "fault")
	at := rapid.IntRange(0, 7).Draw(t, "at")
	other := func() {}
	if kind == interleave {
		run := m.drawOther(t)
		other = func() {
			mark := m.mark
			run()
			m.mark = mark
		}
	}
	m.store.arm(kind, at, other)
}

func (m *machine) drawOther(t *rapid.T) func() {
	switch rapid.SampledFrom([]string{"step", "cycle", "cycle", "node"}).Draw(t, "other") {
	case "step":
		step := m.draw(t)
		return func() { m.run(step) }
	case "node":
		return func() { m.driveAll(t) }
	}
	create := m.drawCreate(t, operators[1])
	id := m.ids[len(m.ids)-1]
	return func() {
		m.run(create)
		for range 3 {
			m.run(func() error { return m.forward(t, id) })
		}
	}
}

// act takes one drawn step under a drawn fault.
func (m *machine) act(t *rapid.T) {
	step := m.draw(t)
	m.arm(t)
	m.run(step)
	m.store.arm(noFault, 0, nil)
}

// carry takes an intent, often a new one, through the confirmations, with a
// fault at one of them, so that runs reach the later states often.
func (m *machine) carry(t *rapid.T) {
	if len(m.ids) == 0 || rapid.IntRange(0, 3).Draw(t, "new") > 0 {
		m.run(m.drawCreate(t, operators[0]))
	}
	id := m.ids[len(m.ids)-1-rapid.IntRange(0, min(3, len(m.ids)-1)).Draw(t, "back")]
	faulty := rapid.IntRange(0, 4).Draw(t, "faulty")
	for stage := range 4 {
		m.trespass(t, id)
		if stage == faulty {
			m.arm(t)
		}
		m.run(func() error { return m.forward(t, id) })
		m.store.arm(noFault, 0, nil)
	}
}

// trespass now and then tries what must be refused: a confirmation of an older
// plan, or a step by an identity without the role or with both roles. Capacity
// may be lost before the approval.
func (m *machine) trespass(t *rapid.T, id string) {
	if rapid.IntRange(0, 2).Draw(t, "trespass") > 0 {
		return
	}
	ctx := context.Background()
	in, _ := m.intent(id)
	switch in.State {
	case intent.Planned:
		m.run(func() error {
			_, err := m.engine.Plan(ctx, operators[0], id, m.look)
			return err
		})
		m.run(func() error {
			_, err := m.engine.Confirm(ctx, operators[0], id, in.Plan.Number, m.look)
			return err
		})
	case intent.Confirmed:
		server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3"}).Draw(t, "server")
		m.lost[server] = rapid.Bool().Draw(t, "lost")
		approver := rapid.SampledFrom(approvers).Draw(t, "approver")
		m.run(func() error {
			_, err := m.engine.Approve(ctx, approver, id, in.Plan.Number, m.look)
			return err
		})
	}
}

// forward takes the next step of the usual life cycle.
func (m *machine) forward(t failer, id string) (err error) {
	ctx := context.Background()
	in, _ := m.intent(id)
	switch in.State {
	case intent.Draft:
		_, err = m.engine.Plan(ctx, operators[0], id, m.look)
	case intent.Planned:
		_, err = m.engine.Confirm(ctx, operators[1], id, in.Plan.Number, m.look)
	case intent.Confirmed:
		_, err = m.engine.Approve(ctx, approvers[0], id, in.Plan.Number, m.look)
		if err == nil {
			m.checkApproval(t, in)
		}
	default:
		return codes.StoreOutcomeUnknown.New("no step")
	}
	return m.withoutRepeat(id, err)
}

// drive lets a node drive every intent under a drawn fault.
func (m *machine) drive(t *rapid.T) {
	m.arm(t)
	m.driveAll(t)
	m.store.arm(noFault, 0, nil)
}

func (m *machine) driveAll(t failer) {
	for _, id := range m.ids {
		m.run(func() error {
			_, action, err := m.engine.Drive(context.Background(), "n0", id, m.look)
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

// episode loses a server, lets a node hold the stops, returns the server and
// accepts another stop before the held ones resume.
func (m *machine) episode(t *rapid.T) {
	server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3"}).Draw(t, "server")
	m.lost[server] = true
	m.driveAll(t)
	m.lost[server] = false
	m.carry(t)
	m.now = m.now.Add(time.Minute)
	m.drive(t)
}
