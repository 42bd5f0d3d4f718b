package entry

import (
	"net"
	"sync"
	"time"
)

const (
	// recentTime is how long a caller counts as seen lately.
	recentTime = 10 * time.Minute
	// recentLimit bounds the callers and accounts that one node remembers for
	// each service: a fifth of the 48,000 client accounts.
	recentLimit = 10_000
	recentShard = 16
)

// Recent remembers which callers and client accounts used each service lately.
// Plans name them. It is safe for concurrent use.
type Recent struct {
	shards [recentShard]recentPart
	now    func() time.Time
}

type recentPart struct {
	mu   sync.Mutex
	seen map[recentKey]time.Time
}

// recentKey is one caller or account of one service.
type recentKey struct {
	service string
	account bool
	id      string
}

// NewRecent returns an empty memory.
func NewRecent() *Recent {
	r := &Recent{now: time.Now}
	for i := range r.shards {
		r.shards[i].seen = map[recentKey]time.Time{}
	}
	return r
}

// Note records a request. remote is the host:port of the caller.
func (r *Recent) Note(service, account, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	r.note(recentKey{service: service, id: host})
	if account != "" {
		r.note(recentKey{service: service, account: true, id: account})
	}
}

func (r *Recent) note(key recentKey) {
	part := &r.shards[shardOf(key.id)]
	now := r.now()
	part.mu.Lock()
	defer part.mu.Unlock()
	if _, known := part.seen[key]; !known && len(part.seen) >= recentLimit/recentShard {
		part.expire(now)
		if len(part.seen) >= recentLimit/recentShard {
			return
		}
	}
	part.seen[key] = now
}

func (p *recentPart) expire(now time.Time) {
	for key, at := range p.seen {
		if now.Sub(at) > recentTime {
			delete(p.seen, key)
		}
	}
}

// Seen are the callers and accounts of one service.
type Seen struct {
	Callers  []string `json:"callers,omitempty"`
	Accounts []string `json:"accounts,omitempty"`
}

// ByService returns what was seen lately, in no particular order.
func (r *Recent) ByService() map[string]Seen {
	result := map[string]Seen{}
	now := r.now()
	for i := range r.shards {
		part := &r.shards[i]
		part.mu.Lock()
		part.expire(now)
		for key := range part.seen {
			seen := result[key.service]
			if key.account {
				seen.Accounts = append(seen.Accounts, key.id)
			} else {
				seen.Callers = append(seen.Callers, key.id)
			}
			result[key.service] = seen
		}
		part.mu.Unlock()
	}
	return result
}

// shardOf spreads IDs over the shards (FNV-1a).
func shardOf(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h % recentShard
}
