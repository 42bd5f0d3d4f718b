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

// Snapshot is what a node sees when it plans or checks.
type Snapshot struct {
	View     *fleet.View
	Observed intent.ObservedTraffic
}

// Create writes a draft. A repeat with the same ID, identity and spec returns
// the existing intent.
func (e *Engine) Create(ctx context.Context, actor intent.Actor, id string, spec intent.Spec) (intent.Intent, error) {
	if !fleet.ValidID(id) {
		return intent.Intent{}, codes.BadIntent.New("intent ID %q is not a valid name", id)
	}
	if err := spec.Validate(e.now()); err != nil {
		return intent.Intent{}, err
	}
	return e.take(ctx, id, step{actor: actor, action: intent.ActionCreate, apply: func(_ context.Context, in intent.Intent) (outcome, error) {
		if in.State != "" {
			return existing(in, actor, spec)
		}
		next := intent.Intent{ID: id, Spec: spec, State: intent.Draft, CreatedBy: actor.ID, CreatedAt: e.now()}
		return outcome{next: next, detail: spec.Reason}, nil
	}})
}

func existing(in intent.Intent, actor intent.Actor, spec intent.Spec) (outcome, error) {
	stored, err := json.Marshal(in.Spec)
	if err != nil {
		return outcome{}, err
	}
	wanted, err := json.Marshal(spec)
	if err != nil {
		return outcome{}, err
	}
	if in.CreatedBy != actor.ID || string(stored) != string(wanted) {
		return outcome{}, codes.IntentExists.New("intent %s was created by %s", in.ID, in.CreatedBy)
	}
	return outcome{next: in, already: true}, nil
}

// Plan makes a new plan. The intent is then planned, or refused if the plan
// breaks a floor.
func (e *Engine) Plan(ctx context.Context, actor intent.Actor, id string, look func() Snapshot) (intent.Intent, error) {
	return e.take(ctx, id, step{actor: actor, action: intent.ActionPlan, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if !in.State.CanTake(intent.ActionPlan) {
			return outcome{}, wrongState(in, intent.ActionPlan)
		}
		input, err := e.input(ctx, in.Spec, look)
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
// no longer holds.
func (e *Engine) Confirm(ctx context.Context, actor intent.Actor, id string, plan int, look func() Snapshot) (intent.Intent, error) {
	return e.take(ctx, id, step{actor: actor, action: intent.ActionConfirm, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.ConfirmedBy == actor.ID && in.Plan != nil && in.Plan.Number == plan && in.State != intent.Refused {
			return outcome{next: in, already: true}, nil
		}
		input, err := e.checked(ctx, in, intent.ActionConfirm, plan, look)
		if err != nil {
			return outcome{}, err
		}
		next := in
		next.State, next.ConfirmedBy = intent.Confirmed, actor.ID
		return outcome{next: next, plan: plan, checks: versionChecks(input.Rows, planKeys(in))}, nil
	}})
}

// Approve records the approver's confirmation and puts the change in force in
// the same transaction. A maintenance stop takes effect when its window begins.
func (e *Engine) Approve(ctx context.Context, actor intent.Actor, id string, plan int, look func() Snapshot) (intent.Intent, error) {
	return e.take(ctx, id, step{actor: actor, action: intent.ActionApprove, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.ApprovedBy == actor.ID && in.Plan != nil && in.Plan.Number == plan {
			return outcome{next: in, already: true}, nil
		}
		input, err := e.checked(ctx, in, intent.ActionApprove, plan, look)
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

// checked reads the rows and checks that the numbered plan still holds.
func (e *Engine) checked(ctx context.Context, in intent.Intent, action intent.Action, plan int, look func() Snapshot) (intent.Input, error) {
	if !in.State.CanTake(action) || in.IsOverdue(e.now()) {
		return intent.Input{}, wrongState(in, action)
	}
	if in.Plan.Number != plan {
		return intent.Input{}, codes.PlanStale.New("the newest plan of intent %s has the number %d, not %d", in.ID, in.Plan.Number, plan)
	}
	input, err := e.input(ctx, in.Spec, look)
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

func wrongState(in intent.Intent, action intent.Action) error {
	return codes.WrongState.New("intent %s is in state %s and cannot %s", in.ID, in.State, action)
}

// Refuse records that the approver refuses the intent.
func (e *Engine) Refuse(ctx context.Context, actor intent.Actor, id, reason string) (intent.Intent, error) {
	return e.take(ctx, id, step{actor: actor, action: intent.ActionRefuse, apply: func(_ context.Context, in intent.Intent) (outcome, error) {
		if !in.State.CanTake(intent.ActionRefuse) {
			return outcome{}, wrongState(in, intent.ActionRefuse)
		}
		next := in
		next.State, next.Detail = intent.Refused, reason
		return outcome{next: next, detail: reason}, nil
	}})
}

// Cancel ends an intent that is not in force. The scheduled or held stop of an
// approved intent is removed from the configuration in the same transaction.
func (e *Engine) Cancel(ctx context.Context, actor intent.Actor, id, reason string) (intent.Intent, error) {
	return e.take(ctx, id, step{actor: actor, action: intent.ActionCancel, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		if in.State == intent.Cancelled {
			return outcome{next: in, already: true}, nil
		}
		if !in.State.CanTake(intent.ActionCancel) || isInForceByTime(in, e) {
			return outcome{}, wrongState(in, intent.ActionCancel)
		}
		next := in
		next.State, next.Detail = intent.Cancelled, reason
		result, err := e.withoutWithdrawal(ctx, next)
		result.detail = reason
		return result, err
	}})
}

// isInForceByTime reports whether the window of a scheduled stop has begun,
// though no node has recorded it yet.
func isInForceByTime(in intent.Intent, e *Engine) bool {
	return in.State == intent.Approved && !e.now().Before(in.Spec.NotBefore)
}

// withoutWithdrawal deletes the withdrawal row of an approved stop, if it exists.
func (e *Engine) withoutWithdrawal(ctx context.Context, next intent.Intent) (outcome, error) {
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
