package intent

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// StepTimeout is how long an intent may wait for the next step before approval.
// A plan that is older says little about the callers that are affected.
const StepTimeout = 24 * time.Hour

// Intent is the value of an intent's row.
type Intent struct {
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Step counts the transitions; each has an audit row with this number.
	Step int `json:"step"`
	// Plan is the newest plan; nil in state draft.
	Plan        *Plan     `json:"plan,omitempty"`
	CreatedBy   string    `json:"created_by"`
	CreatedAt   time.Time `json:"created_at"`
	UpdatedAt   time.Time `json:"updated_at"`
	PlannedBy   string    `json:"planned_by,omitempty"`
	ConfirmedBy string    `json:"confirmed_by,omitempty"`
	ApprovedBy  string    `json:"approved_by,omitempty"`
	// ChangeVersion is the value of the counter after the newest change of
	// configuration rows for this intent; 0 before approval.
	ChangeVersion uint64 `json:"change_version,omitempty"`
	// InForceAt is the time at which the change last took effect.
	InForceAt time.Time `json:"in_force_at,omitzero"`
	// HeldAt is the time of the last hold.
	HeldAt time.Time `json:"held_at,omitzero"`
	// Detail says why the intent is held, refused or cancelled.
	Detail string `json:"detail,omitempty"`
}

// Audit is the value of an audit row. It is never overwritten.
type Audit struct {
	Intent string     `json:"intent"`
	Step   int        `json:"step"`
	At     time.Time  `json:"at"`
	Actor  string     `json:"actor"`
	Role   fleet.Role `json:"role"`
	Action Action     `json:"action"`
	From   State      `json:"from,omitempty"`
	To     State      `json:"to"`
	// Plan is the number of the plan that the step refers to.
	Plan int `json:"plan,omitempty"`
	// ChangeVersion is the value of the counter if the step changed
	// configuration rows.
	ChangeVersion uint64 `json:"change_version,omitempty"`
	Detail        string `json:"detail,omitempty"`
	// TransactionID identifies the transaction, for reading back a lost answer.
	TransactionID string `json:"mark"`
}

// Withdrawal returns the configuration row of a stop.
func (in Intent) Withdrawal() fleet.Withdrawal {
	return fleet.Withdrawal{
		ID:        in.ID,
		Scope:     in.Spec.Scope,
		Target:    in.Spec.Target,
		Intent:    in.ID,
		NotBefore: in.Spec.NotBefore,
		NotAfter:  in.Spec.NotAfter,
		Held:      in.State == Held,
	}
}

// StateAt returns the state of an approved and not held change at now:
// Approved before its window and InForce from then on.
func (in Intent) StateAt(now time.Time) State {
	if in.Spec.Kind == Maintenance && now.Before(in.Spec.NotBefore) {
		return Approved
	}
	return InForce
}

// IsOverdue reports whether the intent expires at now: no step for Lifetime
// before approval, or a window that ended before approval or while held.
func (in Intent) IsOverdue(now time.Time) bool {
	windowEnded := in.Spec.Kind == Maintenance && !now.Before(in.Spec.NotAfter)
	switch in.State {
	case Draft, Planned, Confirmed:
		return windowEnded || now.Sub(in.UpdatedAt) >= StepTimeout
	case Held:
		return windowEnded
	}
	return false
}
