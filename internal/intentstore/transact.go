package intentstore

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// outcome is what a step makes of an intent.
type outcome struct {
	next intent.Intent
	// detail goes to the audit row.
	detail string
	// plan is the number of the plan that the step refers to.
	plan int
	// checks are demanded beside those on the intent, audit and operator rows.
	checks []platform.Check
	// changes are configuration rows; any raises the change counter.
	changes []intent.RowWrite
	// touches are rows that are written unchanged.
	touches []platform.Write
	// already tells that an earlier repeat of the same step took effect.
	already bool
}

// step is one step of the life cycle, before it is known what is stored.
type step struct {
	actor  intent.Actor
	action intent.Action
	// apply computes the outcome from the stored intent. It may read the store.
	apply func(ctx context.Context, in intent.Intent) (outcome, error)
}

// checkIdentity tells a conflict on the actor's own row from others. It returns
// an error of code Unauthenticated if the row changed after the token was checked.
func (e *Engine) checkIdentity(ctx context.Context, actor intent.Actor) error {
	if actor.RowVersion == 0 {
		return nil
	}
	row, err := e.store.Get(ctx, fleet.Table, fleet.PrefixOperator+actor.ID)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return readError(err)
	}
	if errors.Is(err, platform.ErrNotFound) || row.Version != actor.RowVersion {
		return codes.Unauthenticated.New("identity %s has changed", actor.ID)
	}
	return nil
}

// loadFor loads the intent; ActionCreate finds none.
func (e *Engine) loadFor(ctx context.Context, id string, action intent.Action) (intent.Intent, uint64, error) {
	in, version, err := e.load(ctx, id)
	if action == intent.ActionCreate && errors.Is(err, codes.UnknownIntent.New("")) {
		return intent.Intent{ID: id}, 0, nil
	}
	return in, version, err
}

// evaluate applies the step and completes the fields that every step writes.
func (e *Engine) evaluate(ctx context.Context, in intent.Intent, s step) (outcome, error) {
	if err := intent.CheckActor(s.actor, s.action, in); err != nil {
		return outcome{}, err
	}
	result, err := s.apply(ctx, in)
	if err != nil || result.already {
		return result, err
	}
	if err := intent.CheckTransition(in.State, s.action, result.next.State); err != nil {
		return result, err
	}
	result.next.Step = in.Step + 1
	result.next.UpdatedAt = e.now()
	if result.next.Plan != nil && s.action == intent.ActionPlan {
		result.next.Plan.Number = result.next.Step
		result.plan = result.next.Step
	}
	return result, nil
}

// send sends the transaction of a step once.
func (e *Engine) send(ctx context.Context, version uint64, result *outcome, s step, in intent.Intent, mark string) error {
	id := in.ID
	checks := append([]platform.Check{
		{Key: fleet.PrefixIntent + id, Version: version},
		{Key: fleet.AuditKey(id, result.next.Step), Version: 0},
	}, result.checks...)
	if s.actor.RowVersion > 0 {
		checks = append(checks, platform.Check{Key: fleet.PrefixOperator + s.actor.ID, Version: s.actor.RowVersion})
	}
	writes := append([]platform.Write{}, result.touches...)
	var changeVersion uint64
	if len(result.changes) > 0 {
		change, err := e.nextChange(ctx, result.changes, mark)
		if err != nil {
			return err
		}
		changeVersion = change.version
		result.next.ChangeVersion = change.version
		checks = append(checks, change.checks...)
		writes = append(writes, change.writes...)
	}
	audit := intent.Audit{
		Intent: id, Step: result.next.Step, At: result.next.UpdatedAt,
		Actor: s.actor.ID, Role: s.actor.Role, Action: s.action,
		From: in.State, To: result.next.State, Plan: result.plan,
		ChangeVersion: changeVersion, Detail: result.detail, Mark: mark,
	}
	writes, err := appendRecords(writes, result.next, audit)
	if err != nil {
		return err
	}
	if err := e.store.Transact(ctx, fleet.Table, checks, writes); err != nil {
		return err
	}
	if changeVersion > 0 {
		e.options.OnChange(changeVersion, changedRows(changeVersion, result.changes))
	}
	return nil
}

// changedRows returns the rows of a change as nodes keep them.
func changedRows(version uint64, writes []intent.RowWrite) []fleet.Row {
	rows := make([]fleet.Row, len(writes))
	for i, write := range writes {
		rows[i] = fleet.Row{Key: write.Key, Version: version, Value: write.Value}
	}
	return rows
}

// appendRecords adds the intent's row, its audit row and its entry in the list
// of open intents.
func appendRecords(writes []platform.Write, next intent.Intent, audit intent.Audit) ([]platform.Write, error) {
	intentValue, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	auditValue, err := json.Marshal(audit)
	if err != nil {
		return nil, err
	}
	writes = append(writes,
		platform.Write{Key: fleet.PrefixIntent + next.ID, Value: intentValue},
		platform.Write{Key: fleet.AuditKey(next.ID, next.Step), Value: auditValue},
	)
	switch {
	case next.State == intent.Draft:
		writes = append(writes, platform.Write{Key: fleet.PrefixOpenIntent + next.ID, Value: json.RawMessage("1")})
	case next.State.IsTerminal():
		writes = append(writes, platform.Write{Key: fleet.PrefixOpenIntent + next.ID})
	}
	return writes, nil
}

// change is the part of a transaction that raises the change counter.
type change struct {
	version uint64
	checks  []platform.Check
	writes  []platform.Write
}

// nextChange reads the counter and prepares the next value with its change row.
func (e *Engine) nextChange(ctx context.Context, rows []intent.RowWrite, mark string) (change, error) {
	counter, err := e.store.Get(ctx, fleet.Table, fleet.KeyCounter)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return change{}, platformNotSent(err)
	}
	var current uint64
	if counter.Value != nil {
		if current, err = strconv.ParseUint(string(counter.Value), 10, 64); err != nil {
			return change{}, codes.RowUnreadable.Wrap(err, "row %s", fleet.KeyCounter)
		}
	}
	c := change{version: current + 1}
	row := fleet.Change{Version: c.version, Mark: mark}
	for _, write := range rows {
		row.Keys = append(row.Keys, write.Key)
		c.writes = append(c.writes, platform.Write{Key: write.Key, Value: write.Value})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return change{}, err
	}
	c.checks = []platform.Check{
		{Key: fleet.KeyCounter, Version: counter.Version},
		{Key: fleet.ChangeKey(c.version), Version: 0},
	}
	c.writes = append(c.writes,
		platform.Write{Key: fleet.KeyCounter, Value: json.RawMessage(strconv.FormatUint(c.version, 10))},
		platform.Write{Key: fleet.ChangeKey(c.version), Value: value},
	)
	return c, nil
}

// platformNotSent codes a failed read before a transaction: the transaction
// was not sent.
func platformNotSent(err error) error {
	return errors.Join(platform.ErrNotSent, err)
}
