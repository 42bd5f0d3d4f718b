package intentstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// failer is a test or a drawn run.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// TestLifeCycle guards against a change without two confirmations, a lost or
// doubled step, a version that falls, and stops that break the floor together,
// with two operators at once, lost and late answers, crashes and outages.
func TestLifeCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"act":     m.act,
			"act2":    m.act,
			"carry":   m.carry,
			"carry2":  m.carry,
			"carry3":  m.carry,
			"episode": m.episode,
			"drive":   m.drive,
			"drive2":  m.drive,
			"advance": func(t *rapid.T) {
				minutes := rapid.SampledFrom([]int{1, 1, 1, 5, 5, 25, 26 * 60}).Draw(t, "minutes")
				m.now = m.now.Add(time.Duration(minutes) * time.Minute)
			},
			"capacity": func(t *rapid.T) {
				server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3", "bn1"}).Draw(t, "server")
				m.lost[server] = !m.lost[server]
			},
			"spread": func(*rapid.T) {
				for id, node := range m.nodes {
					clone := node.Clone()
					clone.ConfigVersion = m.counter(t)
					m.nodes[id] = clone
				}
			},
			"deliver": func(*rapid.T) { m.store.deliverPending() },
			"settle":  func(t *rapid.T) { m.settle(t) },
			"":        func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *machine) rows(prefix string) []platform.Row {
	rows, _ := m.memory.Scan(context.Background(), fleet.Table, prefix, "", 0)
	return rows
}

func decodeRows[T any](rows []platform.Row) []T {
	list := make([]T, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &list[i]); err != nil {
			panic(err)
		}
	}
	return list
}

func (m *machine) intent(id string) (intent.Intent, bool) {
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent + id)) {
		if in.ID == id {
			return in, true
		}
	}
	return intent.Intent{}, false
}

func (m *machine) audits(id string) []intent.Audit {
	return decodeRows[intent.Audit](m.rows(fleet.PrefixAudit + id + "/"))
}

func (m *machine) counter(t failer) uint64 {
	row, err := m.memory.Get(context.Background(), fleet.Table, fleet.KeyCounter)
	if err != nil {
		t.Fatal(err)
	}
	version, _ := strconv.ParseUint(string(row.Value), 10, 64)
	return version
}

func (m *machine) check(t failer) {
	m.checkVersions(t)
	marks := map[string]intent.Audit{}
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent)) {
		m.checkHistory(t, in, marks)
	}
	m.checkMarks(t, marks)
	m.checkChanges(t, marks)
	m.checkFullCapacity(t)
}

// checkVersions asserts that no row's version falls.
func (m *machine) checkVersions(t failer) {
	for _, row := range m.rows("") {
		if row.Version < m.versions[row.Key] {
			t.Fatalf("row %s fell from version %d to %d", row.Key, m.versions[row.Key], row.Version)
		}
		m.versions[row.Key] = row.Version
	}
}

// checkHistory asserts that the audit rows of an intent tell a legal history
// that ends in its state, with two confirmations before any effect.
func (m *machine) checkHistory(t failer, in intent.Intent, marks map[string]intent.Audit) {
	audits := m.audits(in.ID)
	if len(audits) != in.Step {
		t.Fatalf("intent %s has %d steps and %d audit rows", in.ID, in.Step, len(audits))
	}
	state, plan, confirmer := intent.State(""), 0, ""
	for i, audit := range audits {
		if audit.Step != i+1 || audit.From != state {
			t.Fatalf("intent %s: step %d from %s follows state %s", in.ID, audit.Step, audit.From, state)
		}
		if err := intent.CheckTransition(audit.From, audit.Action, audit.To); err != nil {
			t.Fatal(err)
		}
		if _, doubled := marks[audit.Mark]; doubled {
			t.Fatalf("mark %s took two steps", audit.Mark)
		}
		marks[audit.Mark] = audit
		switch audit.Action {
		case intent.ActionPlan:
			plan, confirmer = audit.Step, ""
		case intent.ActionConfirm:
			if audit.Plan != plan || audit.Role != fleet.RoleOperator {
				t.Fatalf("intent %s: confirmation %+v of plan %d", in.ID, audit, plan)
			}
			confirmer = audit.Actor
		case intent.ActionApprove:
			if audit.Plan != plan || confirmer == "" || confirmer == audit.Actor || in.CreatedBy == audit.Actor || audit.Role != fleet.RoleApprover {
				t.Fatalf("intent %s: approval %+v after confirmation of plan %d by %q", in.ID, audit, plan, confirmer)
			}
		}
		state = audit.To
	}
	if state != in.State {
		t.Fatalf("intent %s is in state %s and its audit rows end in %s", in.ID, in.State, state)
	}
}

// checkMarks asserts that each step's result was reported as it happened.
func (m *machine) checkMarks(t failer, marks map[string]intent.Audit) {
	for mark := range m.dead {
		if audit, ok := marks[mark]; ok {
			t.Fatalf("step %+v took effect and was reported as failed", audit)
		}
	}
	for mark := range m.taken {
		if _, ok := marks[mark]; !ok {
			t.Fatalf("mark %s was reported as taken and has no audit row", mark)
		}
	}
}

// checkChanges asserts that the change rows are without gap and that each
// comes from one step of an intent with both confirmations.
func (m *machine) checkChanges(t failer, marks map[string]intent.Audit) {
	changes := decodeRows[fleet.Change](m.rows(fleet.PrefixChange))
	if uint64(len(changes)) != m.counter(t) {
		t.Fatalf("counter %d with %d change rows", m.counter(t), len(changes))
	}
	for i, change := range changes[1:] {
		audit, ok := marks[change.Mark]
		if !ok || audit.ChangeVersion != change.Version || change.Version != uint64(i+2) {
			t.Fatalf("change %+v at place %d does not fit the audit row %+v", change, i+2, audit)
		}
		in, _ := m.intent(audit.Intent)
		if in.ApprovedBy == "" || in.ConfirmedBy == "" || in.ApprovedBy == in.ConfirmedBy {
			t.Fatalf("change %+v of intent %+v lacks a confirmation", change, in)
		}
	}
	for _, withdrawal := range decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal)) {
		in, _ := m.intent(withdrawal.Intent)
		if in.ApprovedBy == "" || withdrawal.Held != (in.State == intent.Held) {
			t.Fatalf("withdrawal %+v of intent in state %s", withdrawal, in.State)
		}
	}
}

// floors returns the floor of each service.
func (m *machine) floors() map[string]int {
	floors := map[string]int{}
	for _, service := range decodeRows[fleet.Service](m.rows(fleet.PrefixService)) {
		floors[service.Name] = service.FloorSlots
	}
	return floors
}

// slots returns the slots of a service at t, without the withdrawn servers and,
// if withLosses is set, without the lost ones.
func (m *machine) slots(service string, withdrawals []fleet.Withdrawal, at time.Time, withLosses bool) int {
	total := 0
	for _, node := range m.nodes {
		for i := range node.Servers {
			server := &node.Servers[i]
			out := server.Service != service || (withLosses && m.lost[server.ID])
			for _, withdrawal := range withdrawals {
				out = out || (withdrawal.ActiveAt(at) && withdrawal.Covers(node, server))
			}
			if !out {
				total += server.Slots
			}
		}
	}
	return total
}

// checkFullCapacity asserts that all accepted stops together, held ones
// included, leave the floor at every later time if no server is lost. Two stops
// that are acceptable only alone would break this.
func (m *machine) checkFullCapacity(t failer) {
	withdrawals := decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal))
	times := []time.Time{m.now}
	for i := range withdrawals {
		withdrawals[i].Held = false
		if withdrawals[i].NotBefore.After(m.now) {
			times = append(times, withdrawals[i].NotBefore)
		}
	}
	for service, floor := range m.floors() {
		for _, at := range times {
			if slots := m.slots(service, withdrawals, at, false); slots < floor {
				t.Fatalf("service %s has %d slots at %s, its floor is %d: %+v", service, slots, at, floor, withdrawals)
			}
		}
	}
}

// checkApproval asserts, right after an approval, that the plan was made from
// the rows as they were and that the stop leaves the floor now.
func (m *machine) checkApproval(t failer, before intent.Intent) {
	written := append(append([]string{}, before.Plan.Writes...), intent.TouchedKeys(before)...)
	for key, version := range before.Plan.Versions {
		row, err := m.memory.Get(context.Background(), fleet.Table, key)
		if err != nil {
			continue // deleted by the change
		}
		if slices.Contains(written, key) {
			version++
		}
		if row.Version != version {
			t.Fatalf("row %s has version %d after the approval of a plan that expects %d", key, row.Version, version)
		}
	}
	m.checkStop(t, before.ID)
}

// checkStop asserts that a stop which just took effect leaves the floor.
func (m *machine) checkStop(t failer, id string) {
	in, _ := m.intent(id)
	if in.State != intent.InForce || !in.Spec.IsStop() {
		return
	}
	if text := m.brokenBy(in, decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal))); text != "" {
		t.Fatal(text)
	}
}

// settle drives every intent without faults until nothing is due, and asserts
// that no running stop leaves a service below its floor.
func (m *machine) settle(t failer) {
	for round := 0; ; round++ {
		if round > 20 {
			t.Fatal("driving does not come to rest")
		}
		busy := false
		for _, id := range m.ids {
			due := intent.DueStops(m.spreadView(), m.now)
			_, action, err := m.engine.Drive(context.Background(), "n1", id, m.look)
			urgent := action == intent.ActionHold || action == intent.ActionResume
			if urgent && !slices.Contains(due, id) {
				t.Fatalf("step %s of intent %s is not found in the view", action, id)
			}
			if _, exists := m.intent(id); exists && err != nil {
				t.Fatal(err)
			}
			busy = busy || action != ""
		}
		if !busy {
			break
		}
	}
	withdrawals := decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal))
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent)) {
		if in.State != intent.InForce || !in.Spec.IsStop() {
			continue
		}
		if text := m.brokenBy(in, withdrawals); text != "" {
			t.Fatal(text)
		}
	}
}

// spreadView returns the view of a node that has the newest configuration.
func (m *machine) spreadView() *fleet.View {
	view := m.look().View
	var rows []fleet.Row
	for _, row := range m.rows("") {
		rows = append(rows, fleet.Row{Key: row.Key, Version: 1, Value: row.Value})
	}
	view.Config, _ = fleet.EmptyConfig().Apply(1, rows)
	return view
}

// brokenBy says which service is below its floor because of a running stop.
func (m *machine) brokenBy(in intent.Intent, withdrawals []fleet.Withdrawal) string {
	var others []fleet.Withdrawal
	for _, withdrawal := range withdrawals {
		if !strings.EqualFold(withdrawal.Intent, in.ID) {
			others = append(others, withdrawal)
		}
	}
	for service, floor := range m.floors() {
		with := m.slots(service, withdrawals, m.now, true)
		if with < floor && with < m.slots(service, others, m.now, true) {
			return fmt.Sprintf("stop %s leaves service %s with %d slots, its floor is %d", in.ID, service, with, floor)
		}
	}
	return ""
}
