package httpconn

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"
)

// conn is a connection with the bytes read ahead from it.
type conn struct {
	net.Conn
	addr      string
	reader    *bufio.Reader
	limiter   *headerLimiter
	idleSince time.Time
	expires   time.Time
}

// readBufferSize is the size in bytes of the read buffer.
const readBufferSize = 4 << 10

func newConn(raw net.Conn, addr string) *conn {
	limiter := &headerLimiter{conn: raw}
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(limiter, readBufferSize), limiter: limiter}
}

// headerLimiter reads from a connection and limits the bytes outside bodies: the header of a
// response, the informational responses before it, and the trailers.
type headerLimiter struct {
	conn net.Conn
	// remaining is the number of bytes that may still be read; negative for no limit.
	remaining int64
}

// errHeaderTooLong reports that a server sent more than MaxHeaderBytes outside bodies.
var errHeaderTooLong = fmt.Errorf("the response header exceeds %d bytes", MaxHeaderBytes)

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLong
	}
	if l.remaining > 0 && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	if l.remaining > 0 {
		l.remaining -= int64(n)
	}
	return n, err
}

// reusable reports whether the peer has neither closed the connection nor sent unsolicited bytes.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
