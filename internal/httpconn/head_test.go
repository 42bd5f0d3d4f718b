package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/limit"
)

// headForms are responses whose end can be told without the end of the connection, and one whose head is all that can.
var headForms = map[string]string{
	"length":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\nX: y\r\n\r\n" + "twelve bytes",
	"no body":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n",
	"status":    "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	"chunks":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n6;ext=1\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
	"trailers":  "HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n0\r\nX: y\r\nZ: z\r\n\r\n",
	"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"late copy": "HTTP/1.1 503 Service Unavailable\r\nId: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	"unframed":  "HTTP/1.1 200 OK\r\nId: 1\r\nX: y\r\n\r\n",
}

// Guards against a response that a server breaks off, in its status line, head, chunk sizes or trailers, and
// that counts as complete, with an empty or short body. Other operators have reported it. The server closes the
// connection in an orderly way, or keeps its other side open.
func TestResponseThatBreaksOffIsNeverComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	type plan struct {
		response string
		halfOpen bool
	}
	plans := make(chan plan, 1)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				conn, p := accepted.(*net.TCPConn), <-plans
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, p.response)
				if p.halfOpen {
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
		}
	}()
	send := func(method string, p plan) (*Response, error) {
		plans <- p
		pool := NewPool(Options{DialTimeout: time.Second, MaxResponseBody: 1 << 20, IDHeader: "Id"})
		ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
		defer cancel()
		return pool.Do(ctx, listener.Addr().String(), &Request{Method: method, Target: "/", Host: "h", Header: http.Header{}, ID: "1", Body: limit.NewBody(nil)})
	}
	rapid.Check(t, func(rt *rapid.T) {
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodPost, http.MethodHead}).Draw(rt, "method")
		form := rapid.SampledFrom([]string{"length", "no body", "status", "chunks", "trailers", "interim", "late copy", "unframed"}).Draw(rt, "form")
		whole := headForms[form]
		if method == http.MethodHead {
			// The head alone is the response.
			if form == "interim" || form == "late copy" {
				form, whole = "length", headForms["length"]
			}
			whole = whole[:strings.Index(whole, "\r\n\r\n")+4]
		}
		halfOpen := rapid.Bool().Draw(rt, "half open")
		cut := rapid.IntRange(0, len(whole)-1).Draw(rt, "cut")
		if response, err := send(method, plan{whole[:cut], halfOpen}); err == nil {
			rt.Fatalf("%s, cut after %q, was returned with status %d and %d bytes", form, whole[:cut], response.Status, response.Body.Len())
		}
		if _, err := send(method, plan{whole, halfOpen}); err != nil {
			rt.Fatalf("%s: a complete response was lost: %v", form, fmt.Errorf("%w", err))
		}
	})
}
