package sidecar

import (
	"hash/fnv"
	"net/http"

	"github.com/tarragonford/tarragonford/internal/codes"
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

// priority returns the rank of a request: that of its account, if it has one, or that of its route.
func (x *exchange) priority(account AccountName) int {
	if known, ok := x.view.Config.Accounts[account.Name]; ok && known.Priority != nil {
		return *known.Priority
	}
	return x.route.Priority
}

// kindOf returns the number that stands for a route in hops.
func kindOf(route string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(route))
	return h.Sum32()
}
