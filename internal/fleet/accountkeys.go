package fleet

import (
	"crypto/sha256"
	"errors"
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

// KeyedAccount is a client account with its keys.
type KeyedAccount struct {
	Account
	Keys []string
}

// MaxPriority bounds the priority of an account.
const MaxPriority = 1000

// AccountField is a field of a KeyedAccount.
type AccountField int

// Fields that an AccountFault can name.
const (
	FieldName AccountField = iota
	FieldKeys
	FieldRate
	FieldBurst
	FieldPriority
)

// AccountFault reports a field of an account that is out of range. It does not contain a key.
type AccountFault struct {
	// Account is the position of the account in the list, Key that of the key if Field is FieldKeys.
	Account, Key int
	Field        AccountField
	Problem      string
}

// Error implements error.
func (f *AccountFault) Error() string { return fmt.Sprintf("account %d: %s", f.Account, f.Problem) }

// SetAccounts sets the accounts of a configuration and the index of their keys. Errors are of type
// *AccountFault.
func (c *Config) SetAccounts(list []KeyedAccount) error {
	var keys []AccountKey
	var owners []AccountFault
	for i, account := range list {
		if fault := c.accountFault(account); fault != nil {
			fault.Account = i
			return fault
		}
		c.Accounts[account.ID] = account.Account
		for j, key := range account.Keys {
			keys = append(keys, AccountKey{Account: account.ID, Key: key})
			owners = append(owners, AccountFault{Account: i, Key: j, Field: FieldKeys})
		}
	}
	index, err := NewAccountKeys(keys)
	var duplicate *DuplicateKeyError
	if errors.As(err, &duplicate) {
		first, second := owners[duplicate.First], owners[duplicate.Second]
		second.Problem = fmt.Sprintf("the same as key %d of account %d", first.Key, first.Account)
		return &second
	}
	c.Keys = index
	return err
}

// accountFault returns the first field of an account that is out of range, or that another account has.
func (c *Config) accountFault(account KeyedAccount) *AccountFault {
	if _, taken := c.Accounts[account.ID]; taken || account.ID == "" {
		return &AccountFault{Field: FieldName, Problem: fmt.Sprintf("%q is empty or the name of another account", account.ID)}
	}
	if account.RatePerSecond < 0 {
		return &AccountFault{Field: FieldRate, Problem: fmt.Sprintf("%g must not be negative", account.RatePerSecond)}
	}
	if account.Burst < 0 {
		return &AccountFault{Field: FieldBurst, Problem: fmt.Sprintf("%g must not be negative", account.Burst)}
	}
	if priority := account.Priority; priority != nil && (*priority < 0 || *priority > MaxPriority) {
		return &AccountFault{Field: FieldPriority, Problem: fmt.Sprintf("%d must be between 0 and %d", *priority, MaxPriority)}
	}
	for i, key := range account.Keys {
		if key == "" {
			return &AccountFault{Field: FieldKeys, Key: i, Problem: "a key must not be empty"}
		}
	}
	return nil
}
