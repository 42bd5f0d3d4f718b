package limit

import (
	"errors"
	"fmt"
	"io"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// ErrTooLong says that one body exceeds its limit.
var ErrTooLong = errors.New("the body is too long")

// firstStep is the memory in bytes that a body of unknown length takes first. It
// doubles with the body.
const firstStep = 4 << 10

// NewReservation returns a part of the bound for the answers that one request brings.
func (b *BodyMemory) NewReservation() *Reservation { return &Reservation{bodies: b} }

// Reservation is the memory of the answers that one request brings. The nil Reservation has no bound. It is
// not safe for concurrent use.
type Reservation struct {
	bodies *BodyMemory
	bytes  int64
}

// Reserve adds memory, and returns false if the bound does not allow it.
func (h *Reservation) Reserve(bytes int64) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	if h.bodies.held.Add(bytes) > h.bodies.limit {
		h.bodies.held.Add(-bytes)
		return false
	}
	h.bytes += bytes
	return true
}

// Release gives all memory back.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	h.bodies.held.Add(-h.bytes)
	h.bytes = 0
}

// Read reads a body whole. length is the announced length, or -1 if none is; limit
// bounds the body in bytes. After an error the rest of the body is unread.
func (h *Reservation) Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes announced, at most %d", ErrTooLong, length, limit)
	}
	if length >= 0 {
		if !h.Reserve(length) {
			return nil, h.full()
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return h.readOpen(r, limit)
}

// readOpen reads a body of unknown length.
func (h *Reservation) readOpen(r io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstStep), limit+1)
			if int64(len(body)) > limit {
				return nil, fmt.Errorf("%w: at most %d bytes", ErrTooLong, limit)
			}
			if !h.Reserve(size - int64(cap(body))) {
				return nil, h.full()
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(body)) > limit {
				return nil, fmt.Errorf("%w: at most %d bytes", ErrTooLong, limit)
			}
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (h *Reservation) full() error {
	return codes.BodyMemory.New("the node holds bodies of %d bytes", h.bodies.limit)
}
