package permit

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// AskWithin is the time, besides its wait in the queue and the transfer of its body, in which a
	// host asks for the permit: connecting, a round trip between regions, and one lost packet.
	AskWithin = 400 * time.Millisecond
	// GrantWithin is how long a host that has asked waits for the permit.
	GrantWithin = 300 * time.Millisecond
	// minBodyRate is the rate in bytes per second at which a body passes a slow link that others use.
	minBodyRate = 250_000
	// granted is the byte that follows the body of a request when the permit is granted.
	granted = 'G'
)

// ErrWithdrawn ends the body of a request whose permit was withdrawn.
var ErrWithdrawn = errors.New("the permit to run the request was withdrawn")

// Patience returns how long the entry waits to be asked, for a request that may wait in the queue of the
// host and has a body of the given length in bytes.
func Patience(queue time.Duration, body int) time.Duration {
	return AskWithin + queue + time.Duration(body)*time.Second/minBodyRate
}

// Permit is the permit of one hop, kept at the entry. The zero value is not usable.
type Permit struct {
	mu        sync.Mutex
	asked     bool
	granted   bool
	withdrawn bool
	// changed is closed when the host has asked or the permit was withdrawn.
	changed chan struct{}
}

// New returns a permit that was neither asked for nor withdrawn.
func New() *Permit { return &Permit{changed: make(chan struct{})} }

// Ask records that the host is about to run the request.
func (p *Permit) Ask() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked && !p.withdrawn {
		close(p.changed)
	}
	p.asked = true
}

// Withdraw makes sure that the host will not run the request. It returns false if the permit was
// granted, so that the request may run.
func (p *Permit) Withdraw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.granted {
		return false
	}
	if !p.asked && !p.withdrawn {
		close(p.changed)
	}
	p.withdrawn = true
	return true
}

// WithdrawUnasked withdraws the permit if the host has not asked for it; it returns whether it did.
func (p *Permit) WithdrawUnasked() bool {
	p.mu.Lock()
	asked := p.asked
	p.mu.Unlock()
	return !asked && p.Withdraw()
}

// grant reports whether the permit may be sent to the host; from then on it can't be withdrawn.
func (p *Permit) grant() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = p.granted || p.asked && !p.withdrawn
	return p.granted
}

// Body returns the body of a hop: that of the request, and one byte more once the host has asked.
// Read waits for that; Close ends the wait and withdraws the permit unless it was granted.
func (p *Permit) Body(request io.Reader) io.ReadCloser { return &body{permit: p, request: request} }

// body is read by one goroutine and closed by any.
type body struct {
	permit  *Permit
	request io.Reader
	ended   bool
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if b.ended {
		return 0, io.EOF
	}
	if b.request != nil {
		n, err := b.request.Read(data)
		if errors.Is(err, io.EOF) {
			b.request, err = nil, nil
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
	<-b.permit.changed
	if !b.permit.grant() {
		return 0, ErrWithdrawn
	}
	data[0], b.ended = granted, true
	return 1, nil
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.permit.Withdraw()
	return nil
}

// Receive waits at the host for the byte that grants a permit. It returns false if the body ends
// otherwise.
func Receive(rest io.Reader) bool {
	var data [1]byte
	n, _ := io.ReadFull(rest, data[:])
	return n == 1 && data[0] == granted
}
