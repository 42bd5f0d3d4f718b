package platform

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonford/tarragonford/internal/currency"
)

// ErrCompacted means that the store does not have the changes since the requested revision, because
// it has dropped them or was restored from a copy; the caller must take a new snapshot.
var ErrCompacted = errors.New("the history of the table is not available")

// Change is a changed row of a table.
type Change struct {
	Row
	// Removed reports whether the row was deleted.
	Removed bool
}

// Feed reads a whole table and then follows its changes.
type Feed interface {
	// Snapshot returns all rows of a table as of one revision of the store. It returns ErrCompacted if
	// the store was restored meanwhile.
	Snapshot(ctx context.Context, table string) (rows []Row, at currency.Revision, err error)
	// Watch returns the changes after a revision, and the revision to continue from. It returns as soon as
	// there is a change, and after wait at the latest. It returns ErrCompacted if the changes are not
	// available; a store of a newer era than after's never has them.
	Watch(ctx context.Context, table string, after currency.Revision, wait time.Duration) (changes []Change, next currency.Revision, err error)
}
