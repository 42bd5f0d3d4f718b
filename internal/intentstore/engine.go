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
	// maxAttempts limits the attempts at one step. An attempt fails on a version
	// conflict, most often on the change counter, or on a lost response.
	maxAttempts = 8
	// initialRetryDelay is the mean delay before the second attempt. It doubles
	// with each attempt up to maxRetryDelay.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Options configures an Engine. The zero value selects the defaults.
type Options struct {
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
	// NewTransactionID returns a unique ID for the transaction of a step; retries
	// of the step reuse it. Default: a random UUID.
	NewTransactionID func() string
	// Sleep waits between two attempts and returns early if ctx is done.
	// Default: a timer with a jitter of half the duration.
	Sleep func(ctx context.Context, d time.Duration)
	// OnChange is called with the version and the rows of each configuration
	// change that this engine wrote. It must not block. The rows are nil if the
	// response to the transaction was lost and reading the audit row back showed
	// that it had been applied.
	OnChange func(version uint64, rows []fleet.Row)
}

// Engine reads intents and executes the steps of their life cycle. It is safe
// for concurrent use, and any number of engines may share one table.
type Engine struct {
	store   platform.Store
	options Options
}

// New returns an engine that uses the given store.
func New(store platform.Store, options Options) *Engine {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewTransactionID == nil {
		options.NewTransactionID = uuid.NewString
	}
	if options.OnChange == nil {
		options.OnChange = func(uint64, []fleet.Row) {}
	}
	if options.Sleep == nil {
		options.Sleep = sleepWithJitter
	}
	return &Engine{store: store, options: options}
}

func sleepWithJitter(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// now returns the time in UTC, truncated to milliseconds so that a row decodes
// to the same value that was written.
func (e *Engine) now() time.Time { return e.options.Now().UTC().Truncate(time.Millisecond) }

// NewID returns a new intent ID. IDs sort by creation time, to the second.
func NewID(now time.Time) string {
	return now.UTC().Format("20060102-150405") + "-" + uuid.NewString()[:8]
}

// Get returns an intent. Its errors have the code UnknownIntent, StoreDown or
// RowUnreadable.
func (e *Engine) Get(ctx context.Context, id string) (intent.Intent, error) {
	in, _, err := e.load(ctx, id)
	return in, err
}

func (e *Engine) load(ctx context.Context, id string) (intent.Intent, uint64, error) {
	row, err := e.store.Get(ctx, fleet.Table, fleet.PrefixIntent+id)
	if errors.Is(err, platform.ErrNotFound) {
		return intent.Intent{}, 0, codes.UnknownIntent.New("intent %s does not exist", id)
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

// List returns at most limit intents whose IDs follow after, in ascending order
// of ID.
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

// ListAudit returns at most limit audit rows that follow the key after, in
// ascending order of intent ID and step. If id is empty, it returns the rows of
// all intents, otherwise those of one intent.
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

// Operators returns the configured identities by the hash of their token, each
// with the version of its row.
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

// readError returns the StoreDown error for a failed read. A read changes
// nothing, so its outcome is never unknown.
func readError(err error) error {
	return codes.StoreDown.Wrap(err, "read of the platform's table failed")
}
