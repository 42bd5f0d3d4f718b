package intent

import (
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// State is the state of an intent.
type State string

// The states.
const (
	// Draft is the state of an intent without a plan.
	Draft State = "draft"
	// Planned intents have a plan that keeps the floor.
	Planned State = "planned"
	// Confirmed intents have the operator's confirmation of the plan.
	Confirmed State = "confirmed"
	// Approved intents have both confirmations and wait for their window.
	Approved State = "approved"
	// InForce intents have changed the configuration.
	InForce State = "in-force"
	// Done intents are in force everywhere, or their window has ended.
	Done State = "done"
	// Held intents are stops that wait for lost capacity to return.
	Held State = "held"
	// Expired intents were not confirmed, approved or resumed in time.
	Expired State = "expired"
	// Cancelled intents were withdrawn by an operator or approver.
	Cancelled State = "cancelled"
	// Refused intents break the floor or were refused by the approver.
	Refused State = "refused"
)

// Action is one step of the life cycle.
type Action string

// The actions. Operators and approvers take those before Begin; nodes take the
// others.
const (
	ActionCreate  Action = "create"
	ActionPlan    Action = "plan"
	ActionConfirm Action = "confirm"
	ActionApprove Action = "approve"
	ActionRefuse  Action = "refuse"
	ActionCancel  Action = "cancel"
	ActionBegin   Action = "begin"
	ActionHold    Action = "hold"
	ActionResume  Action = "resume"
	ActionFinish  Action = "finish"
	ActionExpire  Action = "expire"
)

// transitions lists the states that an action may lead to.
var transitions = map[State]map[Action][]State{
	"":    {ActionCreate: {Draft}},
	Draft: {ActionPlan: {Planned, Refused}, ActionCancel: {Cancelled}, ActionExpire: {Expired}},
	Planned: {ActionPlan: {Planned, Refused}, ActionConfirm: {Confirmed}, ActionRefuse: {Refused},
		ActionCancel: {Cancelled}, ActionExpire: {Expired}},
	Confirmed: {ActionPlan: {Planned, Refused}, ActionApprove: {Approved, InForce}, ActionRefuse: {Refused},
		ActionCancel: {Cancelled}, ActionExpire: {Expired}},
	Approved: {ActionBegin: {InForce}, ActionHold: {Held}, ActionCancel: {Cancelled}, ActionFinish: {Done}},
	InForce:  {ActionHold: {Held}, ActionFinish: {Done}},
	Held: {ActionResume: {Approved, InForce}, ActionCancel: {Cancelled}, ActionExpire: {Expired},
		ActionFinish: {Done}},
}

// IsTerminal reports whether no action leaves the state.
func (s State) IsTerminal() bool { return s != "" && len(transitions[s]) == 0 }

// CheckTransition returns an error of code WrongState unless the action may
// lead from one state to the other.
func CheckTransition(from State, action Action, to State) error {
	for _, allowed := range transitions[from][action] {
		if allowed == to {
			return nil
		}
	}
	return codes.WrongState.New("an intent in state %s cannot %s", from, action)
}

// CanTake reports whether the action may be taken in the state.
func (s State) CanTake(action Action) bool { return len(transitions[s][action]) > 0 }

// RoleNode is the role of a node that drives the life cycle after approval.
const RoleNode fleet.Role = "node"

// Actor is the identity that takes a step.
type Actor struct {
	ID   string
	Role fleet.Role
	// RowVersion is the version of the identity's row; 0 for nodes. A step
	// fails if the row has changed since the token was checked.
	RowVersion uint64
}

var permitted = map[fleet.Role][]Action{
	fleet.RoleOperator: {ActionCreate, ActionPlan, ActionConfirm, ActionCancel},
	fleet.RoleApprover: {ActionApprove, ActionRefuse, ActionCancel},
	RoleNode:           {ActionBegin, ActionHold, ActionResume, ActionFinish, ActionExpire},
}

// CheckActor returns an error of code Forbidden if the role of the actor does
// not allow the action, and one of code SameIdentity if the actor approves
// what it created, planned or confirmed.
func CheckActor(actor Actor, action Action, in Intent) error {
	if !roleAllows(actor.Role, action) {
		return codes.Forbidden.New("identity %s has the role %s, which does not allow to %s", actor.ID, actor.Role, action)
	}
	if action != ActionApprove {
		return nil
	}
	for _, other := range []string{in.CreatedBy, in.PlannedBy, in.ConfirmedBy} {
		if other == actor.ID {
			return codes.SameIdentity.New("identity %s has created, planned or confirmed intent %s", actor.ID, in.ID)
		}
	}
	return nil
}

func roleAllows(role fleet.Role, action Action) bool {
	for _, allowed := range permitted[role] {
		if allowed == action {
			return true
		}
	}
	return false
}
