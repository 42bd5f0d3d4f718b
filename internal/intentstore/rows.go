package intentstore

import (
	"context"
	"errors"
	"strings"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// maxSingleReads is the number of service rows up to which they are read one
// by one. A data centre can touch most of 270 services, and a scan reads these
// in one call.
const maxSingleReads = 8

// readRows reads the rows that a plan for spec is made from, the withdrawals
// last; see intent.NeededKeys for the reason of the order.
func (e *Engine) readRows(ctx context.Context, spec intent.Spec, look Snapshot) (intent.Rows, error) {
	keys := intent.NeededKeys(spec, look.View)
	rows := intent.Rows{}
	if len(keys) > maxSingleReads {
		if err := e.scanInto(ctx, rows, fleet.PrefixService); err != nil {
			return nil, err
		}
	}
	for _, key := range keys {
		if len(keys) > maxSingleReads && strings.HasPrefix(key, fleet.PrefixService) {
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

// input gathers what the pure functions of package intent decide on.
func (e *Engine) input(ctx context.Context, spec intent.Spec, look func() Snapshot) (intent.Input, error) {
	situation := look()
	rows, err := e.readRows(ctx, spec, situation)
	if err != nil {
		return intent.Input{}, err
	}
	return intent.Input{Now: e.now(), View: situation.View, Rows: rows, Observed: situation.Observed}, nil
}

// versionChecks demands that rows still have the versions that were read.
func versionChecks(rows intent.Rows, keys []string) []platform.Check {
	checks := make([]platform.Check, 0, len(keys))
	for _, key := range keys {
		checks = append(checks, platform.Check{Key: key, Version: rows[key].Version})
	}
	return checks
}

// touch returns writes that give the rows a new version and leave their values.
func touch(rows intent.Rows, keys []string) []platform.Write {
	writes := make([]platform.Write, 0, len(keys))
	for _, key := range keys {
		if row := rows[key]; row.Value != nil {
			writes = append(writes, platform.Write{Key: key, Value: row.Value})
		}
	}
	return writes
}
