package limit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fieldCost is what a header field costs in memory besides its bytes, here and while it is
	// forwarded: the entry of the map, the list of values, and their copies.
	fieldCost = 400
	// byteCost is what a byte of a head costs, with its copies.
	byteCost = 3
	// freeHead is the cost of a head up to which it is not charged, as the memory of a connection
	// allows for it.
	freeHead = 16 << 10
	// usualBlock is the size in bytes of an encoded head between nodes up to which its connection stays
	// open when memory is short, because it carries the requests of other clients too.
	usualBlock = 2 << 10
	// unreadStall is how long a client may leave a write pending before its connection can be closed
	// for another one.
	unreadStall = time.Second
	// unreadBody is how long the rest of a body that the handler did not read may take to arrive.
	unreadBody = time.Second
)

// DoorOptions configure a Door.
type DoorOptions struct {
	// MaxConns is the number of connections.
	MaxConns int
	// Memory is charged with the heads of requests and asked to evict stalled clients.
	Memory *Memory
	// HeadBytes returns the limit of a head in bytes.
	HeadBytes func() int64
	// HTTP2 is set if the connections carry HTTP/2, where HeadFields is the largest number of fields that
	// the server accepts in a head. It limits the bytes itself.
	HTTP2      bool
	HeadFields int64
}

// DoorCounts counts events since the start.
type DoorCounts struct {
	// Closed counts new connections that were closed at once, Replaced those that had to make room,
	// and Heads the heads that were refused.
	Closed, Replaced, Heads int64
}

// Door accepts the connections of clients that may misbehave.
type Door struct {
	net.Listener
	options DoorOptions

	mu    sync.Mutex
	conns map[*doorConn]struct{}

	closed, replaced, heads atomic.Int64
}

// NewDoor returns a Door on a listener.
func NewDoor(listener net.Listener, options DoorOptions) *Door {
	return &Door{Listener: listener, options: options, conns: map[*doorConn]struct{}{}}
}

// Counts returns the counts so far.
func (d *Door) Counts() DoorCounts {
	return DoorCounts{Closed: d.closed.Load(), Replaced: d.replaced.Load(), Heads: d.heads.Load()}
}

// Install makes a server use the door.
func (d *Door) Install(server *http.Server) {
	server.ConnContext = ConnContext
	server.ConnState = setState
	if !d.options.HTTP2 {
		// The connections of nodes outlive the streams that end early.
		server.Handler = ResetOnAbort(d.handler(server.Handler))
	}
}

// handler tells the connection that the head has been read, and bounds how long the client may take
// for what the handler leaves: the rest of the body, and the end of the answer.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := connOf(r.Context()); ok {
			conn.inHead.Store(false)
		}
		next.ServeHTTP(w, r)
		ExtendWrite(w)
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBody))
		}
	})
}

// Accept implements net.Listener.
func (d *Door) Accept() (net.Conn, error) {
	for {
		raw, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &doorConn{Conn: raw, door: d, head: d.options.Memory.NewReservation()}
		conn.waitFrom(time.Now())
		if d.add(conn) {
			return conn, nil
		}
		d.closed.Add(1)
		raw.Close()
	}
}

// add enters a connection, in the place of another one if there is no room.
func (d *Door) add(conn *doorConn) bool {
	d.mu.Lock()
	if len(d.conns) < d.options.MaxConns {
		d.conns[conn] = struct{}{}
		d.mu.Unlock()
		return true
	}
	victim := d.victim(time.Now())
	if victim != nil {
		delete(d.conns, victim)
		d.conns[conn] = struct{}{}
	}
	d.mu.Unlock()
	if victim == nil {
		// Makes room for a later connection.
		d.options.Memory.EvictStalled(1, nil)
		return false
	}
	d.replaced.Add(1)
	victim.Close()
	return true
}

// victim returns the connection that has waited for its client for longest: for a request, or for it
// to read. It returns nil if all are in use.
func (d *Door) victim(now time.Time) *doorConn {
	var found *doorConn
	var longest time.Duration
	for conn := range d.conns {
		wait := conn.wait(now)
		if wait > 0 && (found == nil || wait > longest) {
			found, longest = conn, wait
		}
	}
	return found
}

func (d *Door) remove(conn *doorConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// setState is the ConnState of an http.Server.
func setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*doorConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.nextHead()
		c.waitFrom(time.Now())
	case http.StateActive:
		c.waiting.Store(0)
	}
}

// doorConn is a connection that counts the heads read from it.
type doorConn struct {
	net.Conn
	door *Door
	// waiting is since when the connection waits for a request, and writing since when a write is
	// pending, in Unix nanoseconds; 0 if it does not.
	waiting, writing atomic.Int64
	// inHead is set while the server reads a head.
	inHead atomic.Bool

	mu     sync.Mutex
	head   *Reservation
	line   headLine
	frames frameScan
	bytes  int64
	cost   int64
	closed bool
}

// errHead ends the connection of a client whose head was refused.
var errHead = errors.New("the head of the request was refused")

// Answers to heads that the server does not parse. The requests have not run.
const (
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headRefused = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// HeadCost returns what a parsed head costs in memory, in bytes.
func HeadCost(header http.Header) int64 {
	cost := int64(0)
	for name, values := range header {
		for _, value := range values {
			cost += fieldCost + byteCost*int64(len(name)+len(value))
		}
	}
	return cost
}

func (c *doorConn) waitFrom(now time.Time) {
	c.inHead.Store(!c.door.options.HTTP2)
	c.waiting.Store(now.UnixNano())
}

// wait returns for how long the client has kept the connection waiting; 0 if it does not.
func (c *doorConn) wait(now time.Time) time.Duration {
	if since := c.waiting.Load(); since > 0 {
		return max(now.Sub(time.Unix(0, since)), 1)
	}
	if since := c.writing.Load(); since > 0 {
		if wait := now.Sub(time.Unix(0, since)); wait >= unreadStall {
			return wait
		}
	}
	return 0
}

// Read implements net.Conn.
func (c *doorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.door.options.HTTP2 && !c.chargeFrames(p[:n]) {
		c.door.heads.Add(1)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHead}
	}
	if n > 0 && c.inHead.Load() {
		if answer := c.charge(p[:n]); answer != "" {
			c.door.heads.Add(1)
			_ = c.Conn.SetWriteDeadline(time.Now().Add(unreadStall))
			// The client may be gone.
			_, _ = c.Conn.Write([]byte(answer))
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHead}
		}
	}
	return n, err
}

// charge adds bytes to the head. It returns the answer that refuses the head, or "".
func (c *doorConn) charge(data []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	length, fields, ended := c.line.scan(data)
	if ended {
		c.inHead.Store(false)
	}
	c.bytes += int64(length)
	c.cost += int64(fields)*fieldCost + int64(length)*byteCost
	if limit := c.door.options.HeadBytes(); limit > 0 && c.bytes > limit {
		return headTooLong
	}
	if c.cost <= freeHead {
		return ""
	}
	cost := c.cost
	c.cost = freeHead
	if c.closed || !c.head.Reserve(cost-freeHead) {
		c.door.options.Memory.EvictStalled(cost, nil)
		return headRefused
	}
	return ""
}

// chargeFrames charges the head that is arriving over HTTP/2. It returns false if there is no memory.
func (c *doorConn) chargeFrames(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.frames.scan(data)
	if open == 0 {
		// The handler reserves memory for a head that is complete.
		if c.cost > 0 {
			c.cost = 0
			c.head.Release()
		}
		return true
	}
	cost := min(open, c.door.options.HeadFields)*fieldCost + open*byteCost
	added := cost - max(c.cost, freeHead)
	if added <= 0 {
		return true
	}
	if c.closed || !c.head.Reserve(added) {
		c.door.options.Memory.EvictStalled(cost, nil)
		return open <= usualBlock
	}
	c.cost = cost
	return true
}

// headLine is the state of a search for the empty line that ends a head.
type headLine struct {
	// length is the length of the current line without line ends, started whether a line came before
	// it.
	length  int
	started bool
}

// scan returns how many bytes of data belong to the head, the lines that end in them, and whether the
// head ends there.
func (l *headLine) scan(data []byte) (length, lines int, ended bool) {
	for i, b := range data {
		switch b {
		case '\r':
		case '\n':
			if l.length == 0 && l.started {
				return i + 1, lines, true
			}
			l.started = l.started || l.length > 0
			l.length = 0
			lines++
		default:
			l.length++
		}
	}
	return len(data), lines, false
}

// nextHead releases the head of the request that ended.
func (c *doorConn) nextHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line, c.bytes, c.cost = headLine{}, 0, 0
	c.head.Release()
}

// Write implements net.Conn.
func (c *doorConn) Write(p []byte) (int, error) {
	c.writing.Store(time.Now().UnixNano())
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *doorConn) Close() error {
	err := c.Conn.Close()
	c.door.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.head.Release()
	return err
}

// CloseWrite ends the sending side of the TCP connection, if it is one. The server uses it for answers
// to requests whose body it does not read.
func (c *doorConn) CloseWrite() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetLinger sets the option of the TCP connection, if it is one.
func (c *doorConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}

// connOf returns the connection of a request that a Door accepted.
func connOf(ctx context.Context) (*doorConn, bool) {
	conn, ok := ctx.Value(connKey{}).(*doorConn)
	return conn, ok
}
