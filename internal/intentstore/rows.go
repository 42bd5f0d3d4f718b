package intentstore

import (
	"context"
	"errors"
	"strings"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// maxPointReads is the largest number of service rows that are read one by one.
// Above it, one scan reads all services: a stop of a data centre can affect most
// of 270 services.
const maxPointReads = 8

// readRows reads the rows that a plan for spec is computed from, the withdrawals
// last; intent.NeededKeys gives the reason for this order.
func (e *Engine) readRows(ctx context.Context, spec intent.Spec, snapshot Snapshot) (intent.Rows, error) {
	keys := intent.NeededKeys(spec, snapshot.View)
	rows := intent.Rows{}
	if len(keys) > maxPointReads {
		if err := e.scanInto(ctx, rows, fleet.PrefixService); err != nil {
			return nil, err
		}
	}
	for _, key := range keys {
		if len(keys) > maxPointReads && strings.HasPrefix(key, fleet.PrefixService) {
			continue
		}
		row, err := e.store.Get(ctx, fleet.Table, key)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, readError(err)
		}
		rows[key] = intent.StoredRow{Version: row.Version, Value: row.Value}
	}
	return rows, e.scanInto(ctx, rows, fleet.PrefixWithdrawal)
}

func (e *Engine) scanInto(ctx context.Context, rows intent.Rows, prefix string) error {
	list, err := e.store.Scan(ctx, fleet.Table, prefix, "", 0)
	if err != nil {
		return readError(err)
	}
	for _, row := range list {
		rows[row.Key] = intent.StoredRow{Version: row.Version, Value: row.Value}
	}
	return nil
}

// readInput takes a snapshot and reads the rows for the functions of package intent.
func (e *Engine) readInput(ctx context.Context, spec intent.Spec, takeSnapshot func() Snapshot) (intent.Input, error) {
	snapshot := takeSnapshot()
	rows, err := e.readRows(ctx, spec, snapshot)
	if err != nil {
		return intent.Input{}, err
	}
	return intent.Input{Now: e.now(), View: snapshot.View, Rows: rows, Observed: snapshot.Observed}, nil
}

// versionChecks requires that the rows still have the versions that were read.
func versionChecks(rows intent.Rows, keys []string) []platform.Check {
	checks := make([]platform.Check, 0, len(keys))
	for _, key := range keys {
		checks = append(checks, platform.Check{Key: key, Version: rows[key].Version})
	}
	return checks
}

// touch returns writes that give the rows new versions and keep their values.
func touch(rows intent.Rows, keys []string) []platform.Write {
	writes := make([]platform.Write, 0, len(keys))
	for _, key := range keys {
		if row := rows[key]; row.Value != nil {
			writes = append(writes, platform.Write{Key: key, Value: row.Value})
		}
	}
	return writes
}
