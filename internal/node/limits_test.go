package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/settings"
)

func shortTimeouts(s *settings.Node) {
	s.Limits.HeaderTime, s.Limits.BodyTime, s.Limits.IdleTime = 300*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond
	s.Limits.MessageTime, s.Limits.AnswerGrace = 300*time.Millisecond, 300*time.Millisecond
	s.Limits.AttachConnections = 8
	s.Limits.BufferedAnswer = 64 << 20
}

func dial(t *testing.T, listener net.Listener, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, text) // the node may have closed the connection already
	return conn
}

// Guards against a client that holds a connection open by sending nothing,
// incomplete input or oversized input.
func TestListenersCloseStalledOrOversizedInput(t *testing.T) {
	n := newTestFleet(t).start("n1", shortTimeouts)
	hop := "POST /v1/forward HTTP/1.1\r\nHost: n\r\nTarragon-Hop-Id: i\r\nTarragon-Hop-Server: b\r\nTarragon-Hop-Method: GET\r\n" +
		"Tarragon-Hop-Path: /x\r\nTarragon-Hop-Attempt: 1\r\nTarragon-Hop-Incarnation: 1\r\nTarragon-Hop-Deadline-Us: 1000\r\n" +
		"Tarragon-Hop-Token: " + forward.Token(n.config.Secret) + "\r\n"
	const body = "Content-Length: 900\r\n\r\n{"
	l := n.listeners
	for _, c := range []struct {
		listener net.Listener
		post     string
	}{
		{l.caller, "POST /s/x HTTP/1.1\r\nHost: n\r\n"},
		{l.traffic, hop},
		{l.attach, "POST /v1/announce HTTP/1.1\r\nHost: n\r\n"},
		{l.admin, "POST /v1/intents HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + operatorToken + "\r\n"},
		{l.control, ""},
	} {
		inputs := map[string]string{"silence": "", "half a header": "\x00"}
		if c.listener != l.control {
			inputs = map[string]string{"silence": "", "half a header": c.post, "half a body": c.post + body,
				"idle":         "GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n",
				"large header": c.post + "X: " + strings.Repeat("x", 200<<10)}
		} else {
			inputs["large message"], inputs["half a message"] = "\x7f\xff\xff\xff", "\x00\x00\x01\x00{"
		}
		for name, input := range inputs {
			conn := dial(t, c.listener, input)
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s on %s: the connection was not closed", name, c.listener.Addr())
			}
		}
	}
}

// Guards against an unbounded number of connections on one listener.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	n := newTestFleet(t).start("n1", func(s *settings.Node) { s.Limits.AttachConnections = 8 })
	for range 8 {
		dial(t, n.listeners.attach, "")
	}
	if _, err := dial(t, n.listeners.attach, "").Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on the connection beyond the limit returned %v, want a closed connection", err)
	}
}

// Guards against a response that the caller does not read: it must not hold the
// request open, and the caller must not take the truncated response for a
// complete one.
func TestUnreadAnswerIsAborted(t *testing.T) {
	f := newTestFleet(t)
	n := f.start("n1", shortTimeouts)
	f.attach(n, n, func(w http.ResponseWriter, _ *http.Request) { w.Write(make([]byte, 32<<20)) })
	conn := dial(t, n.listeners.caller, fmt.Sprintf("GET /s/x HTTP/1.1\r\nHost: n\r\n%s: 5000\r\n\r\n", api.HeaderDeadline))
	f.wait("the request arrives", func() bool { return n.callerRequests.Load() == 1 })
	f.wait("the request ends", func() bool { return n.callerRequests.Load() == 0 })
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the connection was reset before the header was read
	}
	if got, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Errorf("the caller read %d bytes with status %d without an error, want a truncated response", got, response.StatusCode)
	}
}
