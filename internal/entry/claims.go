package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// maxCallerKey bounds a key chosen by a caller, in bytes.
const maxCallerKey = 256

// Claims maps keys chosen by callers to bound keys, in the platform's table.
type Claims struct {
	store platform.Store
}

// NewClaims returns the claims kept in store.
func NewClaims(store platform.Store) *Claims { return &Claims{store: store} }

// claimRow is the value of a claim. It is written once and never changed, so
// whoever reads it takes the same bound key, and a write whose answer was lost
// is settled by reading the row.
type claimRow struct {
	Bound       string `json:"bound"`
	Fingerprint uint64 `json:"fingerprint"`
}

// Bind returns the bound key that belongs to the caller's key, and claims one
// from issue if there is none. The error has code KeyReused, KeyInvalid or
// KeyStoreDown.
func (c *Claims) Bind(ctx context.Context, account, key string, fingerprint uint64, issue func() (string, error)) (string, error) {
	if len(key) > maxCallerKey {
		return "", codes.KeyInvalid.New("the key is longer than %d bytes", maxCallerKey)
	}
	id := fleet.PrefixClaim + url.PathEscape(account) + "/" + url.PathEscape(key)
	bound, err := c.read(ctx, id, fingerprint)
	if !errors.Is(err, platform.ErrNotFound) {
		return bound, err
	}
	fresh, err := issue()
	if err != nil {
		return "", err
	}
	if err := c.write(ctx, id, claimRow{Bound: fresh, Fingerprint: fingerprint}); err == nil {
		return fresh, nil
	}
	bound, err = c.read(ctx, id, fingerprint)
	if errors.Is(err, platform.ErrNotFound) {
		return "", codes.KeyStoreDown.New("the claim of the key was not confirmed")
	}
	return bound, err
}

func (c *Claims) read(ctx context.Context, id string, fingerprint uint64) (string, error) {
	row, err := c.store.Get(ctx, fleet.Table, id)
	if errors.Is(err, platform.ErrNotFound) {
		return "", err
	}
	if err != nil {
		return "", codes.KeyStoreDown.Wrap(err, "the claim of the key cannot be read")
	}
	var claim claimRow
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return "", codes.Internal.Wrap(err, "the claim of the key is malformed")
	}
	if claim.Fingerprint != fingerprint {
		return "", codes.KeyReused.New("the key belongs to another request")
	}
	return claim.Bound, nil
}

func (c *Claims) write(ctx context.Context, id string, claim claimRow) error {
	value, err := json.Marshal(claim)
	if err != nil {
		return err
	}
	return c.store.Transact(ctx, fleet.Table,
		[]platform.Check{{Key: id}},
		[]platform.Write{{Key: id, Value: value}})
}
