package entry

import (
	"net"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/intent"
)

const (
	// recentTime is how long a caller counts as seen lately.
	recentTime = 10 * time.Minute
	// recentLimit bounds the callers and accounts that one node remembers for
	// each service: a fifth of the 48,000 client accounts.
	recentLimit = 10_000
	recentShard = 16
)

// RecentUsage remembers which callers and client accounts used each service lately.
// Plans name them. It is safe for concurrent use.
type RecentUsage struct {
	shards [recentShard]recentPart
	now    func() time.Time
}

type recentPart struct {
	mu   sync.Mutex
	seen map[recentKey]recentUse
}

// recentKey is one caller or account of one service.
type recentKey struct {
	service string
	account bool
	id      string
}

// recentUse is the use of one service by one caller or account.
type recentUse struct {
	requests uint64
	at       time.Time
}

// NewRecentUsage returns an empty memory.
func NewRecentUsage() *RecentUsage {
	r := &RecentUsage{now: time.Now}
	for i := range r.shards {
		r.shards[i].seen = map[recentKey]recentUse{}
	}
	return r
}

// Record records a request. remote is the host:port of the caller.
func (r *RecentUsage) Record(service, account, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	r.note(recentKey{service: service, id: host})
	if account != "" {
		r.note(recentKey{service: service, account: true, id: account})
	}
}

func (r *RecentUsage) note(key recentKey) {
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
	use := part.seen[key]
	use.requests++
	use.at = now
	part.seen[key] = use
}

func (p *recentPart) expire(now time.Time) {
	for key, use := range p.seen {
		if now.Sub(use.at) > recentTime {
			delete(p.seen, key)
		}
	}
}

// Uses returns the callers and the accounts that were seen lately, in no
// particular order.
func (r *RecentUsage) Uses() (callers, accounts []intent.Use) {
	now := r.now()
	for i := range r.shards {
		part := &r.shards[i]
		part.mu.Lock()
		part.expire(now)
		for key, seen := range part.seen {
			use := intent.Use{Name: key.id, Service: key.service, Requests: seen.requests, LastSeen: seen.at.Round(0)}
			if key.account {
				accounts = append(accounts, use)
			} else {
				callers = append(callers, use)
			}
		}
		part.mu.Unlock()
	}
	return callers, accounts
}

// shardOf spreads IDs over the shards (FNV-1a).
func shardOf(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h % recentShard
}
