package api

// Paths of an entry address that the system serves itself.
const (
	// PathKeys issues an idempotency key: POST with the query parameter service.
	PathKeys = "/.well-known/tarragon/keys"
	// PathEntries lists entry addresses, nearest first: GET.
	PathEntries = "/.well-known/tarragon/entries"
)

// IssuedKey is the answer to a request for an idempotency key.
type IssuedKey struct {
	// Key is the value for the Idempotency-Key header.
	Key string `json:"key"`
	// ExpiresInMS is the validity from now on, in milliseconds.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// EntryAddress is one address at which callers may send requests.
type EntryAddress struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// EntryList is the list of entry addresses, nearest to the asked node first.
type EntryList struct {
	Entries []EntryAddress `json:"entries"`
}
