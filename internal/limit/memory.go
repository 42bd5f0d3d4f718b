package limit

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

const (
	// smallBody is the size in bytes up to which a request body may use the whole account.
	smallBody = 64 << 10
	// smallShare is the part of the account, as a divisor, that longer request bodies must leave free.
	smallShare = 8
	// receiveStall and sendStall are how long a client may make no progress with its request, and with
	// reading an answer, before it gives way when memory is short. An answer is worth more, because
	// its request has run.
	receiveStall = time.Second
	sendStall    = 5 * time.Second
	// reserveWait is how long a request waits for the memory of evicted ones.
	reserveWait = 250 * time.Millisecond
)

// Memory bounds the bytes that a process holds for its clients at a time. A limit on each body alone
// does not bound memory: 10,000 connections with 1 MiB each would take 10 GiB. It is safe for
// concurrent use.
type Memory struct {
	limit int64
	now   func() time.Time

	mu    sync.Mutex
	inUse int64
	// pending are the reservations whose client has to send or to read.
	pending map[*Reservation]struct{}
	// released is closed and replaced when memory is released.
	released chan struct{}
	counts   MemoryCounts
}

// MemoryCounts counts events since the start.
type MemoryCounts struct {
	// Refused counts reservations that were refused, Evicted those that had to give way.
	Refused, Evicted int64
}

// NewMemory returns an account of limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, now: time.Now, pending: map[*Reservation]struct{}{}, released: make(chan struct{})}
}

// InUse returns the bytes that are reserved.
func (m *Memory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// Counts returns the counts so far.
func (m *Memory) Counts() MemoryCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// reserve adds bytes to a reservation if spare bytes stay free. Otherwise it returns a channel that is
// closed when memory is released.
func (m *Memory) reserve(r *Reservation, bytes, spare int64) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inUse+bytes > m.limit-spare {
		return false, m.released
	}
	m.inUse += bytes
	r.bytes += bytes
	return true, nil
}

func (m *Memory) release(r *Reservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, r)
	if r.bytes == 0 {
		return
	}
	m.inUse -= r.bytes
	r.bytes = 0
	close(m.released)
	m.released = make(chan struct{})
}

// EvictStalled evicts the largest reservations of stalled clients until they hold at least bytes, except
// for one. It returns false if too few have stalled; then it evicts those.
func (m *Memory) EvictStalled(bytes int64, except *Reservation) bool {
	for bytes > 0 {
		victim, size := m.takeStalled(except)
		if victim == nil {
			return false
		}
		bytes -= max(size, 1)
		victim()
	}
	return true
}

// takeStalled marks the largest reservation of a stalled client as evicted. It returns the function that
// ends it, and its size.
func (m *Memory) takeStalled(except *Reservation) (func(), int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var largest *Reservation
	for r := range m.pending {
		if r != except && now.Sub(r.progressAt) >= r.stall && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	if largest == nil {
		return nil, 0
	}
	largest.evicted = true
	delete(m.pending, largest)
	m.counts.Evicted++
	return largest.evict, largest.bytes
}

// Handler counts the body of each request from the arrival of its bytes until next returns. Beyond
// the limit, reading fails with code BodyMemory.
func (m *Memory) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		reservation := m.NewReservation()
		defer reservation.Release()
		r.Body = &countedBody{ReadCloser: r.Body, reservation: reservation}
		next.ServeHTTP(w, r)
	})
}

// countedBody counts the bytes of one request body.
type countedBody struct {
	io.ReadCloser
	reservation *Reservation
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if !c.reservation.Reserve(int64(n)) {
		return n, c.reservation.errLimitReached()
	}
	return n, err
}

func (m *Memory) errLimitReached() error {
	return codes.BodyMemory.New("the node holds %d bytes for its clients", m.limit)
}
