package intent

import (
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// State is the state of an intent.
type State string

// The states of an intent.
const (
	// Draft intents have no plan yet.
	Draft State = "draft"
	// Planned intents have a plan that keeps the floor.
	Planned State = "planned"
	// Confirmed intents have a plan that an operator has confirmed.
	Confirmed State = "confirmed"
	// Approved intents have been approved as well and wait for their window.
	Approved State = "approved"
	// InForce intents have taken effect in the configuration.
	InForce State = "in-force"
	// Done intents are in force at every reachable node, or their window or their
	// withdrawal has ended.
	Done State = "done"
	// Held intents are stops that are suspended until lost capacity returns.
	Held State = "held"
	// Expired intents were not confirmed, approved or resumed in time.
	Expired State = "expired"
	// Cancelled intents were cancelled by an operator or approver.
	Cancelled State = "cancelled"
	// Refused intents have a plan that breaks a floor, or an approver refused them.
	Refused State = "refused"
)

// Action is the kind of a step in the life cycle.
type Action string

// The actions. Operators and approvers take those above ActionBegin, nodes the
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

// transitions lists the states that each action may lead to, by current state.
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

// IsTerminal reports whether no action leads out of the state.
func (s State) IsTerminal() bool { return s != "" && len(transitions[s]) == 0 }

// CheckTransition returns an error of code WrongState unless the action may lead
// from the state from to the state to.
func CheckTransition(from State, action Action, to State) error {
	for _, allowed := range transitions[from][action] {
		if allowed == to {
			return nil
		}
	}
	return codes.WrongState.New("an intent in state %s does not allow action %s", from, action)
}

// Allows reports whether the state allows the action.
func (s State) Allows(action Action) bool { return len(transitions[s][action]) > 0 }

// RoleNode is the role of the nodes, which drive the life cycle after approval.
const RoleNode fleet.Role = "node"

// Actor is an operator, an approver or a node that takes a step.
type Actor struct {
	ID   string
	Role fleet.Role
	// RowVersion is the version of the identity's row when its token was
	// checked; 0 for nodes. A step fails if the row has changed since then.
	RowVersion uint64
}

// allowedActions lists the actions that each role may take.
var allowedActions = map[fleet.Role][]Action{
	fleet.RoleOperator: {ActionCreate, ActionPlan, ActionConfirm, ActionCancel},
	fleet.RoleApprover: {ActionApprove, ActionRefuse, ActionCancel},
	RoleNode:           {ActionBegin, ActionHold, ActionResume, ActionFinish, ActionExpire},
}

// CheckActor returns an error of code Forbidden if the role of the actor does not
// allow the action, and an error of code SameIdentity if the actor approves an
// intent that it created, planned or confirmed.
func CheckActor(actor Actor, action Action, in Intent) error {
	if !roleAllows(actor.Role, action) {
		return codes.Forbidden.New("identity %s has the role %s, which does not allow action %s", actor.ID, actor.Role, action)
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
	for _, allowed := range allowedActions[role] {
		if allowed == action {
			return true
		}
	}
	return false
}
