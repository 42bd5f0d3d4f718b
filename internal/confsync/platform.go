package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

const (
	// scanPageRows is the number of rows in one page of a scan.
	scanPageRows = 1_000
	// maxIncrementalChanges is the number of missing changes, about half a day's,
	// above which all rows are read and not only those that the changes name.
	maxIncrementalChanges = 500
	// fullReadChanges is how many of the latest changes a full read examines for
	// the exact versions of rows and for deletions.
	fullReadChanges = 1_000
	// maxRounds bounds how often one read follows changes committed during it.
	maxRounds = 4
)

// errChangeRowMissing means that change rows have been deleted, so that the
// changed keys are not known.
var errChangeRowMissing = errors.New("change row missing")

// tableRead collects the rows of one read of the platform's table, which is not
// atomic; see doc.go.
type tableRead struct {
	syncer *Syncer
	// rows holds the values read, by key; nil for rows that do not exist.
	rows map[string]json.RawMessage
	// newestChange holds, by key, the version of the newest change that names it.
	newestChange map[string]uint64
	// completeTo is the version up to which the rows are complete.
	completeTo uint64
}

// readPlatform updates the node to the current version in the platform's table.
// If it returns an error, nothing has been applied.
func (s *Syncer) readPlatform(ctx context.Context) error {
	counter, err := s.readCounter(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	own, _ := s.mirror.state()
	if counter <= own {
		return nil
	}
	if own > 0 && counter-own <= maxIncrementalChanges {
		err := s.readChanges(ctx, own, counter)
		if !errors.Is(err, errChangeRowMissing) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.readAllRows(ctx, counter))
}

func (s *Syncer) newTableRead(completeTo uint64) *tableRead {
	return &tableRead{syncer: s, rows: map[string]json.RawMessage{}, newestChange: map[string]uint64{}, completeTo: completeTo}
}

// readChanges applies the rows named by the changes after version own.
func (s *Syncer) readChanges(ctx context.Context, own, counter uint64) error {
	p := s.newTableRead(own)
	if err := p.readChangedRows(ctx, counter); err != nil {
		return err
	}
	s.apply(update{version: p.completeTo, rows: p.versionedRows(0)})
	return nil
}

// readAllRows applies all rows. It also reads the recent change rows to learn the
// versions of the rows that they name.
func (s *Syncer) readAllRows(ctx context.Context, counter uint64) error {
	p := s.newTableRead(counter)
	horizon, err := p.readRecentChanges(ctx, counter)
	if err != nil {
		return err
	}
	for _, prefix := range configPrefixes {
		if err := p.scanPrefix(ctx, prefix); err != nil {
			return err
		}
	}
	current, err := s.readCounter(ctx)
	if err != nil {
		return err
	}
	if err := p.readChangedRows(ctx, current); err != nil {
		return err
	}
	s.apply(update{version: p.completeTo, rows: p.versionedRows(horizon), full: true, horizon: horizon})
	return nil
}

// readChangedRows reads the rows named by the changes up to counter, and by
// changes committed in the meantime, for at most maxRounds rounds.
func (p *tableRead) readChangedRows(ctx context.Context, counter uint64) error {
	for round := 0; counter > p.completeTo && round < maxRounds; round++ {
		keys, missing, err := p.readChangeRows(ctx, p.completeTo, counter)
		if err != nil {
			return err
		}
		if missing > 0 {
			return fmt.Errorf("%w: version %d", errChangeRowMissing, missing)
		}
		for _, key := range keys {
			if err := p.readRow(ctx, key); err != nil {
				return err
			}
		}
		p.completeTo = counter
		if counter, err = p.syncer.readCounter(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readRecentChanges reads the last fullReadChanges change rows and returns the
// version above which none is missing.
func (p *tableRead) readRecentChanges(ctx context.Context, counter uint64) (horizon uint64, err error) {
	if counter > fullReadChanges {
		horizon = counter - fullReadChanges
	}
	_, missing, err := p.readChangeRows(ctx, horizon, counter)
	if err != nil {
		return 0, err
	}
	return max(horizon, missing), nil
}

// readChangeRows reads the change rows after version from, up to version to. It
// returns the keys that they name and the highest version whose change row is
// missing, or 0 if none is.
func (p *tableRead) readChangeRows(ctx context.Context, from, to uint64) (keys []string, missing uint64, err error) {
	expected := from + 1
	after := fleet.ChangeKey(from)
	for expected <= to {
		rows, err := p.syncer.scanPage(ctx, fleet.PrefixChange, after)
		if err != nil {
			return nil, 0, err
		}
		for _, row := range rows {
			change, err := decodeChange(row)
			if err != nil {
				return nil, 0, err
			}
			if change.Version > to {
				break
			}
			if change.Version > expected {
				missing = change.Version - 1
			}
			expected = change.Version + 1
			for _, key := range change.Keys {
				p.newestChange[key] = max(p.newestChange[key], change.Version)
				keys = append(keys, key)
			}
		}
		if len(rows) < scanPageRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if expected <= to {
		missing = to
	}
	return keys, missing, nil
}

// decodeChange decodes a change row and checks its version against its key.
func decodeChange(row platform.Row) (fleet.Change, error) {
	var change fleet.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return change, trace.Wrap(err, "decoding change row %s", row.Key)
	}
	if fleet.ChangeKey(change.Version) != row.Key {
		return change, trace.BadParameter("change row %s contains version %d", row.Key, change.Version)
	}
	return change, nil
}

// readRow reads the row with the given key; keys of other rows than configuration
// are ignored.
func (p *tableRead) readRow(ctx context.Context, key string) error {
	if !isConfigKey(key) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.syncer.timeout)
	defer cancel()
	row, err := p.syncer.store.Get(ctx, fleet.Table, key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		p.rows[key] = nil
	case err != nil:
		return err
	default:
		p.rows[key] = row.Value
	}
	return nil
}

// scanPrefix reads all rows whose keys begin with prefix.
func (p *tableRead) scanPrefix(ctx context.Context, prefix string) error {
	after := ""
	for len(p.rows) < maxRows {
		rows, err := p.syncer.scanPage(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			p.rows[row.Key] = row.Value
		}
		if len(rows) < scanPageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
	return trace.LimitExceeded("the configuration has more than %d rows", maxRows)
}

// versionedRows returns the rows with their versions. A row that no change after
// the horizon names last changed at the horizon or before, so it gets the version
// of the horizon. A key that a change names but a full read did not find belongs
// to a deleted row.
func (p *tableRead) versionedRows(horizon uint64) []fleet.Row {
	for key := range p.newestChange {
		if _, read := p.rows[key]; !read && isConfigKey(key) {
			p.rows[key] = nil
		}
	}
	rows := make([]fleet.Row, 0, len(p.rows))
	for key, value := range p.rows {
		version, named := p.newestChange[key]
		if !named {
			version = horizon
		}
		rows = append(rows, fleet.Row{Key: key, Version: version, Value: value})
	}
	return rows
}

func (s *Syncer) readCounter(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	row, err := s.store.Get(ctx, fleet.Table, fleet.KeyCounter)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var counter uint64
	return counter, json.Unmarshal(row.Value, &counter)
}

func (s *Syncer) scanPage(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.store.Scan(ctx, fleet.Table, prefix, after, scanPageRows)
}
