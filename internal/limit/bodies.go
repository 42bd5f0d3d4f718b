package limit

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// BodyMemory bounds the bodies that are held at a time, in bytes, of requests by its
// Handler and of answers by its Holds. The limit
// of one body alone does not bound memory: 10,000 connections with 1 MiB each
// would hold 10 GiB.
type BodyMemory struct {
	limit int64
	held  atomic.Int64
}

// NewBodyMemory returns a bound of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// InUse returns the bytes that are held now.
func (b *BodyMemory) InUse() int64 { return b.held.Load() }

// Handler counts the body of each request from the arrival of its bytes until
// next returns. Beyond the limit, reading fails with code BodyMemory.
func (b *BodyMemory) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &heldBody{ReadCloser: r.Body, bodies: b}
		defer func() { b.held.Add(-body.size) }()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// heldBody counts the bytes of one body.
type heldBody struct {
	io.ReadCloser
	bodies *BodyMemory
	size   int64
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	n, err := h.ReadCloser.Read(p)
	h.size += int64(n)
	if h.bodies.held.Add(int64(n)) > h.bodies.limit {
		return n, codes.BodyMemory.New("the node holds bodies of %d bytes", h.bodies.limit)
	}
	return n, err
}
