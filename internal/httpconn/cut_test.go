package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/limit"
)

// cutPlan is how a server answers one request and ends its connection.
type cutPlan struct {
	framing string
	// bodyBytes is the size of the whole body, sent the number of bytes of head and body that are
	// sent before the connection ends.
	bodyBytes, sent int
	// orderly ends the connection without a reset, after the whole response.
	orderly bool
	// readFirst is the part of the request body that the server reads before it answers.
	readFirst int
	// pause separates the bytes of the response from the end of the connection.
	pause time.Duration
}

const cutHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"

func (p cutPlan) response() string {
	body := strings.Repeat("x", p.bodyBytes)
	switch p.framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", cutHead, p.bodyBytes, body)
	case "chunks":
		chunks := ""
		if p.bodyBytes > 0 {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", p.bodyBytes, body)
		}
		return cutHead + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
	default:
		return cutHead + "\r\n" + body
	}
}

// serve answers one request. The small receive buffer keeps the caller writing a long body.
func (p cutPlan) serve(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetReadBuffer(64 << 10)
	reader := bufio.NewReaderSize(conn, 16)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, request.Body, int64(p.readFirst)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, p.response()[:p.sent]); err != nil {
		return
	}
	time.Sleep(p.pause)
	if !p.orderly {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	// A close with unread bytes would reset the connection.
	_, _ = io.Copy(io.Discard, request.Body)
}

func drawCut(t *rapid.T, requestBytes int) cutPlan {
	p := cutPlan{
		framing:   rapid.SampledFrom([]string{"length", "chunks", "end of connection"}).Draw(t, "framing"),
		bodyBytes: rapid.IntRange(0, 64<<10).Draw(t, "body"),
		orderly:   rapid.Bool().Draw(t, "orderly"),
		readFirst: rapid.SampledFrom([]int{0, requestBytes / 2, requestBytes}).Draw(t, "read before the answer"),
		pause:     time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Millisecond,
	}
	whole := len(p.response())
	switch {
	case p.orderly:
		p.sent = whole
	case p.framing == "end of connection":
		// The reset is the only end that this body has, so it is cut wherever it falls.
		p.sent = rapid.IntRange(0, whole).Draw(t, "sent")
	default:
		p.sent = rapid.IntRange(0, whole-1).Draw(t, "sent")
	}
	return p
}

// A reset ends a response before its end, at any point and while the request is still being written
// or not: the response must not count as complete. Without the check of the writer's result, a body
// that ends with the connection is returned in part. A response that ends in an orderly way must
// be returned, also while the request is still being written.
func TestResponseCutByAResetIsNeverComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	plans := make(chan cutPlan, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go (<-plans).serve(conn.(*net.TCPConn))
		}
	}()
	rapid.Check(t, func(rt *rapid.T) {
		requestBytes := rapid.SampledFrom([]int{0, 100, maxSyncBody, maxSyncBody + 1, 64 << 10, 1 << 20, 6 << 20}).Draw(rt, "request")
		plan := drawCut(rt, requestBytes)
		plans <- plan
		pool := NewPool(Options{DialTimeout: time.Second, MaxResponseBody: 1 << 20, IDHeader: "Id"})
		ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
		defer cancel()
		response, err := pool.Do(ctx, listener.Addr().String(), &Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Body: limit.NewBody(make([]byte, requestBytes)),
		})
		switch {
		case !plan.orderly && err == nil:
			rt.Fatalf("a response cut after %d bytes was returned with %d of %d bytes of its body", plan.sent, response.Body.Len(), plan.bodyBytes)
		case plan.orderly && err != nil:
			rt.Fatalf("a complete response was lost: %v", err)
		case plan.orderly && response.Body.Len() != plan.bodyBytes:
			rt.Fatalf("got %d of %d bytes", response.Body.Len(), plan.bodyBytes)
		}
	})
}

// resetConn is a connection that is reset after a part of the response. The kernel reports a reset
// once: here to a pending write, after which a read sees the end of the stream.
type resetConn struct {
	net.Conn
	response io.Reader
	// writes is the number of writes that succeed before one is pending when the reset arrives.
	writes int
	// answered is closed when the response has been read, reported when the write has the error.
	answered, reported chan struct{}
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == nil {
		return n, nil
	}
	select {
	case <-c.answered:
	default:
		close(c.answered)
	}
	<-c.reported
	return 0, io.EOF
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.writes--; c.writes >= 0 {
		return len(p), nil
	}
	<-c.answered
	close(c.reported)
	return 0, syscall.ECONNRESET
}

func (c *resetConn) SetWriteDeadline(time.Time) error { return nil }
func (c *resetConn) Close() error                     { return nil }

// The reset is reported to the writer of the request body only, and the reader sees the end of the
// stream. Without the check of the writer's result, the part of the body that arrived counts as
// complete.
func TestResponseIsCutThoughOnlyTheWriterSeesTheReset(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawCut(rt, 0)
		if plan.orderly {
			plan.orderly, plan.framing = false, "end of connection"
			plan.sent = len(plan.response())
		}
		raw := &resetConn{
			response: strings.NewReader(plan.response()[:plan.sent]), writes: 1,
			answered: make(chan struct{}), reported: make(chan struct{}),
		}
		pool := NewPool(Options{MaxResponseBody: 1 << 20, IDHeader: "Id"})
		response, _, err := pool.exchange(t.Context(), newConn(raw, ""), &Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Body: limit.NewBody(make([]byte, maxSyncBody+1)),
		})
		if err == nil {
			rt.Fatalf("a response cut after %d bytes was returned with %d of %d bytes of its body", plan.sent, response.Body.Len(), plan.bodyBytes)
		}
	})
}
