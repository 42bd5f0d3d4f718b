package atmostonce

import (
	"context"
	"errors"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
)

const (
	shardCount = 64
	// entryOverhead is the memory that an entry takes beside its answer, in bytes.
	// BenchmarkLedgerMemory shows it: 547 bytes a record with an answer of 200.
	entryOverhead = 350
)

type state int

const (
	pending state = iota
	dispatched
	done
	fenced
)

// record is one request in the ledger. mu of its shard guards it.
type record struct {
	state       state
	fingerprint uint64
	// finished is closed when the record becomes done or fenced.
	finished chan struct{}
	reply    *forward.Reply
	bytes    int64
	// expires is the time, on the clock of the ledger, at which the record may go.
	expires time.Duration
}

type shard struct {
	mu      sync.Mutex
	records map[string]*record
}

// Limits bounds the memory of a ledger.
type Limits struct {
	// Entries is the largest number of records.
	Entries int
	// Bytes is the largest sum of the kept answers.
	Bytes int64
	// Retention is how long a request without a key, or a fence, is remembered.
	Retention time.Duration
}

// Ledger records the non-idempotent requests of one host incarnation. It is
// safe for concurrent use.
type Ledger struct {
	limits  Limits
	shards  [shardCount]shard
	seed    maphash.Seed
	entries atomic.Int64
	bytes   atomic.Int64
	clock   *Clock
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits, clock *Clock) *Ledger {
	l := &Ledger{limits: limits, seed: maphash.MakeSeed(), clock: clock}
	for i := range l.shards {
		l.shards[i].records = map[string]*record{}
	}
	return l
}

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.entries.Load()) }

// Bytes returns the memory of the kept answers.
func (l *Ledger) Bytes() int64 { return l.bytes.Load() }

func (l *Ledger) shard(id string) *shard {
	return &l.shards[maphash.String(l.seed, id)%shardCount]
}

// Claim is the right to dispatch one request. Finish, NotRun or a
// successful Fence must end it.
type Claim struct {
	ledger *Ledger
	id     string
	record *record
}

// Begin claims the request with the given ID until expires, by the clock of
// the ledger; zero means the retention of the ledger. If the request is known
// already, Begin waits for its end and returns the kept reply instead of a
// claim. The error has one of the codes Fenced, KeyReused, KeyRunning,
// KeyExpired and LedgerFull.
func (l *Ledger) Begin(ctx context.Context, id string, fingerprint uint64, expires time.Time) (*Claim, *forward.Reply, error) {
	end := l.clock.Elapsed() + l.limits.Retention
	if !expires.IsZero() {
		end = l.clock.At(expires)
	}
	if end <= l.clock.Elapsed() {
		return nil, nil, codes.KeyExpired.New("the key expired at %s", expires.UTC().Format(time.RFC3339))
	}
	claim, known := l.insert(id, fingerprint, end)
	if claim != nil {
		return claim, nil, nil
	}
	if known == nil {
		return nil, nil, codes.LedgerFull.New("the ledger holds %d requests", l.Len())
	}
	reply, err := l.await(ctx, known, fingerprint)
	return nil, reply, err
}

func (l *Ledger) insert(id string, fingerprint uint64, end time.Duration) (*Claim, *record) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.records[id]; ok {
		return nil, known
	}
	if l.full() {
		return nil, nil
	}
	r := &record{fingerprint: fingerprint, finished: make(chan struct{}), expires: end}
	s.records[id] = r
	l.entries.Add(1)
	return &Claim{ledger: l, id: id, record: r}, nil
}

func (l *Ledger) full() bool {
	return l.entries.Load() >= int64(l.limits.Entries) || l.bytes.Load() >= l.limits.Bytes
}

func (l *Ledger) await(ctx context.Context, r *record, fingerprint uint64) (*forward.Reply, error) {
	if r.fingerprint != fingerprint && r.fingerprint != 0 {
		return nil, codes.KeyReused.New("the key belongs to another request")
	}
	select {
	case <-r.finished:
	case <-ctx.Done():
		return nil, codes.KeyRunning.New("the request with this key has not ended yet")
	}
	if r.reply == nil {
		return nil, codes.Fenced.New("the request was fenced")
	}
	return r.reply.Replay(), nil
}

// ErrFenced is returned by Dispatch for a request that was fenced meanwhile.
var ErrFenced = errors.New("request was fenced")

// Dispatch marks the request as dispatched. It must be called right before the
// request is sent to the backend server, and fails with ErrFenced if the
// request was fenced while it was pending.
func (c *Claim) Dispatch() error {
	s := c.ledger.shard(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.record.state == fenced {
		return ErrFenced
	}
	c.record.state = dispatched
	return nil
}

// Finish keeps the reply of a dispatched request. A reply that must not be
// kept whole is passed without its body and with the code AnswerCut.
func (c *Claim) Finish(reply *forward.Reply) {
	s := c.ledger.shard(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.record.state == fenced {
		return
	}
	c.record.state = done
	c.record.reply = reply
	c.record.bytes = reply.Size() + entryOverhead
	c.ledger.bytes.Add(c.record.bytes)
	close(c.record.finished)
}

// Fence ends a request so that it never runs under this ID, and reports
// whether it did: not if the request was dispatched before.
func (c *Claim) Fence() bool {
	s := c.ledger.shard(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.record.state == dispatched {
		return false
	}
	c.ledger.fence(c.record)
	return c.record.state == fenced
}

// NotRun ends a request that was dispatched and that certainly did not run,
// because the backend server refused it or no connection was made. It never
// runs under this ID.
func (c *Claim) NotRun() {
	s := c.ledger.shard(c.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ledger.fence(c.record)
}

func (l *Ledger) fence(r *record) {
	if r.state == fenced || r.state == done {
		return
	}
	r.state = fenced
	close(r.finished)
}

// FenceState is the answer to a fence call.
type FenceState string

// The fence states.
const (
	// NeverDispatched says that the request was not dispatched and never will be.
	NeverDispatched FenceState = "never-dispatched"
	// Running says that the request was dispatched and has not ended.
	Running FenceState = "running"
	// Done says that the request has ended; the reply is given.
	Done FenceState = "done"
	// NotKnown says that the host incarnation that may know is gone, or that the
	// key has expired.
	NotKnown FenceState = "not-known"
)

// Fence makes sure that a request that was not dispatched never will be, and
// returns what is known about it. An unknown ID is fenced for the retention of
// the ledger, which is longer than an old request can still arrive. expires is
// the expiry of a key, zero for a request without one. The record of an
// expired key may be gone, so nothing is promised about it.
func (l *Ledger) Fence(id string, expires time.Time) (FenceState, *forward.Reply) {
	end := l.clock.Elapsed() + l.limits.Retention
	if !expires.IsZero() {
		end = l.clock.At(expires)
	}
	if end <= l.clock.Elapsed() {
		return NotKnown, nil
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		r = &record{finished: make(chan struct{}), expires: end}
		s.records[id] = r
		l.entries.Add(1)
	}
	switch r.state {
	case done:
		return Done, r.reply.Replay()
	case dispatched:
		return Running, nil
	}
	l.fence(r)
	return NeverDispatched, nil
}

// FenceTarget names a request at its host.
type FenceTarget struct {
	// Host and HostIncarnation name the ledger.
	Host            string
	HostIncarnation uint64
	// ID is the ID in the ledger.
	ID string
	// Expires is the expiry of the key; zero for a request without one.
	Expires time.Time
}

// Sweep removes expired records. A record that still runs stays.
func (l *Ledger) Sweep() {
	now := l.clock.Elapsed()
	for i := range l.shards {
		l.sweepShard(&l.shards[i], now)
	}
}

func (l *Ledger) sweepShard(s *shard, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if r.expires > now || r.state == pending || r.state == dispatched {
			continue
		}
		delete(s.records, id)
		l.entries.Add(-1)
		l.bytes.Add(-r.bytes)
	}
}
