package intentstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// errTryAgain says that an attempt neither took the step nor settled it.
var errTryAgain = errors.New("try again")

// taking is a step on its way.
type taking struct {
	step
	id   string
	mark string
	// sent is the number of the step whose transaction was sent last without an
	// answer; 0 if there was none.
	sent int
	// attempt counts the attempts from 0.
	attempt int
}

// take takes one step: it loads the intent, applies the step and sends the
// transaction. A conflict or a lost answer leads to another attempt. It
// returns the new intent, or a coded error; only StoreOutcomeUnknown leaves
// open whether the step took effect.
func (e *Engine) take(ctx context.Context, id string, s step) (intent.Intent, error) {
	t := &taking{step: s, id: id, mark: e.options.NewMark()}
	pause := retryPause
	for ; t.attempt < maxAttempts; t.attempt++ {
		in, err := e.tryOnce(ctx, t)
		if !errors.Is(err, errTryAgain) {
			return in, err
		}
		e.options.Pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return e.giveUp(ctx, t)
}

// tryOnce makes one attempt. It returns errTryAgain if another one may succeed.
func (e *Engine) tryOnce(ctx context.Context, t *taking) (intent.Intent, error) {
	// After a lost answer the step is read back first. A later attempt is then
	// safe: it demands the same absent audit row, or finds that another step
	// went first.
	if done, applied, err := e.readBack(ctx, t); err != nil || applied {
		return done, err
	}
	in, version, err := e.loadFor(ctx, t.id, t.action)
	if err != nil {
		return intent.Intent{}, t.lostAnswer(err)
	}
	result, err := e.evaluate(ctx, in, t.step)
	if err == nil && t.attempt > 0 {
		err = e.checkIdentity(ctx, t.actor)
	}
	if err != nil {
		return e.settle(ctx, t, in, err)
	}
	if result.already {
		return result.next, nil
	}
	err = e.send(ctx, version, &result, t.step, in, t.mark)
	switch {
	case err == nil:
		return result.next, nil
	case errors.Is(err, platform.ErrConflict):
		return in, errTryAgain
	case errors.Is(err, platform.ErrNotSent) && t.sent > 0:
		return in, errTryAgain
	case errors.Is(err, platform.ErrNotSent):
		return intent.Intent{}, codes.StoreDown.Wrap(err, "the step %s was not sent", t.action)
	case errors.Is(err, platform.ErrUnavailable):
		t.sent = result.next.Step
		return in, errTryAgain
	}
	return e.settle(ctx, t, in, err)
}

// lostAnswer turns a failure into StoreOutcomeUnknown if a transaction of the
// step was sent before.
func (t *taking) lostAnswer(err error) error {
	if t.sent > 0 {
		return codes.StoreOutcomeUnknown.Wrap(err, "the answer to a transaction was lost")
	}
	return err
}

// settle decides what a refusal of a later attempt means. A transaction whose
// answer was lost may still be on its way to the store: only once another step
// has taken its number is it certain that it never takes effect.
func (e *Engine) settle(ctx context.Context, t *taking, in intent.Intent, refusal error) (intent.Intent, error) {
	if done, applied, err := e.readBack(ctx, t); err != nil || applied {
		return done, err
	}
	if in.Step < t.sent {
		return intent.Intent{}, t.lostAnswer(refusal)
	}
	return intent.Intent{}, refusal
}

// giveUp reports what is known after the last attempt.
func (e *Engine) giveUp(ctx context.Context, t *taking) (intent.Intent, error) {
	if t.sent == 0 {
		return intent.Intent{}, codes.StoreBusy.New("the step %s of intent %s met a conflict in %d attempts", t.action, t.id, maxAttempts)
	}
	if done, applied, err := e.readBack(ctx, t); err != nil || applied {
		return done, err
	}
	return intent.Intent{}, codes.StoreOutcomeUnknown.New("the step %s of intent %s got no answer in %d attempts", t.action, t.id, maxAttempts)
}

// readBack reports whether the transaction that was sent without an answer took
// effect, and the intent as it is now. It returns StoreOutcomeUnknown if the
// store does not answer.
func (e *Engine) readBack(ctx context.Context, t *taking) (intent.Intent, bool, error) {
	if t.sent == 0 {
		return intent.Intent{}, false, nil
	}
	row, err := e.store.Get(ctx, fleet.Table, fleet.AuditKey(t.id, t.sent))
	if errors.Is(err, platform.ErrNotFound) {
		return intent.Intent{}, false, nil
	}
	if err != nil {
		return intent.Intent{}, false, codes.StoreOutcomeUnknown.Wrap(err, "the answer to step %d of intent %s was lost and it cannot be read back", t.sent, t.id)
	}
	var audit intent.Audit
	if err := json.Unmarshal(row.Value, &audit); err != nil {
		return intent.Intent{}, false, codes.RowUnreadable.Wrap(err, "row %s", row.Key)
	}
	if audit.Mark != t.mark {
		return intent.Intent{}, false, nil
	}
	in, _, err := e.load(ctx, t.id)
	if err != nil {
		return in, false, codes.StoreOutcomeUnknown.Wrap(err, "step %d of intent %s took effect but the intent cannot be read", t.sent, t.id)
	}
	if in.ChangeVersion > 0 {
		e.options.OnChange(in.ChangeVersion, nil)
	}
	return in, true, nil
}
