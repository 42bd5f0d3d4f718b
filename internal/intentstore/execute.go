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

// errRetry is returned by an attempt after which the step is neither known to
// have taken effect nor known to have failed.
var errRetry = errors.New("the step must be retried")

// execution is the state of one step across its attempts.
type execution struct {
	step
	id            string
	transactionID string
	// unansweredStep is the step number of the last transaction that was sent and
	// got no response; 0 if there was none.
	unansweredStep int
	// attempt is the number of the current attempt, from 0.
	attempt int
}

// execute executes one step: it loads the intent, applies the step and sends the
// transaction. It retries after a conflict or a lost response. It returns the
// new intent or a coded error. Only the code StoreOutcomeUnknown leaves open
// whether the step took effect.
func (e *Engine) execute(ctx context.Context, id string, s step) (intent.Intent, error) {
	x := &execution{step: s, id: id, transactionID: e.options.NewTransactionID()}
	delay := initialRetryDelay
	for ; x.attempt < maxAttempts; x.attempt++ {
		in, err := e.tryExecute(ctx, x)
		if !errors.Is(err, errRetry) {
			return in, err
		}
		e.options.Sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return e.finalResult(ctx, x)
}

// tryExecute makes one attempt. It returns errRetry if another attempt may succeed.
func (e *Engine) tryExecute(ctx context.Context, x *execution) (intent.Intent, error) {
	// After a lost response, first read back whether that transaction was
	// applied. If it was not, another attempt is safe: it requires that the same
	// audit row is absent, or it finds that another step took the number.
	if done, applied, err := e.readBack(ctx, x); err != nil || applied {
		return done, err
	}
	in, version, err := e.loadForAction(ctx, x.id, x.action)
	if err != nil {
		return intent.Intent{}, x.unknownIfSent(err)
	}
	result, err := e.evaluate(ctx, in, x.step)
	if err == nil && x.attempt > 0 {
		err = e.checkIdentity(ctx, x.actor)
	}
	if err != nil {
		return e.resolveRefusal(ctx, x, in, err)
	}
	if result.alreadyApplied {
		return result.next, nil
	}
	err = e.send(ctx, version, &result, x.step, in, x.transactionID)
	switch {
	case err == nil:
		return result.next, nil
	case errors.Is(err, platform.ErrConflict):
		return in, errRetry
	case errors.Is(err, platform.ErrNotSent) && x.unansweredStep > 0:
		return in, errRetry
	case errors.Is(err, platform.ErrNotSent):
		return intent.Intent{}, codes.StoreDown.Wrap(err, "the transaction of the %s step was not sent", x.action)
	case errors.Is(err, platform.ErrUnavailable):
		x.unansweredStep = result.next.Step
		return in, errRetry
	}
	return e.resolveRefusal(ctx, x, in, err)
}

// unknownIfSent turns an error into StoreOutcomeUnknown if an earlier transaction
// of the step got no response.
func (x *execution) unknownIfSent(err error) error {
	if x.unansweredStep > 0 {
		return codes.StoreOutcomeUnknown.Wrap(err, "the response to an earlier transaction of the step was lost")
	}
	return err
}

// resolveRefusal decides which error to return when an attempt is refused. A
// transaction whose response was lost may still be in transit to the store. Only
// once another step has taken its step number is it certain that it never takes
// effect.
func (e *Engine) resolveRefusal(ctx context.Context, x *execution, in intent.Intent, refusal error) (intent.Intent, error) {
	if done, applied, err := e.readBack(ctx, x); err != nil || applied {
		return done, err
	}
	if in.Step < x.unansweredStep {
		return intent.Intent{}, x.unknownIfSent(refusal)
	}
	return intent.Intent{}, refusal
}

// finalResult returns what is known about the step after the last attempt.
func (e *Engine) finalResult(ctx context.Context, x *execution) (intent.Intent, error) {
	if x.unansweredStep == 0 {
		return intent.Intent{}, codes.StoreBusy.New("the %s step of intent %s met a version conflict in each of %d attempts", x.action, x.id, maxAttempts)
	}
	if done, applied, err := e.readBack(ctx, x); err != nil || applied {
		return done, err
	}
	return intent.Intent{}, codes.StoreOutcomeUnknown.New("the %s step of intent %s has an unknown outcome after %d attempts", x.action, x.id, maxAttempts)
}

// readBack reports whether the transaction that got no response took effect, and
// if so returns the current intent. It returns an error of code
// StoreOutcomeUnknown if the store does not respond.
func (e *Engine) readBack(ctx context.Context, x *execution) (intent.Intent, bool, error) {
	if x.unansweredStep == 0 {
		return intent.Intent{}, false, nil
	}
	row, err := e.store.Get(ctx, fleet.Table, fleet.AuditKey(x.id, x.unansweredStep))
	if errors.Is(err, platform.ErrNotFound) {
		return intent.Intent{}, false, nil
	}
	if err != nil {
		return intent.Intent{}, false, codes.StoreOutcomeUnknown.Wrap(err, "the response to step %d of intent %s was lost and its audit row cannot be read", x.unansweredStep, x.id)
	}
	var audit intent.Audit
	if err := json.Unmarshal(row.Value, &audit); err != nil {
		return intent.Intent{}, false, codes.RowUnreadable.Wrap(err, "row %s", row.Key)
	}
	if audit.TransactionID != x.transactionID {
		return intent.Intent{}, false, nil
	}
	in, _, err := e.load(ctx, x.id)
	if err != nil {
		return in, false, codes.StoreOutcomeUnknown.Wrap(err, "step %d of intent %s took effect but the intent cannot be read", x.unansweredStep, x.id)
	}
	if in.ChangeVersion > 0 {
		e.options.OnChange(in.ChangeVersion, nil)
	}
	return in, true, nil
}
