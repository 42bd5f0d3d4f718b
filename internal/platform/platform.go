package platform

import (
	"context"
	"encoding/json"
	"errors"
)

// Row is one row of a table.
type Row struct {
	Key string `json:"key"`
	// Version is 0 for an absent row and increases with each write of the row.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is a precondition: the row must have the given version, or be absent if
// the version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row; a nil value deletes it.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Errors of the store.
var (
	// ErrConflict means that a check failed and nothing was written.
	ErrConflict = errors.New("a row or object does not have the expected version")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("row or object not found")
	// ErrUnavailable means that the store sent no valid response. A write may
	// have taken effect.
	ErrUnavailable = errors.New("platform store is unavailable")
)

// Store is the transactional table service.
type Store interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns at most limit rows whose keys begin with prefix and follow
	// after, in ascending order of key.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Transact applies all writes if all checks pass, otherwise none. It
	// returns ErrConflict if a check failed, and ErrUnavailable if it is not
	// known whether the writes took effect.
	Transact(ctx context.Context, table string, checks []Check, writes []Write) error
}

// Object is one object of the object store.
type Object struct {
	Name    string
	Version uint64
	Data    []byte
}

// ObjectStore is the object store.
type ObjectStore interface {
	// GetObject returns one object, or ErrNotFound.
	GetObject(ctx context.Context, name string) (Object, error)
	// PutObject stores data if the object has version ifVersion (0: absent),
	// and returns the new version, or ErrConflict.
	PutObject(ctx context.Context, name string, data []byte, ifVersion uint64) (uint64, error)
}
