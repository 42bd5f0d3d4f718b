package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/limit"
)

const (
	// testMaxBody is the body limit of the tests.
	testMaxBody = 8 << 20
	// testDeadline is the caller's deadline, far longer than it takes to reach a limit.
	testDeadline = 4 * time.Second
	// kernelBytes is what the buffers of a loopback connection may hold in addition to what the
	// reader has read.
	kernelBytes = 8 << 20
)

// endlessServer is a server that sends an opening and then the same piece repeatedly until its
// caller closes the connection.
type endlessServer struct {
	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{}
}

func newEndlessServer(t *testing.T, opening, piece string, pause time.Duration) *endlessServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessServer{listener: listener, closed: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		defer close(e.closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		data := opening
		for {
			n, err := conn.Write([]byte(data))
			e.sent.Add(int64(n))
			if err != nil {
				return
			}
			data = piece
			time.Sleep(pause)
		}
	}()
	return e
}

func doRequest(ctx context.Context, e *endlessServer, reservation *limit.Reservation) error {
	pool := NewPool(Options{DialTimeout: time.Second, MaxResponseBody: testMaxBody, IDHeader: "Id"})
	_, err := pool.Do(ctx, e.listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Reservation: reservation})
	return err
}

// A faulty server sends bytes that form no complete response, without end, until its caller closes
// the connection. The connection must be closed at the limit, long before the deadline, and the
// request counts as one that may have run.
func TestEndlessResponsesAreCutOffAtTheLimit(t *testing.T) {
	line := strings.Repeat("x", 1000)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	for _, c := range []struct {
		name, opening, piece string
		// limit is the most that is read.
		limit int64
	}{
		{"no line at all", "", line, MaxHeaderBytes},
		{"a head", head, "X-Y: " + line + "\r\n", MaxHeaderBytes},
		{"one header field", head + "X-Y: ", line, MaxHeaderBytes},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", MaxHeaderBytes},
		{"a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, testMaxBody},
		{"a body until the connection ends", head + "\r\n", line, testMaxBody},
		{"a body with a length beyond the limit", head + "Content-Length: 99999999999\r\n\r\n", line, testMaxBody},
		{"a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", line, MaxHeaderBytes},
		{"small chunks with extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + line + "\r\nx\r\n", testMaxBody},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: " + line + "\r\n", MaxHeaderBytes},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", MaxHeaderBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEndlessServer(t, c.opening, c.piece, 0)
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			err := doRequest(ctx, e, nil)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			g.Expect(took).To(BeNumerically("<", testDeadline/4))
			g.Eventually(e.closed, "1s").Should(BeClosed(), "the connection is closed")
			g.Expect(e.sent.Load()).To(BeNumerically("<", c.limit+kernelBytes))
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 4*uint64(c.limit)+10<<20), "bytes allocated")
		})
	}
}

// Slow bytes without end are cut off at the deadline of the request.
func TestSlowEndlessResponsesEndAtTheDeadline(t *testing.T) {
	for name, opening := range map[string]string{
		"head": "", "body": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEndlessServer(t, opening, "x", 10*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			started := time.Now()
			err := doRequest(ctx, e, nil)
			g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			g.Eventually(e.closed, "1s").Should(BeClosed())
		})
	}
}

// Many servers send long bodies at once to a node with little memory.
func TestResponseBodiesShareTheMemoryLimit(t *testing.T) {
	g := NewWithT(t)
	const maxMemory = 1 << 20
	memory := limit.NewMemory(maxMemory)
	reservation := memory.NewReservation()
	e := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("x", 1000), 0)
	err := doRequest(t.Context(), e, reservation)
	g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, codes.BodyMemory.New(""))).To(BeTrue(), "%v", err)
	g.Expect(e.sent.Load()).To(BeNumerically("<", maxMemory+kernelBytes))
	g.Expect(memory.InUse()).To(BeNumerically("<=", maxMemory))
	reservation.Release()
	g.Expect(memory.InUse()).To(BeZero())
}
