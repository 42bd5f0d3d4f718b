package admit

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

const (
	// BurstSeconds is the burst that an account may send, in seconds of its rate.
	BurstSeconds = 1.0
	// DefaultMaxAccounts bounds the accounts that are tracked. It is about 1.4
	// times the design size of 48,000 accounts.
	DefaultMaxAccounts = 65536
	// accountShards is the number of shards, each with its own lock.
	accountShards = 64
)

// AccountLimiter limits the request rate of each account at one entry node. It
// is safe for concurrent use.
type AccountLimiter struct {
	seed        maphash.Seed
	maxPerShard int
	shards      [accountShards]accountShard
}

type accountShard struct {
	mu sync.Mutex
	// arrivalTimes holds the theoretical arrival time (TAT) of the generic cell
	// rate algorithm for each account, in Unix nanoseconds. From that time on
	// the account has its full burst again.
	arrivalTimes map[string]int64
}

// NewAccountLimiter returns a limiter that tracks at most about maxAccounts
// accounts; 0 means DefaultMaxAccounts.
func NewAccountLimiter(maxAccounts int) *AccountLimiter {
	if maxAccounts <= 0 {
		maxAccounts = DefaultMaxAccounts
	}
	l := &AccountLimiter{seed: maphash.MakeSeed(), maxPerShard: max(maxAccounts/accountShards, 1)}
	for i := range l.shards {
		l.shards[i].arrivalTimes = map[string]int64{}
	}
	return l
}

// Allow counts one request of the account, and returns an error of code
// AccountLimit if it exceeds ratePerSecond beyond the burst. A rate of 0 or
// less means no limit.
func (l *AccountLimiter) Allow(now time.Time, account string, ratePerSecond float64) error {
	if ratePerSecond <= 0 {
		return nil
	}
	interval := int64(float64(time.Second) / ratePerSecond)
	burst := max(int64(BurstSeconds*float64(time.Second)), interval)
	shard := &l.shards[maphash.String(l.seed, account)%accountShards]
	if !shard.allow(now.UnixNano(), account, interval, burst, l.maxPerShard) {
		return codes.AccountLimit.New("account %s exceeds %g requests/s at this node", account, ratePerSecond)
	}
	return nil
}

func (s *accountShard) allow(now int64, account string, interval, burst int64, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	arrival, known := s.arrivalTimes[account]
	next := max(arrival, now) + interval
	if next > now+burst {
		return false
	}
	if !known && len(s.arrivalTimes) >= limit {
		s.evict(now)
	}
	s.arrivalTimes[account] = next
	return true
}

// evict removes the accounts that have their full burst, which loses no state.
// If there is none, it removes the account closest to that, which gains at most
// one burst.
func (s *accountShard) evict(now int64) {
	earliest, evicted := "", false
	for account, arrival := range s.arrivalTimes {
		if arrival <= now {
			delete(s.arrivalTimes, account)
			evicted = true
		} else if earliest == "" || arrival < s.arrivalTimes[earliest] {
			earliest = account
		}
	}
	if !evicted {
		delete(s.arrivalTimes, earliest)
	}
}

// Accounts returns the number of accounts tracked.
func (l *AccountLimiter) Accounts() int {
	total := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		total += len(l.shards[i].arrivalTimes)
		l.shards[i].mu.Unlock()
	}
	return total
}
