package node

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// countedStore counts and times the calls of the platform's table.
type countedStore struct {
	store   platform.Store
	metrics *telemetry.Metrics
}

// Get implements platform.Store.
func (s *countedStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	begin := time.Now()
	row, err := s.store.Get(ctx, table, key)
	s.count("get", begin, err)
	return row, err
}

// Scan implements platform.Store.
func (s *countedStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	begin := time.Now()
	rows, err := s.store.Scan(ctx, table, prefix, after, limit)
	s.count("scan", begin, err)
	return rows, err
}

// Transact implements platform.Store.
func (s *countedStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	begin := time.Now()
	err := s.store.Transact(ctx, table, checks, writes)
	s.count("transact", begin, err)
	return err
}

func (s *countedStore) count(operation string, begin time.Time, err error) {
	s.metrics.PlatformTime.Record(time.Since(begin))
	s.metrics.PlatformCalls.Inc(telemetry.PlatformCall{Operation: operation, Result: resultOf(operation, err)})
}

// resultOf names the result of a call. A write without an answer is ambiguous:
// it may have taken effect.
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
