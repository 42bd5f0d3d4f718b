package fleet

import (
	"crypto/sha256"
	"fmt"
)

// keyDigest stands for an account key, so that neither a dump of the index nor the time of a lookup
// gives a key away.
type keyDigest [sha256.Size]byte

// AccountKeys finds the account that holds a key. It is immutable.
type AccountKeys struct {
	accounts map[keyDigest]string
}

// AccountKey is one key of a client account.
type AccountKey struct {
	Account string
	Key     string
}

// DuplicateKeyError reports a key that is listed twice. It does not contain the key.
type DuplicateKeyError struct {
	// First and Second are the positions of the two entries.
	First, Second int
}

// Error implements error.
func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("account key %d is the same as account key %d", e.Second, e.First)
}

// NewAccountKeys returns an index of the keys. It returns a DuplicateKeyError if a key occurs twice,
// whether for the same account or for another one.
func NewAccountKeys(keys []AccountKey) (*AccountKeys, error) {
	index := &AccountKeys{accounts: make(map[keyDigest]string, len(keys))}
	positions := make(map[keyDigest]int, len(keys))
	for i, key := range keys {
		digest := keyDigest(sha256.Sum256([]byte(key.Key)))
		if first, taken := positions[digest]; taken {
			return nil, &DuplicateKeyError{First: first, Second: i}
		}
		positions[digest] = i
		index.accounts[digest] = key.Account
	}
	return index, nil
}

// Find returns the account that holds a key.
func (k *AccountKeys) Find(key string) (account string, ok bool) {
	account, ok = k.accounts[keyDigest(sha256.Sum256([]byte(key)))]
	return account, ok
}

// Len returns the number of keys.
func (k *AccountKeys) Len() int { return len(k.accounts) }
