package platform

import (
	"context"
	"sync"
	"time"
)

// Rate limits of the platform, which the stand-in enforces by default.
const (
	// DefaultWritesPerSecond is the number of rows or objects written per second.
	DefaultWritesPerSecond = 500
	// DefaultReadsPerSecond is the number of get and scan calls per second.
	DefaultReadsPerSecond = 2000
)

// bucket is a token bucket with a capacity of one second's tokens.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: rate, last: time.Now()}
}

// take removes cost tokens if at least one is left. The level may become negative,
// so that a call that costs more than one second's tokens is possible.
func (b *bucket) take(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens -= cost
	return true
}

// RateLimited is a Store and ObjectStore that refuses calls above a rate with
// ErrRateLimited, before they take effect. A read call costs one read; a
// transaction costs one write for each row that it writes.
type RateLimited struct {
	store   Store
	objects ObjectStore
	writes  *bucket
	reads   *bucket
}

// NewRateLimited returns store and objects limited together to the given writes
// and reads per second.
func NewRateLimited(store Store, objects ObjectStore, writesPerSecond, readsPerSecond float64) *RateLimited {
	return &RateLimited{
		store:   store,
		objects: objects,
		writes:  newBucket(writesPerSecond),
		reads:   newBucket(readsPerSecond),
	}
}

// Get implements Store.
func (l *RateLimited) Get(ctx context.Context, table, key string) (Row, error) {
	if !l.reads.take(1) {
		return Row{Key: key}, ErrRateLimited
	}
	return l.store.Get(ctx, table, key)
}

// Scan implements Store.
func (l *RateLimited) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	if !l.reads.take(1) {
		return nil, ErrRateLimited
	}
	return l.store.Scan(ctx, table, prefix, after, limit)
}

// Transact implements Store.
func (l *RateLimited) Transact(ctx context.Context, table string, checks []Check, writes []Write) error {
	if !l.writes.take(float64(max(1, len(writes)))) {
		return ErrRateLimited
	}
	return l.store.Transact(ctx, table, checks, writes)
}

// GetObject implements ObjectStore.
func (l *RateLimited) GetObject(ctx context.Context, name string) (Object, error) {
	if !l.reads.take(1) {
		return Object{Name: name}, ErrRateLimited
	}
	return l.objects.GetObject(ctx, name)
}

// PutObject implements ObjectStore.
func (l *RateLimited) PutObject(ctx context.Context, name string, data []byte, ifVersion uint64) (uint64, error) {
	if !l.writes.take(1) {
		return 0, ErrRateLimited
	}
	return l.objects.PutObject(ctx, name, data, ifVersion)
}
