package sidecar

import (
	"slices"

	"github.com/tarragonford/tarragonford/internal/currency"
)

// maxRemoved bounds the removed members that are kept so that other nodes learn of their removal.
const maxRemoved = 256

// memberRow is the newest known state of a row of the members table.
type memberRow struct {
	Member
	// Revision is the version of the store at which the row was written or removed, and the era of the
	// store in which it was read.
	Revision currency.Revision `json:"revision"`
	Removed  bool              `json:"removed,omitempty"`
}

// memberChanges holds the changes of the members table after some revision, or all of its rows if
// Complete is set.
type memberChanges struct {
	// Revision is the one up to which no change is missing.
	Revision currency.Revision `json:"revision"`
	Complete bool              `json:"complete,omitempty"`
	Rows     []memberRow       `json:"rows,omitempty"`
}

// memberTable is a node's copy of the members table, built from the store and from other nodes.
// Revisions of the store order the changes of a row, so changes may arrive late, twice, and by several
// paths. A store that is restored from a copy lacks the rows that were written since; the nodes of such
// rows run all the same, so the table keeps the rows of older eras until newer ones replace them.
type memberTable struct {
	rows map[string]memberRow
	// revision is the one up to which no change is missing; zero before the table was read for the
	// first time.
	revision currency.Revision
	// newest is the revision of the newest row change. The version of the store also advances with
	// changes of other tables.
	newest currency.Revision
	// horizon is the revision up to which removals may have been dropped.
	horizon currency.Revision
}

func newMemberTable() *memberTable { return &memberTable{rows: map[string]memberRow{}} }

// merge applies changes from the store or from another node. It reports whether any member was
// added, changed or removed.
func (t *memberTable) merge(changes memberChanges) bool {
	changed := t.revision.IsZero()
	if changes.Complete {
		changed = t.dropUnlisted(changes) || changed
	}
	for _, row := range changes.Rows {
		if t.supersedes(row) {
			continue
		}
		known, ok := t.rows[row.ID]
		t.rows[row.ID] = row
		t.newest = later(t.newest, row.Revision)
		present := ok && !known.Removed
		changed = changed || present == row.Removed || present && known.Member != row.Member
	}
	t.revision = later(t.revision, changes.Revision)
	t.pruneRemoved()
	return changed
}

// supersedes reports whether a row is no news. All changes up to the revision of the table are known, so a
// row of that time that is absent has been removed since.
func (t *memberTable) supersedes(row memberRow) bool {
	known, ok := t.rows[row.ID]
	if !ok {
		return !row.Revision.After(t.revision)
	}
	return !row.Revision.After(known.Revision)
}

// lacks reports whether the store lacks the row of a member as it is, by all that is known: the row is
// absent, differs, or was written before the store was restored and is not in the copy.
func (t *memberTable) lacks(member Member) bool {
	row, ok := t.rows[member.ID]
	return !ok || row.Removed || row.Member != member || row.Revision.Era < t.revision.Era
}

// dropUnlisted drops the rows that are absent from a complete list, unless they are newer than the
// list or of an older era.
func (t *memberTable) dropUnlisted(changes memberChanges) bool {
	listed := make(map[string]bool, len(changes.Rows))
	for _, row := range changes.Rows {
		listed[row.ID] = true
	}
	dropped := false
	for id, row := range t.rows {
		if !listed[id] && row.Revision.Era == changes.Revision.Era && !row.Revision.After(changes.Revision) {
			delete(t.rows, id)
			dropped = dropped || !row.Removed
		}
	}
	t.horizon = later(t.horizon, changes.Revision)
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
	slices.SortFunc(removed, func(a, b memberRow) int { return a.Revision.Compare(b.Revision) })
	for _, row := range removed[:len(removed)-maxRemoved] {
		delete(t.rows, row.ID)
		t.horizon = later(t.horizon, row.Revision)
	}
}

// later returns the later one of two revisions.
func later(a, b currency.Revision) currency.Revision {
	if b.After(a) {
		return b
	}
	return a
}

// since returns the changes that a node lacks if it knows all changes up to the revision.
func (t *memberTable) since(known currency.Revision) memberChanges {
	changes := memberChanges{Revision: t.revision, Complete: t.horizon.After(known) || known.IsZero()}
	for _, row := range t.rows {
		if changes.Complete && !row.Removed || !changes.Complete && row.Revision.After(known) {
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
