package limit

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener returns a listener that closes each connection beyond max at once. A connection that
// waited in the backlog instead would delay its client, which can use another node.
func Listener(listener net.Listener, max int) net.Listener {
	return &limitedListener{Listener: listener, max: int64(max)}
}

type limitedListener struct {
	net.Listener
	max    int64
	active atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.active.Add(1) <= l.max {
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.active.Add(-1) })}, nil
		}
		l.active.Add(-1)
		conn.Close()
	}
}

// countedConn frees its place in the limit when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// SetLinger sets the option of the TCP connection, if it is one.
func (c *countedConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}
