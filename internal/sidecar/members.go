package sidecar

import (
	"cmp"
	"slices"
)

// maxRemoved bounds the removed members that are kept so that other nodes learn of their removal.
const maxRemoved = 256

// memberRow is the newest known version of a row of the members table.
type memberRow struct {
	Member
	// Version is the version of the store at which the row was written or removed.
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// memberChanges holds the changes of the members table after some version, or all of its rows if
// Complete is set.
type memberChanges struct {
	// Version is the version up to which no change is missing.
	Version  uint64      `json:"version"`
	Complete bool        `json:"complete,omitempty"`
	Rows     []memberRow `json:"rows,omitempty"`
}

// memberTable is a node's copy of the members table, built from the store and from other nodes.
// Store versions order the changes of a row, so changes may arrive late, twice, and by several
// paths.
type memberTable struct {
	rows map[string]memberRow
	// version is the version up to which no change is missing; 0 before the table was read for the
	// first time.
	version uint64
	// newest is the version of the newest row change. The version of the store also advances with
	// changes of other tables.
	newest uint64
	// horizon is the version up to which removals may have been dropped.
	horizon uint64
}

func newMemberTable() *memberTable { return &memberTable{rows: map[string]memberRow{}} }

// merge applies changes from the store or from another node. It reports whether any member was
// added, changed or removed.
func (t *memberTable) merge(changes memberChanges) bool {
	changed := t.version == 0
	if changes.Complete {
		changed = t.dropUnlisted(changes) || changed
	}
	for _, row := range changes.Rows {
		if t.supersedes(row) {
			continue
		}
		known, ok := t.rows[row.ID]
		t.rows[row.ID] = row
		t.newest = max(t.newest, row.Version)
		present := ok && !known.Removed
		changed = changed || present == row.Removed || present && known.Member != row.Member
	}
	t.version = max(t.version, changes.Version)
	t.pruneRemoved()
	return changed
}

// supersedes reports whether a row is no news. All changes up to the version of the table are known, so a
// row of that time that is absent has been removed since.
func (t *memberTable) supersedes(row memberRow) bool {
	known, ok := t.rows[row.ID]
	if !ok {
		return row.Version <= t.version
	}
	return known.Version >= row.Version
}

// dropUnlisted drops the rows that are absent from a complete list, unless they are newer than the
// list.
func (t *memberTable) dropUnlisted(changes memberChanges) bool {
	listed := make(map[string]bool, len(changes.Rows))
	for _, row := range changes.Rows {
		listed[row.ID] = true
	}
	dropped := false
	for id, row := range t.rows {
		if !listed[id] && row.Version <= changes.Version {
			delete(t.rows, id)
			dropped = dropped || !row.Removed
		}
	}
	t.horizon = max(t.horizon, changes.Version)
	return dropped
}

// pruneRemoved drops the oldest removals beyond maxRemoved.
func (t *memberTable) pruneRemoved() {
	var removed []memberRow
	for _, row := range t.rows {
		if row.Removed {
			removed = append(removed, row)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, func(a, b memberRow) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range removed[:len(removed)-maxRemoved] {
		delete(t.rows, row.ID)
		t.horizon = max(t.horizon, row.Version)
	}
}

// since returns the changes that a node lacks if it knows all changes up to the version.
func (t *memberTable) since(version uint64) memberChanges {
	changes := memberChanges{Version: t.version, Complete: version < t.horizon || version == 0}
	for _, row := range t.rows {
		if changes.Complete && !row.Removed || !changes.Complete && row.Version > version {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// members returns the members by ID.
func (t *memberTable) members() map[string]Member {
	members := make(map[string]Member, len(t.rows))
	for id, row := range t.rows {
		if !row.Removed {
			members[id] = row.Member
		}
	}
	return members
}
