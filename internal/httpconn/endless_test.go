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
	// testMaxAnswer is the body limit of the tests.
	testMaxAnswer = 8 << 20
	// testDeadline is the time of the caller, far beyond what a bound allows.
	testDeadline = 4 * time.Second
	// kernelBytes is what the buffers of a loopback connection may hold beside what
	// the reader has taken.
	kernelBytes = 8 << 20
)

// endless is a server that sends an opening and then the same piece until its caller
// closes the connection.
type endless struct {
	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{}
}

func newEndless(t *testing.T, opening, piece string, pause time.Duration) *endless {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endless{listener: listener, closed: make(chan struct{})}
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

func ask(ctx context.Context, e *endless, hold *limit.Reservation) error {
	pool := NewPool(Options{DialTimeout: time.Second, MaxResponseBody: testMaxAnswer, IDHeader: "Id"})
	_, err := pool.Do(ctx, e.listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Reservation: hold})
	return err
}

// The pattern: a server in trouble sends bytes that are no answer, without end, until
// its caller closes. The connection is closed at the bound, long before the deadline,
// and the request counts as one that may have run.
func TestBytesWithoutEndAreCutAtTheBound(t *testing.T) {
	line := strings.Repeat("x", 1000)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	for _, c := range []struct {
		name, opening, piece string
		// bound is the most that is read.
		bound int64
	}{
		{"no line at all", "", line, MaxHeaderBytes},
		{"a head", head, "X-Y: " + line + "\r\n", MaxHeaderBytes},
		{"one header field", head + "X-Y: ", line, MaxHeaderBytes},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", MaxHeaderBytes},
		{"a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, testMaxAnswer},
		{"a body until the connection ends", head + "\r\n", line, testMaxAnswer},
		{"a body with a length beyond the limit", head + "Content-Length: 99999999999\r\n\r\n", line, testMaxAnswer},
		{"a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", line, MaxHeaderBytes},
		{"small chunks with extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + line + "\r\nx\r\n", testMaxAnswer},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Y: " + line + "\r\n", MaxHeaderBytes},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", MaxHeaderBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEndless(t, c.opening, c.piece, 0)
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			err := ask(ctx, e, nil)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			g.Expect(took).To(BeNumerically("<", testDeadline/4))
			g.Eventually(e.closed, "1s").Should(BeClosed(), "the connection is closed")
			g.Expect(e.sent.Load()).To(BeNumerically("<", c.bound+kernelBytes))
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 4*uint64(c.bound)+10<<20), "bytes allocated")
		})
	}
}

// Slow bytes without end are cut at the deadline of the request.
func TestSlowBytesEndAtTheDeadline(t *testing.T) {
	for name, opening := range map[string]string{
		"head": "", "body": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEndless(t, opening, "x", 10*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			started := time.Now()
			err := ask(ctx, e, nil)
			g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			g.Eventually(e.closed, "1s").Should(BeClosed())
		})
	}
}

// The pattern: many servers send long bodies at once to a node with little memory.
func TestBodiesShareTheMemoryOfTheNode(t *testing.T) {
	g := NewWithT(t)
	const bound = 1 << 20
	quota := limit.NewBodyMemory(bound)
	hold := quota.NewReservation()
	e := newEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", strings.Repeat("x", 1000), 0)
	err := ask(t.Context(), e, hold)
	g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, codes.BodyMemory.New(""))).To(BeTrue(), "%v", err)
	g.Expect(e.sent.Load()).To(BeNumerically("<", bound+kernelBytes))
	g.Expect(quota.InUse()).To(BeNumerically("<=", bound))
	hold.Release()
	g.Expect(quota.InUse()).To(BeZero())
}
