package limit

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// BodyMemory bounds the total size in bytes of the bodies that are in memory at a time: request
// bodies read through its Handler, and answer bodies read through its Reservations. A limit on each
// body alone does not bound memory: 10,000 connections with 1 MiB each would take 10 GiB.
type BodyMemory struct {
	limit int64
	inUse atomic.Int64
}

// NewBodyMemory returns a bound of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// InUse returns the bytes in memory now.
func (b *BodyMemory) InUse() int64 { return b.inUse.Load() }

// Handler counts the body of each request from the arrival of its bytes until next returns. Beyond
// the limit, reading fails with code BodyMemory.
func (b *BodyMemory) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &countedBody{ReadCloser: r.Body, memory: b}
		defer func() { b.inUse.Add(-body.size) }()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// countedBody counts the bytes of one request body.
type countedBody struct {
	io.ReadCloser
	memory *BodyMemory
	size   int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.size += int64(n)
	if c.memory.inUse.Add(int64(n)) > c.memory.limit {
		return n, codes.BodyMemory.New("the node holds bodies of %d bytes", c.memory.limit)
	}
	return n, err
}
