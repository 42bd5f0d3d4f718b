package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Direction names the blocked directions.
type Direction string

// The directions. Forward is from the connecting side to the target.
const (
	None     Direction = "none"
	Forward  Direction = "forward"
	Backward Direction = "backward"
	Both     Direction = "both"
)

const (
	// dialTimeout is the limit for opening a connection to the target.
	dialTimeout = 5 * time.Second
	// chunkSize is the largest number of bytes that are forwarded at once.
	chunkSize = 16 << 10
	// queueLength is the limit of queued chunks in one direction of a connection. Beyond it, TCP flow
	// control stops the sender.
	queueLength = 64
)

// Relay forwards connections to one target. Its methods are safe for concurrent use.
type Relay struct {
	target            string
	listener          net.Listener
	forward, backward *gate
	delay             atomic.Int64
	bytesForward      atomic.Int64
	bytesBackward     atomic.Int64
	done              chan struct{}
	wait              sync.WaitGroup

	mu        sync.Mutex
	direction Direction
	closed    bool
	conns     map[net.Conn]struct{}
}

// New listens on an address and forwards connections to target until Close.
func New(listen, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Relay{target: target, listener: listener, forward: newGate(), backward: newGate(),
		done: make(chan struct{}), direction: None, conns: map[net.Conn]struct{}{}}
	r.wait.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the listen address.
func (r *Relay) Addr() net.Addr { return r.listener.Addr() }

// Cut blocks the given direction and opens the other. None opens both.
func (r *Relay) Cut(direction Direction) error {
	switch direction {
	case None, Forward, Backward, Both:
	default:
		return trace.BadParameter("direction %q is none of forward, backward, both and none", direction)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direction = direction
	r.forward.set(direction != Forward && direction != Both)
	r.backward.set(direction != Backward && direction != Both)
	return nil
}

// SetDelay sets the delay of chunks that are read from now on, in both directions.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Status describes a relay.
type Status struct {
	Direction     Direction `json:"direction"`
	DelayMS       int64     `json:"delay_ms"`
	Connections   int       `json:"connections"`
	BytesForward  int64     `json:"bytes_forward"`
	BytesBackward int64     `json:"bytes_backward"`
}

// Status returns the state of the relay. Connections counts both sides: a
// connection that reached the target counts as two.
func (r *Relay) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{Direction: r.direction, DelayMS: r.Delay().Milliseconds(), Connections: len(r.conns),
		BytesForward: r.bytesForward.Load(), BytesBackward: r.bytesBackward.Load()}
}

// Delay returns the current delay.
func (r *Relay) Delay() time.Duration { return time.Duration(r.delay.Load()) }

// Reset closes all connections and goes on listening.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil
	}
	r.closed = true
	r.mu.Unlock()
	close(r.done)
	err := r.listener.Close()
	r.Reset()
	r.wait.Wait()
	return trace.Wrap(err)
}

func (r *Relay) accept() {
	defer r.wait.Done()
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of file descriptors, for instance
			continue
		}
		if !r.track(conn) {
			return
		}
		r.wait.Add(1)
		go r.connect(conn)
	}
}

func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) drop(conn net.Conn) {
	conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// connect dials the target once the forward direction is open, because a connection request would not
// reach the target before, and forwards bytes until both directions have ended.
func (r *Relay) connect(source net.Conn) {
	defer r.wait.Done()
	defer r.drop(source)
	if !r.forward.wait(r.done) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil || !r.track(target) {
		return
	}
	defer r.drop(target)
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(source, target, r.forward, &r.bytesForward) })
	directions.Go(func() { r.pass(target, source, r.backward, &r.bytesBackward) })
	directions.Wait()
}

// chunk is a piece of a byte stream. The zero chunk is its end.
type chunk struct {
	data []byte
	due  time.Time
}

// pass forwards one direction of a connection until the end of the stream. Like bytes, the end of the
// stream is forwarded only while the gate is open.
func (r *Relay) pass(from, to net.Conn, g *gate, count *atomic.Int64) {
	queue := make(chan chunk, queueLength)
	var reader sync.WaitGroup
	reader.Go(func() { r.read(from, queue) })
	defer reader.Wait()
	for c := range queue {
		if !sleepUntil(c.due, r.done) || !g.wait(r.done) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		count.Add(int64(len(c.data)))
	}
	if g.wait(r.done) {
		closeWrite(to)
	}
	// After an early end, the reader may be blocked on a full queue or on the connection. Closing the
	// connection for reading and draining the queue let it finish.
	closeRead(from)
	for range queue {
	}
}

func (r *Relay) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			queue <- chunk{data: buffer[:n], due: time.Now().Add(r.Delay())}
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

func closeRead(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseRead()
	}
}

// sleepUntil returns true at the given time, or false when done is closed first.
func sleepUntil(due time.Time, done <-chan struct{}) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
