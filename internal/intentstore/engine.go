package intentstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// maxAttempts bounds how often one step is tried: conflicts on the change
	// counter, and lost answers.
	maxAttempts = 8
	// retryPause is the mean pause before the second attempt; it doubles up to
	// maxRetryPause.
	retryPause    = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Options adjusts an Engine. The zero value gives the defaults.
type Options struct {
	// Now returns the time. Default time.Now.
	Now func() time.Time
	// NewMark returns a text that is unique for each transaction. Default: a
	// random UUID.
	NewMark func() string
	// Pause waits between two attempts and returns early if ctx ends. Default:
	// a timer with a jitter of half the time.
	Pause func(ctx context.Context, d time.Duration)
	// OnChange is called with each change of the configuration that this engine
	// wrote, with its rows. It must not block. The rows are nil if the answer to
	// the transaction was lost and the change was found by reading back.
	OnChange func(version uint64, rows []fleet.Row)
}

// Engine reads intents and takes steps. It is safe for concurrent use, and any
// number of engines may work on one table.
type Engine struct {
	store   platform.Store
	options Options
}

// New returns an engine over the given store.
func New(store platform.Store, options Options) *Engine {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewMark == nil {
		options.NewMark = uuid.NewString
	}
	if options.OnChange == nil {
		options.OnChange = func(uint64, []fleet.Row) {}
	}
	if options.Pause == nil {
		options.Pause = pauseWithJitter
	}
	return &Engine{store: store, options: options}
}

func pauseWithJitter(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// now returns the time in UTC to the millisecond, so that rows read back equal
// the rows written.
func (e *Engine) now() time.Time { return e.options.Now().UTC().Truncate(time.Millisecond) }

// NewID returns an ID for an intent. IDs sort by their time of creation.
func NewID(now time.Time) string {
	return now.UTC().Format("20060102-150405") + "-" + uuid.NewString()[:8]
}

// Get returns an intent. It returns an error of code UnknownIntent or
// StoreDown.
func (e *Engine) Get(ctx context.Context, id string) (intent.Intent, error) {
	in, _, err := e.load(ctx, id)
	return in, err
}

func (e *Engine) load(ctx context.Context, id string) (intent.Intent, uint64, error) {
	row, err := e.store.Get(ctx, fleet.Table, fleet.PrefixIntent+id)
	if errors.Is(err, platform.ErrNotFound) {
		return intent.Intent{}, 0, codes.UnknownIntent.New("no intent has the ID %s", id)
	}
	if err != nil {
		return intent.Intent{}, 0, readError(err)
	}
	var in intent.Intent
	if err := json.Unmarshal(row.Value, &in); err != nil {
		return in, 0, codes.RowUnreadable.Wrap(err, "row %s", row.Key)
	}
	return in, row.Version, nil
}

// List returns at most limit intents in ascending order of ID after the given
// ID.
func (e *Engine) List(ctx context.Context, after string, limit int) ([]intent.Intent, error) {
	if after != "" {
		after = fleet.PrefixIntent + after
	}
	return scan[intent.Intent](ctx, e.store, fleet.PrefixIntent, after, limit)
}

// ListOpen returns the IDs of the intents that are not in a terminal state.
func (e *Engine) ListOpen(ctx context.Context) ([]string, error) {
	rows, err := e.store.Scan(ctx, fleet.Table, fleet.PrefixOpenIntent, "", 0)
	if err != nil {
		return nil, readError(err)
	}
	ids := make([]string, len(rows))
	for i, row := range rows {
		ids[i] = strings.TrimPrefix(row.Key, fleet.PrefixOpenIntent)
	}
	return ids, nil
}

// ListAudit returns the audit rows of one intent, or of all intents from a given
// ID on if id is empty, in ascending order of intent and step.
func (e *Engine) ListAudit(ctx context.Context, id, after string, limit int) ([]intent.Audit, error) {
	prefix := fleet.PrefixAudit
	if id != "" {
		prefix += id + "/"
	}
	if after != "" {
		after = fleet.PrefixAudit + after
	}
	return scan[intent.Audit](ctx, e.store, prefix, after, limit)
}

// Operators returns the identities with the versions of their rows.
func (e *Engine) Operators(ctx context.Context) (map[string]intent.Actor, error) {
	rows, err := e.store.Scan(ctx, fleet.Table, fleet.PrefixOperator, "", 0)
	if err != nil {
		return nil, readError(err)
	}
	byHash := map[string]intent.Actor{}
	for _, row := range rows {
		var operator fleet.Operator
		if err := json.Unmarshal(row.Value, &operator); err != nil {
			return nil, codes.RowUnreadable.Wrap(err, "row %s", row.Key)
		}
		byHash[operator.TokenHash] = intent.Actor{ID: operator.ID, Role: operator.Role, RowVersion: row.Version}
	}
	return byHash, nil
}

func scan[T any](ctx context.Context, store platform.Store, prefix, after string, limit int) ([]T, error) {
	rows, err := store.Scan(ctx, fleet.Table, prefix, after, limit)
	if err != nil {
		return nil, readError(err)
	}
	list := make([]T, 0, len(rows))
	for _, row := range rows {
		var value T
		if err := json.Unmarshal(row.Value, &value); err != nil {
			return nil, codes.RowUnreadable.Wrap(err, "row %s", row.Key)
		}
		list = append(list, value)
	}
	return list, nil
}

// readError codes the failure of a read, which changed nothing.
func readError(err error) error {
	return codes.StoreDown.Wrap(err, "the platform's table could not be read")
}
