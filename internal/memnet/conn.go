package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network       *Network
	local, remote string
	in, out       *pipe
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) { return c.in.read(buffer) }

// Write implements net.Conn. It never blocks.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.close(net.ErrClosed)
	c.out.close(io.EOF)
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn. Writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// chunk is the data of one write. It can be read from arrivesAt on.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// pipe carries the bytes of one direction of a connection.
type pipe struct {
	blocked func() bool
	delay   time.Duration

	mu       sync.Mutex
	chunks   []chunk
	closeErr error
	deadline time.Time
	changed  chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeErr != nil {
		return 0, errReset
	}
	p.chunks = append(p.chunks, chunk{arrivesAt: time.Now().Add(p.delay), data: append([]byte(nil), data...)})
	p.signal()
	return len(data), nil
}

func (p *pipe) read(buffer []byte) (int, error) {
	for {
		// The channel is obtained before the state is read, so that no change is missed.
		changed := p.changeSignal()
		blocked := p.blocked()
		p.mu.Lock()
		count, wait, err := p.tryRead(buffer, blocked)
		p.mu.Unlock()
		if count > 0 || err != nil {
			return count, err
		}
		waitForChange(changed, wait)
	}
}

// tryRead returns data that has arrived or an error. If there is neither, wait is the time
// until that may change without a signal; 0 means never. The caller holds the lock.
func (p *pipe) tryRead(buffer []byte, blocked bool) (count int, wait time.Duration, err error) {
	now := time.Now()
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	if !p.deadline.IsZero() {
		wait = p.deadline.Sub(now)
	}
	if p.closeErr == net.ErrClosed {
		return 0, 0, p.closeErr
	}
	if blocked {
		return 0, wait, nil
	}
	if len(p.chunks) == 0 {
		return 0, wait, p.closeErr
	}
	first := &p.chunks[0]
	if left := first.arrivesAt.Sub(now); left > 0 {
		if wait == 0 || left < wait {
			wait = left
		}
		return 0, wait, nil
	}
	count = copy(buffer, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return count, 0, nil
}

func waitForChange(changed chan struct{}, wait time.Duration) {
	if wait == 0 {
		<-changed
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.signal()
}

func (p *pipe) close(reason error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeErr == nil || reason == net.ErrClosed {
		p.closeErr = reason
	}
	p.signal()
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal()
}

func (p *pipe) changeSignal() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// signal wakes the reader. The caller holds the lock.
func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}
