package confsync

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// maxRows bounds the rows of a configuration. The design size is 54,000 rows,
	// of which 48,000 are accounts.
	maxRows = 400_000
	// maxKeyBytes bounds the key of a row.
	maxKeyBytes = 512
	// peerPageBytes bounds the rows of one response to a peer.
	peerPageBytes = 128 << 10
)

// mirror is a copy of the rows in force with their versions, from which peers
// are served. The goroutine of Syncer.Run writes it, RPC handlers read it.
type mirror struct {
	mu      sync.Mutex
	rows    map[string]fleet.Row
	version uint64
	// horizon is the version above which no change is missing: rows holds the row of
	// every change with a higher version, as a row without a value if it was deleted.
	horizon uint64
	// pageBytes bounds one response to a peer: peerPageBytes, or less in tests.
	pageBytes int
}

func newMirror() *mirror {
	return &mirror{rows: map[string]fleet.Row{}, pageBytes: peerPageBytes}
}

// state returns the version in force and the horizon.
func (m *mirror) state() (version, horizon uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.horizon
}

// update is a step from one version to a higher one.
type update struct {
	version uint64
	rows    []fleet.Row
	// full means that rows are the whole configuration as of version; keys that
	// are not among them are deleted. horizon is set in full updates only.
	full    bool
	horizon uint64
}

// apply merges an update and returns the rows that it changed, including
// deletions. Neither the version nor any row is ever replaced by an older one.
func (m *mirror) apply(u update) []fleet.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newer []fleet.Row
	present := map[string]bool{}
	for _, row := range u.rows {
		present[row.Key] = true
		if m.isNewer(row) {
			m.rows[row.Key] = row
			newer = append(newer, row)
		}
	}
	if u.full {
		newer = append(newer, m.deleteAbsent(present, u.horizon)...)
		m.horizon = max(m.horizon, u.horizon)
	}
	m.version = max(m.version, u.version)
	return newer
}

func (m *mirror) isNewer(row fleet.Row) bool {
	if !isConfigKey(row.Key) {
		return false
	}
	known, ok := m.rows[row.Key]
	if !ok {
		return len(m.rows) < maxRows
	}
	return row.Version > known.Version
}

// deleteAbsent deletes the rows that a full update does not contain and that
// changed before the horizon; the update contains every row that changed after
// it. A row that is already deleted here also gets the version of the horizon. It
// may have been written and deleted again since, and a peer that holds this later
// value would ignore a deletion with a version older than the value.
func (m *mirror) deleteAbsent(present map[string]bool, horizon uint64) []fleet.Row {
	var deleted []fleet.Row
	for key, known := range m.rows {
		if present[key] || known.Version >= horizon {
			continue
		}
		row := fleet.Row{Key: key, Version: horizon}
		m.rows[key] = row
		deleted = append(deleted, row)
	}
	return deleted
}

// cursor is a position in the rows ordered by version and key.
type cursor struct {
	Version uint64 `json:"v"`
	Key     string `json:"k"`
}

// since returns one page of the rows that a node at the given version lacks,
// beginning after the cursor. next is the cursor of the following page, or nil
// after the last page. full means that the pages hold the whole configuration.
func (m *mirror) since(version uint64, after *cursor) (rows []fleet.Row, full bool, next *cursor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	full = version == 0 || version < m.horizon
	for _, row := range m.rows {
		if (full || row.Version > version) && (after == nil || compareRow(row, after) > 0) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b fleet.Row) int { return compareRow(a, &cursor{b.Version, b.Key}) })
	size := 0
	for i, row := range rows {
		size += len(row.Key) + len(row.Value) + rowOverhead
		if size > m.pageBytes && i > 0 {
			last := rows[i-1]
			return rows[:i], full, &cursor{last.Version, last.Key}
		}
	}
	return rows, full, nil
}

// rowOverhead is the encoded size of a row in bytes without its key and value.
const rowOverhead = 32

func compareRow(row fleet.Row, position *cursor) int {
	if order := cmp.Compare(row.Version, position.Version); order != 0 {
		return order
	}
	return cmp.Compare(row.Key, position.Key)
}

// configPrefixes are the prefixes of configuration rows in ascending order.
var configPrefixes = []string{
	fleet.PrefixAccount, fleet.PrefixRoute, fleet.PrefixService, fleet.PrefixWithdrawal,
}

func isConfigKey(key string) bool {
	return len(key) <= maxKeyBytes && slices.ContainsFunc(configPrefixes, func(prefix string) bool {
		return strings.HasPrefix(key, prefix)
	})
}
