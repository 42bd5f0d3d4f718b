package confsync

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// maxRows bounds the rows of a configuration. The size to design for has
	// 54,000, of which 48,000 are accounts.
	maxRows = 400_000
	// maxKeyBytes bounds the key of a row.
	maxKeyBytes = 512
	// peerPageBytes bounds the rows of one answer to a peer.
	peerPageBytes = 128 << 10
)

// mirror holds the rows in force with their versions, for peers that ask. It is
// written by the goroutine of the Syncer and read by handlers.
type mirror struct {
	mu      sync.Mutex
	rows    map[string]fleet.Row
	version uint64
	horizon uint64
	// pageBytes is the size of an answer to a peer, peerPageBytes but for tests.
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
	// full says that rows are the whole configuration as of version; keys that
	// are not among them are deleted. horizon belongs to full updates.
	full    bool
	horizon uint64
}

// apply puts an update in force and returns the rows that were newer, deletions
// included. The version and the rows never go back.
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

// deleteAbsent deletes the rows that a full update does not have. A row that
// changed after the horizon would be named in the update. A row that is
// deleted already takes the version of the horizon as well: it may have been
// written and deleted again since, and a peer that has the row in between
// would keep it if the deletion bore the older version.
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

// cursor is a place in the order of version and key.
type cursor struct {
	Version uint64 `json:"v"`
	Key     string `json:"k"`
}

// since returns a page of the rows that a node at the given version lacks, and
// where the next page begins; nil after the last.
func (m *mirror) since(version uint64, after *cursor) (rows []fleet.Row, full bool, next *cursor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	full = version == 0 || version < m.horizon
	for _, row := range m.rows {
		if (full || row.Version > version) && (after == nil || compare(row, after) > 0) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b fleet.Row) int { return compare(a, &cursor{b.Version, b.Key}) })
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

// rowOverhead is the size of a row on the wire beside its key and value.
const rowOverhead = 32

func compare(row fleet.Row, to *cursor) int {
	if order := cmp.Compare(row.Version, to.Version); order != 0 {
		return order
	}
	return cmp.Compare(row.Key, to.Key)
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
