package currency

import "cmp"

// Revision is a position in the history of a store. A store that is restored from an older copy gives out the
// versions after the copy again, for other changes; its era, which rises with each restore, tells them apart. The
// zero value is before all changes.
type Revision struct {
	// Era is 0 for a store that names none.
	Era uint64 `json:"era"`
	// Version counts the transactions of the store.
	Version uint64 `json:"version"`
}

// Compare returns -1, 0 or 1 if r is before, equal to or after other. A revision of an older era is before all
// of a newer one, whether the copy had its change or not.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }
