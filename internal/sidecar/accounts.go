package sidecar

import (
	"hash/fnv"
	"net/http"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/gate"
)

// identify returns the client account of a request. On a public route, an unknown key has no effect.
func (x *exchange) identify(header http.Header) (AccountName, error) {
	config := x.view.Config
	if config.Keys == nil {
		return AccountName{}, nil
	}
	key := x.entry.headers.AccountKey(header)
	if x.route.Public {
		name, _ := config.Keys.Find(key)
		return AccountName{InUse: true, Name: name}, nil
	}
	if !x.entry.keysConfirmed(config.Version) {
		return AccountName{InUse: true}, codes.KeysUnconfirmed.New("configuration %d has not been confirmed lately", config.Version)
	}
	name, known := config.Keys.Find(key)
	if !known {
		return AccountName{InUse: true}, codes.UnknownKey.New("no account of configuration %d has the key", config.Version)
	}
	return AccountName{InUse: true, Name: name}, nil
}

// priority returns the combined priority of a request. The priority of the account goes before that
// of the route; a request without one has that of its route in both places.
func (x *exchange) priority(account AccountName) int {
	first := x.route.Priority
	if known, ok := x.view.Config.Accounts[account.Name]; ok && known.Priority != nil {
		first = *known.Priority
	}
	return gate.CombinePriorities(first, x.route.Priority)
}

// kindOf returns the number that stands for a route in hops.
func kindOf(route string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(route))
	return h.Sum32()
}
