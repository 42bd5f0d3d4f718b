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
	// identityLifetime is how long the identities are used before they are read
	// again. A revoked token can read for this long, and while the platform is
	// down; it cannot take a step, because a step checks the identity's row.
	identityLifetime = 10 * time.Second
	// identityRetry is the shortest time between two reads, so that unknown
	// tokens and an outage do not load the platform.
	identityRetry = time.Second
)

// identities are the known bearer tokens, by hash.
type identities struct {
	engine *intentstore.Engine
	now    func() time.Time

	mu     sync.Mutex
	byHash map[string]intent.Actor
	read   time.Time
	tried  time.Time
}

func newIdentities(engine *intentstore.Engine, now func() time.Time) *identities {
	return &identities{engine: engine, now: now}
}

// authenticate returns the identity of the bearer token of a request. It
// returns an error of code Unauthenticated, or StoreDown if no identities were
// ever read.
func (i *identities) authenticate(r *http.Request) (intent.Actor, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return intent.Actor{}, codes.Unauthenticated.New("the request has no bearer token")
	}
	return i.find(r.Context(), fleet.HashToken(token))
}

// find holds the lock while it reads, so that concurrent requests cause one read.
func (i *identities) find(ctx context.Context, hash string) (intent.Actor, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	_, known := i.byHash[hash]
	stale := !known || now.Sub(i.read) >= identityLifetime
	var readError error
	if stale && (i.tried.IsZero() || now.Sub(i.tried) >= identityRetry) {
		readError = i.refresh(ctx, now)
	}
	if actor, ok := i.byHash[hash]; ok {
		return actor, nil
	}
	if i.byHash == nil {
		return intent.Actor{}, codes.StoreDown.Wrap(readError, "this node has not read the identities yet; use another node")
	}
	return intent.Actor{}, codes.Unauthenticated.New("the bearer token is not known")
}

func (i *identities) refresh(ctx context.Context, now time.Time) error {
	i.tried = now
	byHash, err := i.engine.Operators(ctx)
	if err != nil {
		return err
	}
	i.byHash, i.read = byHash, now
	return nil
}
