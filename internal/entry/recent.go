package entry

import (
	"net"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/intent"
)

const (
	// usageRetention is how long after its last request a caller or account is kept.
	usageRetention = 10 * time.Minute
	// maxUsageEntries limits the entries of one node, each a caller or an account at
	// one service, to about a fifth of the 48,000 client accounts.
	maxUsageEntries = 10_000
	usageShardCount = 16
)

// RecentUsage tracks which callers and client accounts used each service recently,
// so that a plan can list those it affects. It is safe for concurrent use.
type RecentUsage struct {
	shards [usageShardCount]usageShard
	now    func() time.Time
}

type usageShard struct {
	mu   sync.Mutex
	uses map[usageKey]usageRecord
}

// usageKey identifies a caller or an account at one service.
type usageKey struct {
	service string
	account bool
	id      string
}

// usageRecord is the recent use of one service by one caller or account.
type usageRecord struct {
	requests uint64
	lastSeen time.Time
}

// NewRecentUsage returns an empty RecentUsage.
func NewRecentUsage() *RecentUsage {
	r := &RecentUsage{now: time.Now}
	for i := range r.shards {
		r.shards[i].uses = map[usageKey]usageRecord{}
	}
	return r
}

// Record counts a request to service. remote is the caller's host:port.
func (r *RecentUsage) Record(service, account, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	r.record(usageKey{service: service, id: host})
	if account != "" {
		r.record(usageKey{service: service, account: true, id: account})
	}
}

func (r *RecentUsage) record(key usageKey) {
	shard := &r.shards[shardOf(key.id)]
	now := r.now()
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, known := shard.uses[key]; !known && len(shard.uses) >= maxUsageEntries/usageShardCount {
		shard.deleteExpired(now)
		if len(shard.uses) >= maxUsageEntries/usageShardCount {
			return
		}
	}
	use := shard.uses[key]
	use.requests++
	use.lastSeen = now
	shard.uses[key] = use
}

func (s *usageShard) deleteExpired(now time.Time) {
	for key, use := range s.uses {
		if now.Sub(use.lastSeen) > usageRetention {
			delete(s.uses, key)
		}
	}
}

// Uses returns the recent callers and accounts, in no particular order.
func (r *RecentUsage) Uses() (callers, accounts []intent.Use) {
	now := r.now()
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		shard.deleteExpired(now)
		for key, record := range shard.uses {
			use := intent.Use{Name: key.id, Service: key.service, Requests: record.requests, LastSeen: record.lastSeen.Round(0)}
			if key.account {
				accounts = append(accounts, use)
			} else {
				callers = append(callers, use)
			}
		}
		shard.mu.Unlock()
	}
	return callers, accounts
}

// shardOf returns the shard of an ID by its FNV-1a hash.
func shardOf(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	return h % usageShardCount
}
