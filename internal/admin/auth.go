package admin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
)

const (
	// identityLifetime is the time after which the cached identities are read
	// again. Until then, and for as long as the platform is down, a revoked token
	// can still read; it cannot take a step, because a step checks the identity's
	// row in the table.
	identityLifetime = 10 * time.Second
	// identityRetryInterval is the minimum time between two reads, so that unknown
	// tokens and an outage do not put load on the platform.
	identityRetryInterval = time.Second
)

// identityCache caches the identityCache of the bearer tokens in the platform's table.
type identityCache struct {
	engine *intentstore.Engine
	now    func() time.Time

	mu sync.Mutex
	// byHash maps the hash of a token to its identity. It is nil until the first
	// successful read.
	byHash      map[string]intent.Actor
	refreshedAt time.Time
	attemptedAt time.Time
}

func newIdentityCache(engine *intentstore.Engine, now func() time.Time) *identityCache {
	return &identityCache{engine: engine, now: now}
}

// authenticate returns the identity of the request's bearer token. It fails with
// code Unauthenticated, or with StoreDown if the identities were never read.
func (i *identityCache) authenticate(r *http.Request) (intent.Actor, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return intent.Actor{}, codes.Unauthenticated.New("the request has no bearer token")
	}
	return i.find(r.Context(), fleet.HashToken(token))
}

// find looks up the identity of a token hash. It holds the lock during a read of
// the platform, so that concurrent requests cause only one read.
func (i *identityCache) find(ctx context.Context, hash string) (intent.Actor, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	_, known := i.byHash[hash]
	stale := !known || now.Sub(i.refreshedAt) >= identityLifetime
	var readError error
	if stale && (i.attemptedAt.IsZero() || now.Sub(i.attemptedAt) >= identityRetryInterval) {
		readError = i.refresh(ctx, now)
	}
	if actor, ok := i.byHash[hash]; ok {
		return actor, nil
	}
	if i.byHash == nil {
		return intent.Actor{}, codes.StoreDown.Wrap(readError, "this node has not yet read the identities from the platform; use another node")
	}
	return intent.Actor{}, codes.Unauthenticated.New("the bearer token is unknown")
}

// refresh reads the identities from the platform. The caller holds i.mu.
func (i *identityCache) refresh(ctx context.Context, now time.Time) error {
	i.attemptedAt = now
	byHash, err := i.engine.Operators(ctx)
	if err != nil {
		return err
	}
	i.byHash, i.refreshedAt = byHash, now
	return nil
}
