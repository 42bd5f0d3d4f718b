package intentstore

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// errNotDue says that a step is no longer due, because another node took it or
// the situation changed.
var errNotDue = errors.New("the step is not due")

// Drive takes the step that is due for an intent after approval, or its expiry,
// on behalf of the named node. It returns the intent as it is then and the
// action taken, or an empty one.
// Any node may drive any intent: version checks let one of them take each step.
func (e *Engine) Drive(ctx context.Context, node, id string, look func() Snapshot) (intent.Intent, intent.Action, error) {
	in, _, err := e.load(ctx, id)
	if err != nil || !mayBeDue(in, e.now()) {
		return in, "", err
	}
	input, err := e.input(ctx, in.Spec, look)
	if err != nil {
		return in, "", err
	}
	action, _ := intent.NextStep(in, input)
	if action == "" {
		return in, "", nil
	}
	actor := intent.Actor{ID: node, Role: intent.RoleNode}
	next, err := e.take(ctx, id, step{actor: actor, action: action, apply: func(ctx context.Context, in intent.Intent) (outcome, error) {
		return e.driven(ctx, in, action, look)
	}})
	if errors.Is(err, errNotDue) {
		return in, "", nil
	}
	if err != nil {
		return in, "", err
	}
	return next, action, nil
}

// mayBeDue spares the reads of rows for intents that have ended or that wait
// for a person.
func mayBeDue(in intent.Intent, now time.Time) bool {
	waits := in.State == intent.Draft || in.State == intent.Planned || in.State == intent.Confirmed
	return !in.State.IsTerminal() && (!waits || in.IsOverdue(now))
}

// driven evaluates the situation again with fresh rows and returns the outcome
// of the action if it is still due.
func (e *Engine) driven(ctx context.Context, in intent.Intent, action intent.Action, look func() Snapshot) (outcome, error) {
	input, err := e.input(ctx, in.Spec, look)
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
		return e.withWithdrawal(result, input)
	case intent.ActionResume:
		result.next.State = in.StateAt(input.Now)
		if result.next.State == intent.InForce {
			result.next.InForceAt = input.Now
		}
		return e.withWithdrawal(result, input)
	case intent.ActionExpire:
		result.next.State = intent.Expired
		return withEnd(result, input), nil
	case intent.ActionFinish:
		result.next.State = intent.Done
		if in.Spec.Kind == intent.Maintenance {
			return withEnd(result, input), nil
		}
	}
	return result, nil
}

// withWithdrawal writes the withdrawal row for the next state. The rows of the
// affected services are checked and touched, so that two stops cannot resume
// on the same capacity.
func (e *Engine) withWithdrawal(result outcome, input intent.Input) (outcome, error) {
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

// withEnd deletes the withdrawal row if it exists.
func withEnd(result outcome, input intent.Input) outcome {
	key := fleet.PrefixWithdrawal + result.next.ID
	row := input.Rows[key]
	result.checks = []platform.Check{{Key: key, Version: row.Version}}
	if row.Value != nil {
		result.changes = []intent.RowWrite{{Key: key}}
	}
	return result
}
