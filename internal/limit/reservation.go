package limit

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrTooLong reports that a single body exceeds its limit.
var ErrTooLong = errors.New("the body is too long")

const (
	// firstSegment and lastSegment bound the size in bytes of the segments of a body, which doubles.
	firstSegment = 4 << 10
	lastSegment  = 1 << 20
	// progressBytes is what a client has to send or read to have made progress.
	progressBytes = 16 << 10
	// sendPiece is how many bytes of an answer are written with one deadline, and sendTimeout that
	// deadline. A client that reads more slowly than their ratio is cut off.
	sendPiece   = 64 << 10
	sendTimeout = 20 * time.Second
)

// NewReservation returns an empty reservation for one request.
func (m *Memory) NewReservation() *Reservation { return &Reservation{memory: m} }

// Reservation is the memory reserved for one request and its answers. The nil Reservation has no
// bound. It is not safe for concurrent use.
type Reservation struct {
	memory *Memory

	// The fields below are guarded by memory.mu.
	bytes int64
	// evict ends the wait for the client. evicted is set before it is called.
	evict   func()
	evicted bool
	// progressAt is when the client last made progress, and stall how long it may make none when
	// memory is short.
	progressAt time.Time
	stall      time.Duration
	// unreported are the bytes since progressAt.
	unreported int
}

// Reserve adds memory, and returns false if the bound does not allow it.
func (r *Reservation) Reserve(bytes int64) bool {
	if r == nil || bytes <= 0 {
		return true
	}
	if ok, _ := r.memory.reserve(r, bytes, 0); ok {
		return true
	}
	return r.refuse()
}

// refuse counts a refusal. It returns false.
func (r *Reservation) refuse() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.counts.Refused++
	return false
}

// reserveOrEvict is Reserve that leaves spare bytes free, and makes stalled clients give way.
func (r *Reservation) reserveOrEvict(bytes, spare int64) bool {
	if r == nil {
		return true
	}
	ok, released := r.memory.reserve(r, bytes, spare)
	if ok {
		return true
	}
	if !r.memory.EvictStalled(bytes, r) {
		return r.refuse()
	}
	timeout := time.NewTimer(reserveWait)
	defer timeout.Stop()
	for {
		select {
		case <-released:
		case <-timeout.C:
			return r.refuse()
		}
		if ok, released = r.memory.reserve(r, bytes, spare); ok {
			return true
		}
	}
}

// Release returns all reserved memory.
func (r *Reservation) Release() {
	if r != nil {
		r.memory.release(r)
	}
}

// await marks the client as the one to act. evict is called from another goroutine, at most once, if
// it stalls while memory is short.
func (r *Reservation) await(stall time.Duration, evict func()) {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.stall, r.evict, r.progressAt, r.unreported = stall, evict, r.memory.now(), 0
	r.memory.pending[r] = struct{}{}
}

// settle ends await. It returns an error if the client had to give way, in which case evict may still
// be running.
func (r *Reservation) settle() error {
	if r == nil {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	delete(r.memory.pending, r)
	if r.evicted {
		return r.errLimitReached()
	}
	return nil
}

// progress records that the client has sent or read bytes. It returns false if the client had to
// give way.
func (r *Reservation) progress(bytes int) bool {
	if r == nil {
		return true
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.unreported += bytes; r.unreported >= progressBytes {
		r.progressAt, r.unreported = r.memory.now(), 0
	}
	return !r.evicted
}

// Receive reads the body of a client's request until deadline. Errors have code BodyMemory if there
// is no memory for it, or wrap ErrTooLong.
func (r *Reservation) Receive(w http.ResponseWriter, request *http.Request, limit int64, deadline time.Time) (Body, error) {
	if request.ContentLength > limit {
		return Body{}, fmt.Errorf("%w: %d bytes announced, at most %d", ErrTooLong, request.ContentLength, limit)
	}
	if request.ContentLength == 0 {
		return Body{}, nil
	}
	if r != nil && request.ContentLength > r.memory.limit-r.spare(request.ContentLength) {
		// It can never be held.
		return Body{}, r.errLimitReached()
	}
	control := http.NewResponseController(w)
	// net/http resets the deadline at the end of the body. Response recorders in tests do not support
	// deadlines.
	_ = control.SetReadDeadline(deadline)
	r.await(receiveStall, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := r.read(request.Body, request.ContentLength, limit, true)
	if evicted := r.settle(); evicted != nil {
		return Body{}, evicted
	}
	return body, err
}

// Read reads a complete body of an answer. length is the announced length, or -1 if there is none;
// limit bounds the body in bytes. After an error the rest of the body is unread.
func (r *Reservation) Read(reader io.Reader, length, limit int64) (Body, error) {
	if length > limit {
		return Body{}, fmt.Errorf("%w: %d bytes announced, at most %d", ErrTooLong, length, limit)
	}
	return r.read(reader, length, limit, false)
}

// read reads a body into segments that are reserved one by one.
func (r *Reservation) read(reader io.Reader, length, limit int64, request bool) (Body, error) {
	var body Body
	for size := int64(firstSegment); length < 0 || body.size < length; size = min(2*size, lastSegment) {
		// One byte more than the limit tells whether the body exceeds it.
		rest := limit + 1 - body.size
		if length >= 0 {
			rest = length - body.size
		}
		size = min(size, rest)
		spare := int64(0)
		if request {
			spare = r.spare(body.size + size)
		}
		if !r.reserveOrEvict(size, spare) {
			return Body{}, r.errLimitReached()
		}
		segment, err := r.fill(reader, make([]byte, size))
		body.add(segment)
		switch {
		case body.size > limit:
			return Body{}, fmt.Errorf("%w: at most %d bytes", ErrTooLong, limit)
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF) && body.size < length:
			return Body{}, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return Body{}, err
		}
	}
	return body, nil
}

// spare returns the bytes that a request body of a size must leave free.
func (r *Reservation) spare(size int64) int64 {
	if r == nil || size <= smallBody {
		return 0
	}
	return r.memory.limit / smallShare
}

// fill reads until the segment is full, and returns the part that was read.
func (r *Reservation) fill(reader io.Reader, segment []byte) ([]byte, error) {
	filled := 0
	for filled < len(segment) {
		n, err := reader.Read(segment[filled:])
		filled += n
		if err != nil {
			return segment[:filled], err
		}
		if !r.progress(n) {
			return segment[:filled], r.errLimitReached()
		}
	}
	return segment, nil
}

// Send writes an answer to a client. A client that reads too slowly, or stalls while memory is short,
// is cut off, which is an error.
func (r *Reservation) Send(w http.ResponseWriter, body Body) error {
	control := http.NewResponseController(w)
	r.await(sendStall, func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
	err := r.sendPieces(w, body)
	if evicted := r.settle(); evicted != nil {
		return evicted
	}
	return err
}

func (r *Reservation) sendPieces(w http.ResponseWriter, body Body) error {
	for _, segment := range body.segments {
		for len(segment) > 0 {
			piece := segment[:min(len(segment), sendPiece)]
			segment = segment[len(piece):]
			ExtendWrite(w)
			n, err := w.Write(piece)
			if err != nil {
				return err
			}
			if !r.progress(n) {
				return r.errLimitReached()
			}
		}
	}
	return nil
}

// ExtendWrite gives the client some time to read what is written next.
func ExtendWrite(w http.ResponseWriter) {
	// Response recorders in tests do not support deadlines; a closed connection shows in the write.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(sendTimeout))
}

func (r *Reservation) errLimitReached() error { return r.memory.errLimitReached() }
