package limit

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener returns a listener that closes each connection beyond max at once.
// A connection that waited in the backlog instead would take up the time of its
// client, which can use another node.
func Listener(listener net.Listener, max int) net.Listener {
	return &limitedListener{Listener: listener, max: int64(max)}
}

type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// countedConn gives its place back when it is closed.
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
