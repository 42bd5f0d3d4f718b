package sidecar

import (
	"cmp"
	"slices"
)

// maxRemoved bounds the removed members that are remembered for other nodes.
const maxRemoved = 256

// memberRow is the newest known change of one row of the table of members.
type memberRow struct {
	Member
	// Version is that of the store when the row was written or removed.
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// memberChanges are the changes of the table of members after some version, or all
// its rows if Complete.
type memberChanges struct {
	// Version is the one up to which no change is missing.
	Version  uint64      `json:"version"`
	Complete bool        `json:"complete,omitempty"`
	Rows     []memberRow `json:"rows,omitempty"`
}

// memberTable is the table of members as far as a node knows it, from the store or
// from other nodes. Versions of the store order the changes of a row, so changes
// may arrive by several ways, late and twice.
type memberTable struct {
	rows map[string]memberRow
	// version is the one up to which no change is missing; 0 before the table was
	// read once.
	version uint64
	// newest is the version of the newest change of a row. The store's own version
	// moves on with the changes of other tables.
	newest uint64
	// horizon is the version up to which removals may be forgotten.
	horizon uint64
}

func newMemberTable() *memberTable { return &memberTable{rows: map[string]memberRow{}} }

// take applies changes of the store or of another node, and returns whether a member
// is new, changed or gone.
func (t *memberTable) take(changes memberChanges) bool {
	changed, complete := t.version == 0, t.version
	if changes.Complete {
		changed = t.dropUnlisted(changes) || changed
	}
	for _, row := range changes.Rows {
		known, ok := t.rows[row.ID]
		if ok && known.Version >= row.Version || !ok && row.Version <= complete {
			// A row that is missing although no change is has been removed.
			continue
		}
		t.rows[row.ID] = row
		t.newest = max(t.newest, row.Version)
		present := ok && !known.Removed
		changed = changed || present == row.Removed || present && known.Member != row.Member
	}
	t.version = max(t.version, changes.Version)
	t.forgetRemoved()
	return changed
}

// dropUnlisted drops the rows that a complete list lacks, unless they are newer.
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

// forgetRemoved drops the oldest removals beyond maxRemoved.
func (t *memberTable) forgetRemoved() {
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

// since returns what a node lacks that knows all changes up to a version.
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
