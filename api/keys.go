package api

// Paths on an entry address that the node answers itself instead of routing them.
const (
	// PathKeys issues an idempotency key: POST with the query parameter service.
	PathKeys = "/.well-known/tarragon/keys"
	// PathEntries lists the entry addresses, nearest first: GET.
	PathEntries = "/.well-known/tarragon/entries"
)

// IssuedKey is the response to a request for an idempotency key.
type IssuedKey struct {
	// Key is the value for the Idempotency-Key header.
	Key string `json:"key"`
	// ExpiresInMS is the time until the key expires, in milliseconds.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// EntryAddress is an address to which callers may send requests.
type EntryAddress struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// EntryList is the list of entry addresses, those nearest to the answering node first.
type EntryList struct {
	Entries []EntryAddress `json:"entries"`
}
