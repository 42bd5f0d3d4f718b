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

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// TestLifeCycle guards against a change without both confirmations, lost and
// duplicate steps, row versions that decrease, and stops that together break the
// floor. Two operators work concurrently under lost responses, delayed
// transactions, crashes and outages.
func TestLifeCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"act":     m.stepWithFault,
			"act2":    m.stepWithFault,
			"carry":   m.advanceIntent,
			"carry2":  m.advanceIntent,
			"carry3":  m.advanceIntent,
			"episode": m.loseAndRestoreServer,
			"drive":   m.driveWithFault,
			"drive2":  m.driveWithFault,
			"advance": func(t *rapid.T) {
				minutes := rapid.SampledFrom([]int{1, 1, 1, 5, 5, 25, 26 * 60}).Draw(t, "minutes")
				m.now = m.now.Add(time.Duration(minutes) * time.Minute)
			},
			"capacity": func(t *rapid.T) {
				server := rapid.SampledFrom([]string{"an0", "an1", "an2", "an3", "bn1"}).Draw(t, "server")
				m.failedServers[server] = !m.failedServers[server]
			},
			"spread": func(*rapid.T) {
				for id, node := range m.nodes {
					clone := node.Clone()
					clone.ConfigVersion = m.counter(t)
					m.nodes[id] = clone
				}
			},
			"deliver": func(*rapid.T) { m.store.applyDelayed() },
			"settle":  func(t *rapid.T) { m.driveUntilIdle(t) },
			"":        func(t *rapid.T) { m.check(t) },
		})
	})
}

func (m *fleetModel) rows(prefix string) []platform.Row {
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

func (m *fleetModel) intent(id string) (intent.Intent, bool) {
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent + id)) {
		if in.ID == id {
			return in, true
		}
	}
	return intent.Intent{}, false
}

func (m *fleetModel) audits(id string) []intent.Audit {
	return decodeRows[intent.Audit](m.rows(fleet.PrefixAudit + id + "/"))
}

func (m *fleetModel) counter(t testingT) uint64 {
	row, err := m.memory.Get(context.Background(), fleet.Table, fleet.KeyCounter)
	if err != nil {
		t.Fatal(err)
	}
	version, _ := strconv.ParseUint(string(row.Value), 10, 64)
	return version
}

func (m *fleetModel) check(t testingT) {
	m.checkVersions(t)
	byTransaction := map[string]intent.Audit{}
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent)) {
		m.checkHistory(t, in, byTransaction)
	}
	m.checkReportedResults(t, byTransaction)
	m.checkChanges(t, byTransaction)
	m.checkFullCapacity(t)
}

// checkVersions asserts that no row version decreases.
func (m *fleetModel) checkVersions(t testingT) {
	for _, row := range m.rows("") {
		if row.Version < m.versions[row.Key] {
			t.Fatalf("version of row %s decreased from %d to %d", row.Key, m.versions[row.Key], row.Version)
		}
		m.versions[row.Key] = row.Version
	}
}

// checkHistory asserts that the audit rows of an intent form a valid sequence of
// transitions that ends in its state, with both confirmations before any change.
func (m *fleetModel) checkHistory(t testingT, in intent.Intent, byTransaction map[string]intent.Audit) {
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
		if _, duplicate := byTransaction[audit.TransactionID]; duplicate {
			t.Fatalf("transaction %s appears in two audit rows", audit.TransactionID)
		}
		byTransaction[audit.TransactionID] = audit
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

// checkReportedResults asserts that no step that took effect was reported as
// failed, and the reverse.
func (m *fleetModel) checkReportedResults(t testingT, byTransaction map[string]intent.Audit) {
	for id := range m.notApplied {
		if audit, ok := byTransaction[id]; ok {
			t.Fatalf("step %+v took effect and was reported as failed", audit)
		}
	}
	for id := range m.applied {
		if _, ok := byTransaction[id]; !ok {
			t.Fatalf("transaction %s was reported as applied and has no audit row", id)
		}
	}
}

// checkChanges asserts that the versions of the change rows have no gaps, and that
// each change was written by one step of an intent with both confirmations.
func (m *fleetModel) checkChanges(t testingT, byTransaction map[string]intent.Audit) {
	changes := decodeRows[fleet.Change](m.rows(fleet.PrefixChange))
	if uint64(len(changes)) != m.counter(t) {
		t.Fatalf("counter %d with %d change rows", m.counter(t), len(changes))
	}
	for i, change := range changes[1:] {
		audit, ok := byTransaction[change.Mark]
		if !ok || audit.ChangeVersion != change.Version || change.Version != uint64(i+2) {
			t.Fatalf("change %+v at position %d does not match the audit row %+v", change, i+2, audit)
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
func (m *fleetModel) floors() map[string]int {
	floors := map[string]int{}
	for _, service := range decodeRows[fleet.Service](m.rows(fleet.PrefixService)) {
		floors[service.Name] = service.FloorSlots
	}
	return floors
}

// slots returns the slots of a service at the given time, without the withdrawn
// servers and, if excludeFailed is set, without the failed ones.
func (m *fleetModel) slots(service string, withdrawals []fleet.Withdrawal, at time.Time, excludeFailed bool) int {
	total := 0
	for _, node := range m.nodes {
		for i := range node.Servers {
			server := &node.Servers[i]
			out := server.Service != service || (excludeFailed && m.failedServers[server.ID])
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

// checkFullCapacity asserts that all accepted stops together, including held ones,
// keep the floor from now on if no server fails. It fails if two stops were
// accepted that are acceptable only one at a time.
func (m *fleetModel) checkFullCapacity(t testingT) {
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

// checkApproval asserts, right after an approval, that the approved plan was based
// on the row versions just before it, and that the stop keeps the floor.
func (m *fleetModel) checkApproval(t testingT, before intent.Intent) {
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

// checkStop asserts that a stop that just took effect keeps the floor.
func (m *fleetModel) checkStop(t testingT, id string) {
	in, _ := m.intent(id)
	if in.State != intent.InForce || !in.Spec.IsStop() {
		return
	}
	if text := m.floorViolation(in, decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal))); text != "" {
		t.Fatal(text)
	}
}

// driveUntilIdle drives every intent without faults until nothing is due. It
// asserts that no stop in force leaves a service below its floor.
func (m *fleetModel) driveUntilIdle(t testingT) {
	for round := 0; ; round++ {
		if round > 20 {
			t.Fatal("steps are still due after 20 rounds")
		}
		progressed := false
		for _, id := range m.ids {
			due := intent.DueStops(m.upToDateView(), m.now)
			_, action, err := m.engine.Drive(context.Background(), "n1", id, m.snapshot)
			urgent := action == intent.ActionHold || action == intent.ActionResume
			if urgent && !slices.Contains(due, id) {
				t.Fatalf("step %s of intent %s is due and DueStops does not list the intent", action, id)
			}
			if _, exists := m.intent(id); exists && err != nil {
				t.Fatal(err)
			}
			progressed = progressed || action != ""
		}
		if !progressed {
			break
		}
	}
	withdrawals := decodeRows[fleet.Withdrawal](m.rows(fleet.PrefixWithdrawal))
	for _, in := range decodeRows[intent.Intent](m.rows(fleet.PrefixIntent)) {
		if in.State != intent.InForce || !in.Spec.IsStop() {
			continue
		}
		if text := m.floorViolation(in, withdrawals); text != "" {
			t.Fatal(text)
		}
	}
}

// upToDateView returns the view of a node with the newest configuration.
func (m *fleetModel) upToDateView() *fleet.View {
	view := m.snapshot().View
	var rows []fleet.Row
	for _, row := range m.rows("") {
		rows = append(rows, fleet.Row{Key: row.Key, Version: 1, Value: row.Value})
	}
	view.Config, _ = fleet.EmptyConfig().Apply(1, rows)
	return view
}

// floorViolation describes the service that is below its floor because of a stop
// in force, or returns an empty string.
func (m *fleetModel) floorViolation(in intent.Intent, withdrawals []fleet.Withdrawal) string {
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
