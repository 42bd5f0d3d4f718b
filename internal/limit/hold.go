package limit

import (
	"errors"
	"fmt"
	"io"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// ErrTooLong reports that a single body exceeds its limit.
var ErrTooLong = errors.New("the body is too long")

// initialBufferSize is the size in bytes of the first buffer for a body of unknown length. The
// buffer doubles as the body grows.
const initialBufferSize = 4 << 10

// NewReservation returns an empty reservation for the answers to one request.
func (b *BodyMemory) NewReservation() *Reservation { return &Reservation{memory: b} }

// Reservation is the memory reserved for the answers to one request. The nil Reservation has no
// bound. It is not safe for concurrent use.
type Reservation struct {
	memory *BodyMemory
	bytes  int64
}

// Reserve adds memory, and returns false if the bound does not allow it.
func (r *Reservation) Reserve(bytes int64) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	if r.memory.inUse.Add(bytes) > r.memory.limit {
		r.memory.inUse.Add(-bytes)
		return false
	}
	r.bytes += bytes
	return true
}

// Release returns all reserved memory.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.memory.inUse.Add(-r.bytes)
	r.bytes = 0
}

// Read reads a complete body. length is the announced length, or -1 if there is none; limit bounds
// the body in bytes. After an error the rest of the body is unread.
func (r *Reservation) Read(reader io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes announced, at most %d", ErrTooLong, length, limit)
	}
	if length >= 0 {
		if !r.Reserve(length) {
			return nil, r.errLimitReached()
		}
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	return r.readUnknownLength(reader, limit)
}

// readUnknownLength reads a body without an announced length.
func (r *Reservation) readUnknownLength(reader io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), initialBufferSize), limit+1)
			if int64(len(body)) > limit {
				return nil, fmt.Errorf("%w: at most %d bytes", ErrTooLong, limit)
			}
			if !r.Reserve(size - int64(cap(body))) {
				return nil, r.errLimitReached()
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
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

func (r *Reservation) errLimitReached() error {
	return codes.BodyMemory.New("the node holds bodies of %d bytes", r.memory.limit)
}
