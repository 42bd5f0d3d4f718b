package intent

import (
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// HoldLeadTime is how long before its window begins a stop is first checked
	// against the floor. It is longer than MaxPropagationTime, so that a hold is
	// in force at every node before the window begins.
	HoldLeadTime = 2 * MaxPropagationTime
	// MinHoldTime is the shortest time for which a stop is held. Without this
	// hysteresis, a server with flapping health would raise the change counter
	// each time.
	MinHoldTime = 30 * time.Second
)

// NextStep returns the action that is due for an intent at input.Now and the
// reason, or an empty action. input.Rows must hold the withdrawals and the rows of
// the affected services.
func NextStep(in Intent, input Input) (Action, string) {
	if in.IsOverdue(input.Now) {
		return ActionExpire, expiryReason(in)
	}
	switch in.State {
	case Approved, InForce:
		return nextStepApproved(in, input)
	case Held:
		return nextStepHeld(in, input)
	}
	return "", ""
}

func expiryReason(in Intent) string {
	if in.State == Held {
		return "the window ended while the stop was held"
	}
	return fmt.Sprintf("no step for %s, or the window ended before approval", StepTimeout)
}

func nextStepApproved(in Intent, input Input) (Action, string) {
	if in.Spec.IsStop() && withdrawalDeleted(in, input.Rows) {
		return ActionFinish, "the withdrawal was ended by a return"
	}
	if reason := CompletionReason(in, input.View, input.Now); reason != "" {
		return ActionFinish, reason
	}
	if in.Spec.IsStop() {
		if shortfall := FloorShortfall(in, input); shortfall != "" {
			return ActionHold, shortfall
		}
	}
	if in.State == Approved && !input.Now.Before(in.Spec.NotBefore) {
		return ActionBegin, "the window has begun"
	}
	return "", ""
}

func nextStepHeld(in Intent, input Input) (Action, string) {
	if withdrawalDeleted(in, input.Rows) {
		return ActionFinish, "the withdrawal was ended by a return"
	}
	if input.Now.Sub(in.HeldAt) < MinHoldTime || !CanResume(in, input) {
		return "", ""
	}
	return ActionResume, "capacity has returned"
}

// withdrawalDeleted reports whether the withdrawal of a stop was deleted, which
// only a return does before the intent ends.
func withdrawalDeleted(in Intent, rows Rows) bool {
	return rows[fleet.PrefixWithdrawal+in.ID].Value == nil
}

// CompletionReason returns the reason why an intent in force is done, or an empty
// string if it is not done. A maintenance stop is done when its window ends. Every
// other change is done when all reachable nodes have it; a withdrawal must also
// have been in force for DrainTime.
func CompletionReason(in Intent, view *fleet.View, now time.Time) string {
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

// LaggingNodes returns the IDs of the reachable nodes whose configuration is older
// than version.
func LaggingNodes(view *fleet.View, version uint64) []string {
	var ids []string
	for id, node := range view.Nodes {
		if !node.Left && !view.DownNodes[id] && node.ConfigVersion < version {
			ids = append(ids, id)
		}
	}
	return ids
}

// FloorShortfall describes the first affected service that a stop leaves below its
// floor, with the capacity and the floor, or returns an empty string. It checks a
// stop from HoldLeadTime before its window on.
func FloorShortfall(in Intent, input Input) string {
	if input.Now.Before(in.Spec.NotBefore.Add(-HoldLeadTime)) {
		return ""
	}
	withdrawals, err := input.Rows.withdrawals()
	if err != nil {
		return ""
	}
	at := stopWindow(in.Spec, input.Now).from
	rest := excluding(withdrawals, func(w fleet.Withdrawal) bool { return w.ID == in.ID })
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

// CanResume reports whether every affected service keeps its floor for the rest of
// the window if the held stop resumes. Other held stops are not counted, because
// otherwise two held stops could keep each other from resuming.
func CanResume(in Intent, input Input) bool {
	withdrawals, err := input.Rows.withdrawals()
	if err != nil {
		return false
	}
	resumed := in.Withdrawal()
	resumed.Held = false
	others := excluding(withdrawals, func(w fleet.Withdrawal) bool { return w.ID == in.ID })
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
