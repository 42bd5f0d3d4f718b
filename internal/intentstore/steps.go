package intentstore

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// Snapshot is a node's view of the fleet and of the recent traffic, from which
// it computes or checks a plan.
type Snapshot struct {
	View     *fleet.View
	Observed intent.ObservedTraffic
}

// Create stores a draft intent. A repeated call with the same ID, identity and
// spec returns the existing intent.
func (e *Engine) Create(ctx context.Context, actor intent.Actor, id string, spec intent.Spec) (intent.Intent, error) {
	if !fleet.ValidID(id) {
		return intent.Intent{}, codes.BadIntent.New("intent ID %q is not a valid name", id)
	}
	if err := spec.Validate(e.now()); err != nil {
		return intent.Intent{}, err
	}
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionCreate, apply: func(_ context.Context, in intent.Intent) (outcome, error) {
		if in.State != "" {
			return repeatedCreate(in, actor, spec)
		}
		next := intent.Intent{ID: id, Spec: spec, State: intent.Draft, CreatedBy: actor.ID, CreatedAt: e.now()}
		return outcome{next: next, detail: spec.Reason}, nil
	}})
}

// repeatedCreate returns the existing intent if the call repeats the one that
// created it, and an error of code IntentExists otherwise.
func repeatedCreate(in intent.Intent, actor intent.Actor, spec intent.Spec) (outcome, error) {
	stored, err := json.Marshal(in.Spec)
	if err != nil {
		return outcome{}, err
	}
	requested, err := json.Marshal(spec)
	if err != nil {
		return outcome{}, err
	}
	if in.CreatedBy != actor.ID || string(stored) != string(requested) {
		return outcome{}, codes.IntentExists.New("intent %s was created by %s", in.ID, in.CreatedBy)
	}
	return outcome{next: in, alreadyApplied: true}, nil
}

// Plan computes a new plan. The intent is then in state Planned, or in state
// Refused if the plan breaks a floor.
func (e *Engine) Plan(ctx context.Context, actor intent.Actor, id string, takeSnapshot func() Snapshot) (intent.Intent, error) {
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionPlan, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if !in.State.Allows(intent.ActionPlan) {
			return outcome{}, wrongStateError(in, intent.ActionPlan)
		}
		input, err := e.readInput(ctx, in.Spec, takeSnapshot)
		if err != nil {
			return outcome{}, err
		}
		plan, err := intent.MakePlan(in, input)
		if err != nil {
			return outcome{}, err
		}
		next := in
		next.Plan, next.State, next.Detail = &plan, intent.Planned, plan.Refusal
		next.PlannedBy, next.ConfirmedBy = actor.ID, ""
		if plan.Refusal != "" {
			next.State = intent.Refused
		}
		return outcome{next: next, detail: plan.Refusal}, nil
	}})
}

// Confirm records the operator's confirmation of the plan with the given
// number. It returns an error of code PlanStale or FloorWouldBreak if the plan
// is no longer valid.
func (e *Engine) Confirm(ctx context.Context, actor intent.Actor, id string, plan int, takeSnapshot func() Snapshot) (intent.Intent, error) {
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionConfirm, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.ConfirmedBy == actor.ID && in.Plan != nil && in.Plan.Number == plan && in.State != intent.Refused {
			return outcome{next: in, alreadyApplied: true}, nil
		}
		input, err := e.checkedInput(ctx, in, intent.ActionConfirm, plan, takeSnapshot)
		if err != nil {
			return outcome{}, err
		}
		next := in
		next.State, next.ConfirmedBy = intent.Confirmed, actor.ID
		return outcome{next: next, plan: plan, checks: versionChecks(input.Rows, planKeys(in))}, nil
	}})
}

// Approve records the approver's confirmation and writes the configuration rows
// of the change in the same transaction. A maintenance stop takes effect when
// its window begins.
func (e *Engine) Approve(ctx context.Context, actor intent.Actor, id string, plan int, takeSnapshot func() Snapshot) (intent.Intent, error) {
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionApprove, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.ApprovedBy == actor.ID && in.Plan != nil && in.Plan.Number == plan {
			return outcome{next: in, alreadyApplied: true}, nil
		}
		input, err := e.checkedInput(ctx, in, intent.ActionApprove, plan, takeSnapshot)
		if err != nil {
			return outcome{}, err
		}
		next := in
		next.State, next.ApprovedBy = in.StateAt(input.Now), actor.ID
		if next.State == intent.InForce {
			next.InForceAt = input.Now
		}
		changes, err := intent.Changes(next, input.Rows)
		return outcome{
			next:    next,
			plan:    plan,
			checks:  versionChecks(input.Rows, planKeys(in)),
			changes: changes,
			touches: touch(input.Rows, intent.TouchedKeys(in)),
		}, err
	}})
}

// checkedInput reads the rows and checks that plan is the number of the newest
// plan and that this plan is still valid.
func (e *Engine) checkedInput(ctx context.Context, in intent.Intent, action intent.Action, plan int, takeSnapshot func() Snapshot) (intent.Input, error) {
	if !in.State.Allows(action) || in.IsOverdue(e.now()) {
		return intent.Input{}, wrongStateError(in, action)
	}
	if in.Plan.Number != plan {
		return intent.Input{}, codes.PlanStale.New("the newest plan of intent %s is number %d, not %d", in.ID, in.Plan.Number, plan)
	}
	input, err := e.readInput(ctx, in.Spec, takeSnapshot)
	if err != nil {
		return input, err
	}
	return input, intent.CheckPlan(in, input)
}

func planKeys(in intent.Intent) []string {
	keys := make([]string, 0, len(in.Plan.Versions))
	for key := range in.Plan.Versions {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func wrongStateError(in intent.Intent, action intent.Action) error {
	return codes.WrongState.New("intent %s is in state %s, which does not allow action %s", in.ID, in.State, action)
}

// Refuse records that the approver refuses the intent.
func (e *Engine) Refuse(ctx context.Context, actor intent.Actor, id, reason string) (intent.Intent, error) {
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionRefuse, apply: func(_ context.Context, in intent.Intent) (outcome, error) {
		if !in.State.Allows(intent.ActionRefuse) {
			return outcome{}, wrongStateError(in, intent.ActionRefuse)
		}
		next := in
		next.State, next.Detail = intent.Refused, reason
		return outcome{next: next, detail: reason}, nil
	}})
}

// Cancel ends an intent that is not in force. If the intent is an approved stop
// that is scheduled or held, the same transaction deletes its withdrawal row.
func (e *Engine) Cancel(ctx context.Context, actor intent.Actor, id, reason string) (intent.Intent, error) {
	return e.execute(ctx, id, step{actor: actor, action: intent.ActionCancel, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.State == intent.Cancelled {
			return outcome{next: in, alreadyApplied: true}, nil
		}
		if !in.State.Allows(intent.ActionCancel) || windowHasBegun(in, e) {
			return outcome{}, wrongStateError(in, intent.ActionCancel)
		}
		next := in
		next.State, next.Detail = intent.Cancelled, reason
		result, err := e.cancelOutcome(ctx, next)
		result.detail = reason
		return result, err
	}})
}

// windowHasBegun reports whether the window of an approved stop has begun and no
// node has recorded this yet.
func windowHasBegun(in intent.Intent, e *Engine) bool {
	return in.State == intent.Approved && !e.now().Before(in.Spec.NotBefore)
}

// cancelOutcome returns the outcome that deletes the withdrawal row of an
// approved stop, if the row exists.
func (e *Engine) cancelOutcome(ctx context.Context, next intent.Intent) (outcome, error) {
	result := outcome{next: next}
	if !next.Spec.IsStop() || next.ApprovedBy == "" {
		return result, nil
	}
	rows := intent.Rows{}
	if err := e.scanInto(ctx, rows, fleet.PrefixWithdrawal); err != nil {
		return result, err
	}
	key := fleet.PrefixWithdrawal + next.ID
	result.checks = []platform.Check{{Key: key, Version: rows[key].Version}}
	if rows[key].Value != nil {
		result.changes = []intent.RowWrite{{Key: key}}
	}
	return result, nil
}
