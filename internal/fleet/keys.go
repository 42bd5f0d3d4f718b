package fleet

// Table is the name of the platform table that holds all rows of the fleet.
const Table = "fleet"

// Keys and key prefixes of rows in Table beside the configuration rows.
const (
	// KeyCounter holds the change counter, a JSON number.
	KeyCounter = "counter"
	// PrefixChange is followed by the value of the counter in 12 digits. A
	// change row lists the configuration keys that one change wrote, with the
	// mark of the transaction, and is never overwritten.
	PrefixChange = "change/"
	// PrefixIntent holds intents by ID.
	PrefixIntent = "intent/"
	// PrefixOpenIntent holds the IDs of the intents that are not in a terminal
	// state, so that the nodes that drive them need not read all others.
	PrefixOpenIntent = "intent-open/"
	// PrefixAudit is followed by the intent ID and a step number in 6 digits.
	// An audit row carries the mark of its transaction and is never overwritten.
	PrefixAudit = "audit/"
	// PrefixOperator holds identities with roles and token hashes.
	PrefixOperator = "operator/"
	// PrefixNode holds the control address of each node, written at its start.
	PrefixNode = "node/"
	// PrefixClaim holds idempotency keys chosen by callers.
	PrefixClaim = "claim/"
)

// Change is the value of a change row.
type Change struct {
	// Version is the value of the counter after the change.
	Version uint64 `json:"version"`
	// Keys are the configuration keys that the change wrote or deleted.
	Keys []string `json:"keys"`
	// Mark identifies the transaction, for reading back a lost answer.
	Mark string `json:"mark"`
}
