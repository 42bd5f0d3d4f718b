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
	// scanPage is the number of rows of one read from the platform.
	scanPage = 1_000
	// maxChangesPerPass is the number of changes, about half a day's, above
	// which all rows are read instead of those that the changes name.
	maxChangesPerPass = 500
	// horizonChanges is how many changes back a full read looks for the exact
	// versions of rows and for deletions.
	horizonChanges = 1_000
	// maxRounds bounds how often a pass follows changes that land during it.
	maxRounds = 4
)

// errGap says that a change row is missing.
var errGap = errors.New("a change row is missing")

// pass is one reading of the platform.
type pass struct {
	syncer *Syncer
	// rows are the values read, by key; nil for rows that do not exist.
	rows map[string]json.RawMessage
	// newest is the newest change that names a key.
	newest map[string]uint64
	// reached is the version up to which the rows are complete.
	reached uint64
}

// readPlatform brings the node to the current version. It returns an error of
// the store, after which nothing has changed.
func (s *Syncer) readPlatform(ctx context.Context) error {
	counter, err := s.readCounter(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	own, _ := s.mirror.state()
	if counter <= own {
		return nil
	}
	if own > 0 && counter-own <= maxChangesPerPass {
		err := s.readChanges(ctx, own, counter)
		if !errors.Is(err, errGap) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.readAll(ctx, counter))
}

func (s *Syncer) newPass(reached uint64) *pass {
	return &pass{syncer: s, rows: map[string]json.RawMessage{}, newest: map[string]uint64{}, reached: reached}
}

// readChanges reads the rows named by the changes after own.
func (s *Syncer) readChanges(ctx context.Context, own, counter uint64) error {
	p := s.newPass(own)
	if err := p.follow(ctx, counter); err != nil {
		return err
	}
	s.apply(update{version: p.reached, rows: p.result(0)})
	return nil
}

// readAll reads every row, and the recent change rows for their versions.
func (s *Syncer) readAll(ctx context.Context, counter uint64) error {
	p := s.newPass(counter)
	horizon, err := p.nameRecent(ctx, counter)
	if err != nil {
		return err
	}
	for _, prefix := range configPrefixes {
		if err := p.scan(ctx, prefix); err != nil {
			return err
		}
	}
	current, err := s.readCounter(ctx)
	if err != nil {
		return err
	}
	if err := p.follow(ctx, current); err != nil {
		return err
	}
	s.apply(update{version: p.reached, rows: p.result(horizon), full: true, horizon: horizon})
	return nil
}

// follow reads the rows named by the changes up to counter, and by further
// changes that land meanwhile.
func (p *pass) follow(ctx context.Context, counter uint64) error {
	for round := 0; counter > p.reached && round < maxRounds; round++ {
		keys, missing, err := p.name(ctx, p.reached, counter)
		if err != nil {
			return err
		}
		if missing > 0 {
			return fmt.Errorf("%w: %d", errGap, missing)
		}
		for _, key := range keys {
			if err := p.get(ctx, key); err != nil {
				return err
			}
		}
		p.reached = counter
		if counter, err = p.syncer.readCounter(ctx); err != nil {
			return err
		}
	}
	return nil
}

// nameRecent notes which changes name which keys, and returns the version above
// which every change was seen.
func (p *pass) nameRecent(ctx context.Context, counter uint64) (horizon uint64, err error) {
	if counter > horizonChanges {
		horizon = counter - horizonChanges
	}
	_, missing, err := p.name(ctx, horizon, counter)
	if err != nil {
		return 0, err
	}
	return max(horizon, missing), nil
}

// name reads the change rows after from up to to. It returns the keys that they
// name and the highest version whose change row is missing; 0 for none.
func (p *pass) name(ctx context.Context, from, to uint64) (keys []string, missing uint64, err error) {
	expected := from + 1
	after := fleet.ChangeKey(from)
	for expected <= to {
		rows, err := p.syncer.scan(ctx, fleet.PrefixChange, after)
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
				p.newest[key] = max(p.newest[key], change.Version)
				keys = append(keys, key)
			}
		}
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if expected <= to {
		missing = to
	}
	return keys, missing, nil
}

// decodeChange reads a change row; its key names the version.
func decodeChange(row platform.Row) (fleet.Change, error) {
	var change fleet.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return change, trace.Wrap(err, "row %s", row.Key)
	}
	if fleet.ChangeKey(change.Version) != row.Key {
		return change, trace.BadParameter("row %s holds version %d", row.Key, change.Version)
	}
	return change, nil
}

// get reads one configuration row.
func (p *pass) get(ctx context.Context, key string) error {
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

// scan reads every row with a prefix.
func (p *pass) scan(ctx context.Context, prefix string) error {
	after := ""
	for len(p.rows) < maxRows {
		rows, err := p.syncer.scan(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			p.rows[row.Key] = row.Value
		}
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
	return trace.LimitExceeded("the configuration has more than %d rows", maxRows)
}

// result returns the rows with their versions. A row that no change after the
// horizon names last changed at the horizon or before. A key that is named but
// was not read is one that a full read did not find.
func (p *pass) result(horizon uint64) []fleet.Row {
	for key := range p.newest {
		if _, read := p.rows[key]; !read && isConfigKey(key) {
			p.rows[key] = nil
		}
	}
	rows := make([]fleet.Row, 0, len(p.rows))
	for key, value := range p.rows {
		version, named := p.newest[key]
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

func (s *Syncer) scan(ctx context.Context, prefix, after string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.store.Scan(ctx, fleet.Table, prefix, after, scanPage)
}
