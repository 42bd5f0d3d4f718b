package node

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// instrumentedStore wraps a platform.Store to count its calls and record their
// latency.
type instrumentedStore struct {
	store   platform.Store
	metrics *telemetry.Metrics
}

// Get implements platform.Store.
func (s *instrumentedStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	start := time.Now()
	row, err := s.store.Get(ctx, table, key)
	s.record("get", start, err)
	return row, err
}

// Scan implements platform.Store.
func (s *instrumentedStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	start := time.Now()
	rows, err := s.store.Scan(ctx, table, prefix, after, limit)
	s.record("scan", start, err)
	return rows, err
}

// Transact implements platform.Store.
func (s *instrumentedStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	start := time.Now()
	err := s.store.Transact(ctx, table, checks, writes)
	s.record("transact", start, err)
	return err
}

func (s *instrumentedStore) record(operation string, start time.Time, err error) {
	s.metrics.PlatformTime.Record(time.Since(start))
	s.metrics.PlatformCalls.Inc(telemetry.PlatformCall{Operation: operation, Result: resultOf(operation, err)})
}

// resultOf returns the metric label for the result of a call. A transaction that
// was sent but got no response is ambiguous, because it may have taken effect.
func resultOf(operation string, err error) string {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case operation == "transact" && errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrNotSent):
		return "ambiguous"
	}
	return "error"
}
