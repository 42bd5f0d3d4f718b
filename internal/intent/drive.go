package intent

import (
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// HoldLead is how long before its window a stop is checked against the
	// floor. It is longer than SpreadTime, so that a hold is in force
	// everywhere before the window begins.
	HoldLead = 2 * SpreadTime
	// MinHold is the shortest time for which a stop is held. Hysteresis keeps
	// a server that comes and goes from raising the counter each time.
	MinHold = 30 * time.Second
)

// NextStep returns the step that is due for an intent at input.Now, and why,
// or an empty action. Rows must hold the withdrawals and the rows of the
// affected services.
func NextStep(in Intent, input Input) (Action, string) {
	if in.IsOverdue(input.Now) {
		return ActionExpire, overdueReason(in)
	}
	switch in.State {
	case Approved, InForce:
		return nextRunning(in, input)
	case Held:
		return nextHeld(in, input)
	}
	return "", ""
}

func overdueReason(in Intent) string {
	if in.State == Held {
		return "the window ended while the stop was held"
	}
	return fmt.Sprintf("no step for %s, or the window ended before approval", StepTimeout)
}

func nextRunning(in Intent, input Input) (Action, string) {
	if in.Spec.IsStop() && isReturned(in, input.Rows) {
		return ActionFinish, "the withdrawal was ended by a return"
	}
	if reason := Finished(in, input.View, input.Now); reason != "" {
		return ActionFinish, reason
	}
	if in.Spec.IsStop() {
		if shortfall := Shortfall(in, input); shortfall != "" {
			return ActionHold, shortfall
		}
	}
	if in.State == Approved && !input.Now.Before(in.Spec.NotBefore) {
		return ActionBegin, "the window has begun"
	}
	return "", ""
}

func nextHeld(in Intent, input Input) (Action, string) {
	if isReturned(in, input.Rows) {
		return ActionFinish, "the withdrawal was ended by a return"
	}
	if input.Now.Sub(in.HeldAt) < MinHold || !CanResume(in, input) {
		return "", ""
	}
	return ActionResume, "capacity has returned"
}

func isReturned(in Intent, rows Rows) bool {
	return rows[fleet.PrefixWithdrawal+in.ID].Value == nil
}

// Finished returns why an intent in force is done, or an empty text. A
// maintenance stop is done when its window ends. Every other change is done
// when each reachable node has it, and a withdrawal DrainTime later.
func Finished(in Intent, view *fleet.View, now time.Time) string {
	if in.State != InForce {
		return ""
	}
	if in.Spec.Kind == Maintenance {
		if now.Before(in.Spec.NotAfter) {
			return ""
		}
		return "the window has ended"
	}
	if len(LaggingNodes(view, in.ChangeVersion)) > 0 {
		return ""
	}
	if in.Spec.Kind == Withdraw && now.Sub(in.InForceAt) < DrainTime {
		return ""
	}
	return "the change is in force at every reachable node"
}

// LaggingNodes returns the reachable nodes whose configuration is older than version.
func LaggingNodes(view *fleet.View, version uint64) []string {
	var ids []string
	for id, node := range view.Nodes {
		if !node.Left && !view.DownNodes[id] && node.ConfigVersion < version {
			ids = append(ids, id)
		}
	}
	return ids
}

// Shortfall says with numbers which affected service is below its floor while
// the stop runs, from HoldLead before its window on; it is empty if none is.
func Shortfall(in Intent, input Input) string {
	if input.Now.Before(in.Spec.NotBefore.Add(-HoldLead)) {
		return ""
	}
	withdrawals, err := input.Rows.withdrawals()
	if err != nil {
		return ""
	}
	at := stopWindow(in.Spec, input.Now).from
	rest := without(withdrawals, func(w fleet.Withdrawal) bool { return w.ID == in.ID })
	for _, name := range AffectedServices(in.Spec, input.View) {
		service, err := input.Rows.service(name)
		if err != nil {
			continue
		}
		with := capacityAt(input.View, name, withdrawals, at)
		if with < service.FloorSlots && with < capacityAt(input.View, name, rest, at) {
			return fmt.Sprintf("service %s: healthy capacity is %d slots and the floor is %d slots", name, with, service.FloorSlots)
		}
	}
	return ""
}

// CanResume reports whether every affected service keeps its floor during the
// rest of the window when the held stop resumes. Other held stops do not
// count, because one of two must be able to go first.
func CanResume(in Intent, input Input) bool {
	withdrawals, err := input.Rows.withdrawals()
	if err != nil {
		return false
	}
	resumed := in.Withdrawal()
	resumed.Held = false
	others := without(withdrawals, func(w fleet.Withdrawal) bool { return w.ID == in.ID })
	during := stopWindow(in.Spec, input.Now)
	for _, name := range AffectedServices(in.Spec, input.View) {
		service, err := input.Rows.service(name)
		if err != nil {
			continue
		}
		if lowestCapacity(input.View, name, append(others, resumed), during) < service.FloorSlots {
			return false
		}
	}
	return true
}
