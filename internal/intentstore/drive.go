package intentstore

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// errNotDue is returned when a step is no longer due, because another node took
// it or the state of the fleet changed.
var errNotDue = errors.New("the step is not due")

// Drive takes the step that is due for an approved intent, or expires an intent
// that is overdue, on behalf of the named node. It returns the resulting intent
// and the action taken, or an empty action if no step was due. Any node may
// drive any intent: version checks ensure that only one of them takes each step.
func (e *Engine) Drive(ctx context.Context, node, id string, takeSnapshot func() Snapshot) (intent.Intent, intent.Action, error) {
	in, _, err := e.load(ctx, id)
	if err != nil || !mayBeDue(in, e.now()) {
		return in, "", err
	}
	input, err := e.readInput(ctx, in.Spec, takeSnapshot)
	if err != nil {
		return in, "", err
	}
	action, _ := intent.NextStep(in, input)
	if action == "" {
		return in, "", nil
	}
	actor := intent.Actor{ID: node, Role: intent.RoleNode}
	next, err := e.execute(ctx, id, step{actor: actor, action: action, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		return e.driveOutcome(ctx, in, action, takeSnapshot)
	}})
	if errors.Is(err, errNotDue) {
		return in, "", nil
	}
	if err != nil {
		return in, "", err
	}
	return next, action, nil
}

// mayBeDue returns false for intents that have ended or that wait for an
// operator or approver, so that no rows are read for them.
func mayBeDue(in intent.Intent, now time.Time) bool {
	waitsForPerson := in.State == intent.Draft || in.State == intent.Planned || in.State == intent.Confirmed
	return !in.State.IsTerminal() && (!waitsForPerson || in.IsOverdue(now))
}

// driveOutcome reads the rows again and returns the outcome of the action, or
// errNotDue if the action is no longer due.
func (e *Engine) driveOutcome(ctx context.Context, in intent.Intent, action intent.Action, takeSnapshot func() Snapshot) (outcome, error) {
	input, err := e.readInput(ctx, in.Spec, takeSnapshot)
	if err != nil {
		return outcome{}, err
	}
	due, reason := intent.NextStep(in, input)
	if due != action {
		return outcome{}, errNotDue
	}
	next := in
	next.Detail = reason
	result := outcome{next: next, detail: reason}
	switch action {
	case intent.ActionBegin:
		result.next.State, result.next.InForceAt = intent.InForce, input.Now
	case intent.ActionHold:
		result.next.State, result.next.HeldAt = intent.Held, input.Now
		return e.withWithdrawalWrite(result, input)
	case intent.ActionResume:
		result.next.State = in.StateAt(input.Now)
		if result.next.State == intent.InForce {
			result.next.InForceAt = input.Now
		}
		return e.withWithdrawalWrite(result, input)
	case intent.ActionExpire:
		result.next.State = intent.Expired
		return withWithdrawalDelete(result, input), nil
	case intent.ActionFinish:
		result.next.State = intent.Done
		if in.Spec.Kind == intent.Maintenance {
			return withWithdrawalDelete(result, input), nil
		}
	}
	return result, nil
}

// withWithdrawalWrite adds the write of the withdrawal row for the next state.
// The rows of the affected services are checked and touched, so that two held
// stops cannot resume at once and use the same capacity.
func (e *Engine) withWithdrawalWrite(result outcome, input intent.Input) (outcome, error) {
	changes, err := intent.Changes(result.next, input.Rows)
	if err != nil {
		return result, err
	}
	keys := []string{fleet.PrefixWithdrawal + result.next.ID}
	services := []string{}
	for _, name := range intent.AffectedServices(result.next.Spec, input.View) {
		services = append(services, fleet.PrefixService+name)
	}
	result.changes = changes
	result.checks = versionChecks(input.Rows, append(keys, services...))
	result.touches = touch(input.Rows, services)
	return result, nil
}

// withWithdrawalDelete adds the deletion of the withdrawal row if it exists.
func withWithdrawalDelete(result outcome, input intent.Input) outcome {
	key := fleet.PrefixWithdrawal + result.next.ID
	row := input.Rows[key]
	result.checks = []platform.Check{{Key: key, Version: row.Version}}
	if row.Value != nil {
		result.changes = []intent.RowWrite{{Key: key}}
	}
	return result
}
