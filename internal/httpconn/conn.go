package httpconn

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"
)

// conn is one connection with the bytes read ahead.
type conn struct {
	net.Conn
	addr      string
	reader    *bufio.Reader
	limited   *headLimit
	idleSince time.Time
	expires   time.Time
}

// readBuffer is the size in bytes of what is read ahead.
const readBuffer = 4 << 10

func newConn(raw net.Conn, addr string) *conn {
	limited := &headLimit{conn: raw}
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(limited, readBuffer), limited: limited}
}

// headLimit reads a connection and bounds what is not a body: the head of an answer,
// the informational answers before it, and the trailers.
type headLimit struct {
	conn net.Conn
	// left is the number of bytes that may be read; negative for no bound.
	left int64
}

// errHeadTooLong says that a server sent more than MaxHead bytes that are no body.
var errHeadTooLong = fmt.Errorf("the head of the answer exceeds %d bytes", MaxHeaderBytes)

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeadTooLong
	}
	if h.left > 0 && int64(len(p)) > h.left {
		p = p[:h.left]
	}
	n, err := h.conn.Read(p)
	if h.left > 0 {
		h.left -= int64(n)
	}
	return n, err
}

// quiet reports whether the peer has neither closed the connection nor sent
// bytes that no request asked for.
func (c *conn) quiet() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
