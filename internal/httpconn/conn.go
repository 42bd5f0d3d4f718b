package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection with the bytes read ahead.
type conn struct {
	net.Conn
	addr      string
	reader    *bufio.Reader
	idleSince time.Time
	expires   time.Time
}

// readBuffer is the size in bytes of what is read ahead.
const readBuffer = 4 << 10

func newConn(raw net.Conn, addr string) *conn {
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(raw, readBuffer)}
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
