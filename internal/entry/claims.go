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

// maxCallerKeyBytes is the maximum length of a key chosen by a caller.
const maxCallerKeyBytes = 256

// Claims maps idempotency keys chosen by callers to bound keys. The mapping is
// stored in the platform's table.
type Claims struct {
	store platform.Store
}

// NewClaims returns a Claims that uses store.
func NewClaims(store platform.Store) *Claims { return &Claims{store: store} }

// claimRow is the stored value of a claim. It is written once and never changed,
// so every reader gets the same bound key, and a write whose response was lost can
// be resolved by reading the row.
type claimRow struct {
	Bound       string `json:"bound"`
	Fingerprint uint64 `json:"fingerprint"`
}

// Bind returns the bound key for the caller's key. If there is none yet, it calls
// issue and stores the new key. The error has code KeyReused, KeyInvalid,
// KeyStoreDown or Internal, or is the error of issue.
func (c *Claims) Bind(ctx context.Context, account, key string, fingerprint uint64, issue func() (string, error)) (string, error) {
	if len(key) > maxCallerKeyBytes {
		return "", codes.KeyInvalid.New("the key is longer than %d bytes", maxCallerKeyBytes)
	}
	id := fleet.PrefixClaim + url.PathEscape(account) + "/" + url.PathEscape(key)
	bound, err := c.read(ctx, id, fingerprint)
	if !errors.Is(err, platform.ErrNotFound) {
		return bound, err
	}
	issued, err := issue()
	if err != nil {
		return "", err
	}
	if err := c.write(ctx, id, claimRow{Bound: issued, Fingerprint: fingerprint}); err == nil {
		return issued, nil
	}
	bound, err = c.read(ctx, id, fingerprint)
	if errors.Is(err, platform.ErrNotFound) {
		return "", codes.KeyStoreDown.New("the write of the key claim was not confirmed")
	}
	return bound, err
}

func (c *Claims) read(ctx context.Context, id string, fingerprint uint64) (string, error) {
	row, err := c.store.Get(ctx, fleet.Table, id)
	if errors.Is(err, platform.ErrNotFound) {
		return "", err
	}
	if err != nil {
		return "", codes.KeyStoreDown.Wrap(err, "the key claim cannot be read")
	}
	var claim claimRow
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return "", codes.Internal.Wrap(err, "the key claim is malformed")
	}
	if claim.Fingerprint != fingerprint {
		return "", codes.KeyReused.New("the key was used for a different request")
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
