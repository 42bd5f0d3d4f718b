package intent

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// StepTimeout is how long an intent may wait for its next step until it is
// approved. An older plan says little about which callers are affected.
const StepTimeout = 24 * time.Hour

// Intent is a requested configuration change and the value of its row.
type Intent struct {
	ID    string `json:"id"`
	Spec  Spec   `json:"spec"`
	State State  `json:"state"`
	// Step is the number of transitions so far. The audit row of a transition
	// has the step number after it.
	Step int `json:"step"`
	// Plan is the newest plan; nil in state Draft.
	Plan        *Plan     `json:"plan,omitempty"`
	CreatedBy   string    `json:"created_by"`
	CreatedAt   time.Time `json:"created_at"`
	UpdatedAt   time.Time `json:"updated_at"`
	PlannedBy   string    `json:"planned_by,omitempty"`
	ConfirmedBy string    `json:"confirmed_by,omitempty"`
	ApprovedBy  string    `json:"approved_by,omitempty"`
	// ChangeVersion is the value of the change counter after the latest change
	// of configuration rows for this intent; 0 before approval.
	ChangeVersion uint64 `json:"change_version,omitempty"`
	// InForceAt is the time at which the change last took effect.
	InForceAt time.Time `json:"in_force_at,omitzero"`
	// HeldAt is the time at which the stop was last held.
	HeldAt time.Time `json:"held_at,omitzero"`
	// Detail says why the intent is held, refused or cancelled.
	Detail string `json:"detail,omitempty"`
}

// Audit is the value of an audit row, which records one transition. Audit rows are
// never overwritten.
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
	// ChangeVersion is the value of the change counter after the step; 0 if the
	// step changed no configuration row.
	ChangeVersion uint64 `json:"change_version,omitempty"`
	Detail        string `json:"detail,omitempty"`
	// TransactionID identifies the transaction of the step. After a lost response
	// it shows whether that transaction wrote the row.
	TransactionID string `json:"mark"`
}

// Withdrawal returns the value of the withdrawal row of a stop.
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

// StateAt returns the state at now of an intent that is approved and not held:
// Approved until its window begins, and InForce from then on.
func (in Intent) StateAt(now time.Time) State {
	if in.Spec.Kind == Maintenance && now.Before(in.Spec.NotBefore) {
		return Approved
	}
	return InForce
}

// IsOverdue reports whether the intent must expire at now, because it took no step
// for StepTimeout before approval, or because its window ended before approval or
// while it was held.
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
