package admit

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

const (
	// BurstSeconds is the length of the burst of an account, in seconds of its rate.
	BurstSeconds = 1.0
	// DefaultMaxAccounts bounds the accounts that are kept: about 1.4 times the
	// 48,000 of the size to design for.
	DefaultMaxAccounts = 65536
	accountShards      = 64
)

// AccountLimiter limits the request rate of each account at one entry node. It
// is safe for concurrent use.
type AccountLimiter struct {
	seed     maphash.Seed
	perShard int
	shards   [accountShards]accountShard
}

type accountShard struct {
	mu sync.Mutex
	// free holds, in Unix nanoseconds, the time from which the account has its
	// whole burst again.
	free map[string]int64
}

// NewAccountLimiter returns a limiter that keeps at most about maxAccounts
// accounts; 0 stands for DefaultMaxAccounts.
func NewAccountLimiter(maxAccounts int) *AccountLimiter {
	if maxAccounts <= 0 {
		maxAccounts = DefaultMaxAccounts
	}
	l := &AccountLimiter{seed: maphash.MakeSeed(), perShard: max(maxAccounts/accountShards, 1)}
	for i := range l.shards {
		l.shards[i].free = map[string]int64{}
	}
	return l
}

// Allow counts one request of the account, and returns an error of code
// AccountLimit if it exceeds ratePerSecond and the burst. A rate of 0 or less
// means no limit.
func (l *AccountLimiter) Allow(now time.Time, account string, ratePerSecond float64) error {
	if ratePerSecond <= 0 {
		return nil
	}
	interval := int64(float64(time.Second) / ratePerSecond)
	burst := max(int64(BurstSeconds*float64(time.Second)), interval)
	shard := &l.shards[maphash.String(l.seed, account)%accountShards]
	if !shard.take(now.UnixNano(), account, interval, burst, l.perShard) {
		return codes.AccountLimit.New("account %s exceeds %g requests/s at this node", account, ratePerSecond)
	}
	return nil
}

func (s *accountShard) take(now int64, account string, interval, burst int64, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	free, known := s.free[account]
	next := max(free, now) + interval
	if next > now+burst {
		return false
	}
	if !known && len(s.free) >= limit {
		s.makeRoom(now)
	}
	s.free[account] = next
	return true
}

// makeRoom drops the accounts that have their whole burst, which loses
// nothing. If there is none, the one nearest to that is dropped: it gains at
// most one burst.
func (s *accountShard) makeRoom(now int64) {
	nearest, dropped := "", false
	for account, free := range s.free {
		if free <= now {
			delete(s.free, account)
			dropped = true
		} else if nearest == "" || free < s.free[nearest] {
			nearest = account
		}
	}
	if !dropped {
		delete(s.free, nearest)
	}
}

// Accounts returns the number of accounts kept.
func (l *AccountLimiter) Accounts() int {
	total := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		total += len(l.shards[i].free)
		l.shards[i].mu.Unlock()
	}
	return total
}
