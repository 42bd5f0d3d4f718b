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
	// maxUnprovenBytes bounds a message from a peer that has not yet proved
	// that it knows the secret.
	maxUnprovenBytes = 4 << 10
	// frameHeaderBytes is the length prefix of a message.
	frameHeaderBytes = 4
	// readBufferBytes is small because a node keeps many mostly idle connections.
	readBufferBytes = 1 << 10
)

// Limits bounds what one peer can make a node hold.
type Limits struct {
	// MessageBytes bounds one message. Default 1 MiB; the largest regular
	// message is a digest, about 420 KB.
	MessageBytes int
	// MessageTime bounds the sending of one message to a peer that reads slowly,
	// the arrival of one from its length prefix to its end, and the time from
	// accepting to the proof of the secret. Default 5s.
	MessageTime time.Duration
	// IdleTime closes a connection on which nothing arrives. Default 2m.
	IdleTime time.Duration
	// Connections bounds the accepted connections. Probes, exchanges and fences
	// from a few dozen peers are usual; calls of the other methods may come from
	// any of 500 nodes. Default 1024.
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

// Traffic counts what a node sent and received on control connections, in
// bytes of payload with the length prefixes and without TCP and IP headers.
type Traffic struct {
	SentBytes, ReceivedBytes       atomic.Int64
	SentMessages, ReceivedMessages atomic.Int64
}

// stream frames JSON messages with a 4-byte big-endian length. It implements
// jsonrpc2.ObjectStream with a size limit and deadlines on both directions.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *Traffic
	limits  Limits
	proven  atomic.Bool
	opened  time.Time
	// lastRead is the time of the last whole message, in nanoseconds since opened.
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
		// A partly written frame leaves the stream without a message boundary.
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

// readBody reads a message of the announced size. The buffer grows with what
// arrives, so that an announced length alone takes no memory.
func (s *stream) readBody(size int) ([]byte, error) {
	if s.proven.Load() {
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

// readDeadline is absolute during the handshake, so that a peer that sends
// byte by byte cannot hold a connection open without the secret.
func (s *stream) readDeadline() time.Time {
	if !s.proven.Load() {
		return s.opened.Add(s.limits.MessageTime)
	}
	return time.Now().Add(s.limits.IdleTime)
}

func (s *stream) limit() int {
	if !s.proven.Load() {
		return maxUnprovenBytes
	}
	return s.limits.MessageBytes
}

// silentFor returns the time since the last whole message arrived.
func (s *stream) silentFor() time.Duration {
	return time.Since(s.opened) - time.Duration(s.lastRead.Load())
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
