package gossip

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxMessageBytes bounds one message. The largest regular message is the
	// digest of 6,000 nodes, about 420 KB.
	maxMessageBytes = 1 << 20
	// maxUnprovenBytes bounds a message from a peer that has not yet proved
	// that it knows the secret.
	maxUnprovenBytes = 4 << 10
	// frameHeaderBytes is the length prefix of a message.
	frameHeaderBytes = 4
	// idleTimeout closes a connection on which nothing arrives.
	idleTimeout = 2 * time.Minute
	// handshakeTimeout bounds the time from accepting to the proof of the secret.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds the sending of one message to a peer that reads slowly.
	writeTimeout = 5 * time.Second
	// readBufferBytes is small because a node keeps many mostly idle connections.
	readBufferBytes = 1 << 10
)

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
	proven  atomic.Bool
	opened  time.Time
	// lastRead is the time of the last whole message, in nanoseconds since opened.
	lastRead atomic.Int64
}

func newStream(conn net.Conn, traffic *Traffic) *stream {
	return &stream{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBufferBytes),
		traffic: traffic,
		opened:  time.Now(),
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(object interface{}) error {
	body, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(body), maxMessageBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
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
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return io.EOF
	}
	s.lastRead.Store(int64(time.Since(s.opened)))
	s.traffic.ReceivedBytes.Add(int64(size + frameHeaderBytes))
	s.traffic.ReceivedMessages.Add(1)
	return json.Unmarshal(body, object)
}

// readDeadline is absolute during the handshake, so that a peer that sends
// byte by byte cannot hold a connection open without the secret.
func (s *stream) readDeadline() time.Time {
	if !s.proven.Load() {
		return s.opened.Add(handshakeTimeout)
	}
	return time.Now().Add(idleTimeout)
}

func (s *stream) limit() int {
	if !s.proven.Load() {
		return maxUnprovenBytes
	}
	return maxMessageBytes
}

// silentFor returns the time since the last whole message arrived.
func (s *stream) silentFor() time.Duration {
	return time.Since(s.opened) - time.Duration(s.lastRead.Load())
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
