package fleet

// Table is the name of the platform table that holds all rows of the fleet.
const Table = "fleet"

// Keys and key prefixes of the rows in Table other than configuration rows.
const (
	// KeyCounter holds the change counter, a JSON number.
	KeyCounter = "counter"
	// PrefixChange is followed by the value of the counter in 12 digits. A
	// change row lists the configuration keys that one change wrote or deleted,
	// with the mark that identifies the transaction, and is never overwritten.
	PrefixChange = "change/"
	// PrefixIntent holds intents by ID.
	PrefixIntent = "intent/"
	// PrefixOpenIntent holds the IDs of the intents that are not in a terminal
	// state, so that the nodes that process them need not read all intents.
	PrefixOpenIntent = "intent-open/"
	// PrefixAudit is followed by the intent ID and a step number in 6 digits.
	// An audit row contains the mark of its transaction and is never overwritten.
	PrefixAudit = "audit/"
	// PrefixOperator holds operators with their roles and token hashes.
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
	// Mark identifies the transaction, so that its writer can find out whether it
	// took effect if the response was lost.
	Mark string `json:"mark"`
}
