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

// outcome is the result of applying a step to a stored intent: the new intent
// and what the transaction checks and writes besides it.
type outcome struct {
	next intent.Intent
	// detail is the text for the audit row.
	detail string
	// plan is the number of the plan that the step refers to.
	plan int
	// checks are required besides those on the intent, audit and operator rows.
	checks []platform.Check
	// changes are configuration rows. If there is any, the change counter is raised.
	changes []intent.RowWrite
	// touches are rows that are rewritten with the same value to raise their versions.
	touches []platform.Write
	// alreadyApplied reports that an earlier call took the same step, so that
	// nothing needs to be written.
	alreadyApplied bool
}

// step is one requested step of the life cycle.
type step struct {
	actor  intent.Actor
	action intent.Action
	// apply computes the outcome from the stored intent. It may read the store.
	apply func(ctx context.Context, in intent.Intent) (outcome, error)
}

// checkIdentity distinguishes a conflict on the actor's own row from others. It
// returns an error of code Unauthenticated if the row changed after the token
// was checked.
func (e *Engine) checkIdentity(ctx context.Context, actor intent.Actor) error {
	if actor.RowVersion == 0 {
		return nil
	}
	row, err := e.store.Get(ctx, fleet.Table, fleet.PrefixOperator+actor.ID)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return readError(err)
	}
	if errors.Is(err, platform.ErrNotFound) || row.Version != actor.RowVersion {
		return codes.Unauthenticated.New("identity %s has changed since its token was checked", actor.ID)
	}
	return nil
}

// loadForAction loads the intent. For ActionCreate, an intent that does not exist
// is returned with only its ID set.
func (e *Engine) loadForAction(ctx context.Context, id string, action intent.Action) (intent.Intent, uint64, error) {
	in, version, err := e.load(ctx, id)
	if action == intent.ActionCreate && errors.Is(err, codes.UnknownIntent.New("")) {
		return intent.Intent{ID: id}, 0, nil
	}
	return in, version, err
}

// evaluate checks the actor, applies the step, checks the transition and sets the
// fields that every step writes.
func (e *Engine) evaluate(ctx context.Context, in intent.Intent, s step) (outcome, error) {
	if err := intent.CheckActor(s.actor, s.action, in); err != nil {
		return outcome{}, err
	}
	result, err := s.apply(ctx, in)
	if err != nil || result.alreadyApplied {
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

// send builds the transaction of a step and sends it once.
func (e *Engine) send(ctx context.Context, version uint64, result *outcome, s step, in intent.Intent, transactionID string) error {
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
		change, err := e.prepareConfigChange(ctx, result.changes, transactionID)
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
		ChangeVersion: changeVersion, Detail: result.detail, TransactionID: transactionID,
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

// changedRows returns the rows of a change in the form that nodes store.
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

// configChange is the part of a transaction that writes configuration rows and
// raises the change counter.
type configChange struct {
	version uint64
	checks  []platform.Check
	writes  []platform.Write
}

// prepareConfigChange reads the change counter and builds the checks and writes
// for its next value, the configuration rows and the change row.
func (e *Engine) prepareConfigChange(ctx context.Context, rows []intent.RowWrite, transactionID string) (configChange, error) {
	counter, err := e.store.Get(ctx, fleet.Table, fleet.KeyCounter)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return configChange{}, asNotSent(err)
	}
	var current uint64
	if counter.Value != nil {
		if current, err = strconv.ParseUint(string(counter.Value), 10, 64); err != nil {
			return configChange{}, codes.RowUnreadable.Wrap(err, "row %s", fleet.KeyCounter)
		}
	}
	c := configChange{version: current + 1}
	row := fleet.Change{Version: c.version, Mark: transactionID}
	for _, write := range rows {
		row.Keys = append(row.Keys, write.Key)
		c.writes = append(c.writes, platform.Write{Key: write.Key, Value: write.Value})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return configChange{}, err
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

// asNotSent marks the failure of a read that precedes the transaction as
// ErrNotSent, because the transaction was then not sent.
func asNotSent(err error) error {
	return errors.Join(platform.ErrNotSent, err)
}
