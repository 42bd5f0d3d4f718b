package gossip

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxUnauthenticatedBytes bounds a message from a peer that is not yet authenticated.
	maxUnauthenticatedBytes = 4 << 10
	// frameHeaderBytes is the size of the length prefix of a message.
	frameHeaderBytes = 4
	// readBufferBytes is small because a node has many connections that are mostly idle.
	readBufferBytes = 1 << 10
)

// Limits bounds the resources that peers can consume.
type Limits struct {
	// MessageBytes bounds the size of one message. The default is 1 MiB. The largest
	// regular message is a digest of about 420 KB.
	MessageBytes int
	// MessageTime bounds the time to send one message, the time to receive one after its
	// length prefix, and the time from accepting a connection to the end of the
	// handshake. The default is 5s.
	MessageTime time.Duration
	// IdleTime is the time without received messages after which a connection is closed.
	// The default is 2m.
	IdleTime time.Duration
	// Connections bounds the number of accepted connections. Probes, exchanges and fences
	// usually come from a few dozen peers; calls of other methods may come from any of
	// 500 nodes. The default is 1024.
	Connections int
}

func (l Limits) orDefaults() Limits {
	if l.MessageBytes <= 0 {
		l.MessageBytes = 1 << 20
	}
	if l.Connections <= 0 {
		l.Connections = 1024
	}
	l.MessageTime = orDefault(l.MessageTime, 5*time.Second)
	l.IdleTime = orDefault(l.IdleTime, 2*time.Minute)
	return l
}

// Traffic counts the messages and bytes that a node sent and received on control
// connections. Bytes include the length prefixes but not TCP and IP headers.
type Traffic struct {
	SentBytes, ReceivedBytes       atomic.Int64
	SentMessages, ReceivedMessages atomic.Int64
}

// stream frames JSON messages with a 4-byte big-endian length prefix. It implements
// jsonrpc2.ObjectStream with a size limit and with deadlines in both directions.
type stream struct {
	conn          net.Conn
	reader        *bufio.Reader
	traffic       *Traffic
	limits        Limits
	authenticated atomic.Bool
	opened        time.Time
	// lastRead is when the last complete message arrived, in nanoseconds since opened.
	lastRead atomic.Int64
}

func newStream(conn net.Conn, traffic *Traffic, limits Limits) *stream {
	return &stream{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBufferBytes),
		traffic: traffic,
		limits:  limits,
		opened:  time.Now(),
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object interface{}) error {
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(body) > s.limits.MessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(body), s.limits.MessageBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.MessageTime)); err != nil {
		return err
	}
	if _, err := s.conn.Write(frame); err != nil {
		// After a partial write, the receiver could not find the next message boundary.
		s.conn.Close()
		return err
	}
	s.traffic.SentBytes.Add(int64(len(frame)))
	s.traffic.SentMessages.Add(1)
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(object interface{}) error {
	if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
		return err
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return io.EOF
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > s.limit() {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", size, s.limit())
	}
	body, err := s.readBody(size)
	if err != nil {
		return io.EOF
	}
	s.lastRead.Store(int64(time.Since(s.opened)))
	s.traffic.ReceivedBytes.Add(int64(size + frameHeaderBytes))
	s.traffic.ReceivedMessages.Add(1)
	return json.Unmarshal(body, object)
}

// readBody reads a message of the given size. The buffer grows as data arrives, so that a
// length prefix alone does not allocate memory.
func (s *stream) readBody(size int) ([]byte, error) {
	if s.authenticated.Load() {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.MessageTime)); err != nil {
			return nil, err
		}
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, s.reader, int64(size)); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// readDeadline returns the deadline for the next message. During the handshake it is fixed,
// so that a peer without the secret cannot keep a connection open by sending slowly.
func (s *stream) readDeadline() time.Time {
	if !s.authenticated.Load() {
		return s.opened.Add(s.limits.MessageTime)
	}
	return time.Now().Add(s.limits.IdleTime)
}

func (s *stream) limit() int {
	if !s.authenticated.Load() {
		return maxUnauthenticatedBytes
	}
	return s.limits.MessageBytes
}

// sinceLastRead returns the time since the last complete message arrived.
func (s *stream) sinceLastRead() time.Duration {
	return time.Since(s.opened) - time.Duration(s.lastRead.Load())
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
