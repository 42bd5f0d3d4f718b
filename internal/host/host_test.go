package host_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/host"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

type discardEvents struct{}

func (discardEvents) Emit(detect.Event) {}

// fixture is a host with one attached server, which the test implements on raw TCP
// connections.
type fixture struct {
	host        *host.Host
	ledger      *atmostonce.Ledger
	board       *blackboard.Board
	attachments *host.Attachments
	listener    net.Listener
	// arrivals counts the request headers that the server received.
	arrivals atomic.Int64
}

// newFixture returns a host whose server handles each request with respond, which
// reports whether the connection stays open.
func newFixture(t *testing.T, respond func(conn net.Conn, id string) bool) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{listener: listener}
	f.board = blackboard.New(fleet.NodeRecord{ID: "n", Version: fleet.Version{Incarnation: 1}})
	f.ledger = atmostonce.NewLedger(
		atmostonce.Limits{Entries: 100, Bytes: 1 << 20, Retention: time.Hour}, atmostonce.NewClock())
	f.host = host.New(host.Options{
		Viewer:          f.board,
		Ledger:          f.ledger,
		Signer:          atmostonce.NewSigner("secret"),
		Events:          discardEvents{},
		Telemetry:       telemetry.Discard(),
		BufferedAnswer:  1 << 16,
		FreezeThreshold: time.Hour,
	})
	f.attachments = host.NewAttachments(f.host, f.board)
	f.board.Add(f.attachments)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(func() { listener.Close() })
	go f.board.Run(ctx)
	go f.accept(respond)
	f.announce(t, false)
	return f
}

func (f *fixture) accept(respond func(net.Conn, string) bool) {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.handle(conn, respond)
	}
}

func (f *fixture) handle(conn net.Conn, respond func(net.Conn, string) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.arrivals.Add(1)
		if !respond(conn, request.Header.Get(api.HeaderRequestID)) {
			return
		}
	}
}

func (f *fixture) announce(t *testing.T, leaving bool) {
	t.Helper()
	reply := postAnnouncement(t, f.attachments.Handler(), api.Announcement{
		ID: "b", Service: "s", Addr: f.listener.Addr().String(), Incarnation: 5, Slots: 2, Leaving: leaving,
	})
	if reply != http.StatusOK {
		t.Fatalf("the announcement got status %d", reply)
	}
}

func request(id, method string, idempotent bool) *forward.Request {
	return &forward.Request{
		ID: id, Attempt: 1, Service: "s", Server: "b", ServerIncarnation: 5,
		Method: method, Path: "/x", Header: http.Header{}, Idempotent: idempotent,
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func writeResponse(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", api.HeaderRequestID, id)
}

// TestNoSecondDispatchOnBrokenKeepAliveConnection guards against net/http
// resending a non-idempotent request by itself when the server closes a keep-alive
// connection after receiving the request.
func TestNoSecondDispatchOnBrokenKeepAliveConnection(t *testing.T) {
	var closing atomic.Bool
	f := newFixture(t, func(conn net.Conn, id string) bool {
		if closing.Load() {
			return false
		}
		writeResponse(conn, id)
		return true
	})
	if reply := f.host.Serve(context.Background(), request("1", http.MethodPost, false)); reply.Err != nil {
		t.Fatal(reply.Err)
	}
	closing.Store(true)
	for _, key := range []string{"", "caller-key"} {
		before := f.arrivals.Load()
		r := request("2"+key, http.MethodPost, false)
		r.CallerKey = key
		r.Header.Set(api.HeaderIdempotencyKey, key)
		reply := f.host.Serve(context.Background(), r)
		if got := f.arrivals.Load() - before; got != 1 {
			t.Errorf("the request with key %q arrived %d times", key, got)
		}
		if reply.Err == nil || reply.Err.Code.Outcome != codes.Unknown {
			t.Errorf("the outcome is not unknown: %+v", reply)
		}
	}
}

// TestResponseToAnotherRequestIsDropped guards against returning the response
// to another request to the caller.
func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, _ string) bool {
		writeResponse(conn, "another")
		return true
	})
	reply := f.host.Serve(context.Background(), request("1", http.MethodGet, true))
	if reply.Err == nil || reply.Err.Code.Number != codes.WrongAnswer.Number {
		t.Fatalf("got %+v", reply)
	}
}

// Guards against a response with the status 000, which is no HTTP status, that ends the exchange with the entry
// without a reply.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		f := newFixture(t, func(conn net.Conn, id string) bool {
			fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, api.HeaderRequestID, id)
			return true
		})
		reply := f.host.Serve(context.Background(), request("1", http.MethodGet, true))
		if reply.Err == nil || reply.Err.Code.Number != codes.AnswerLost.Number {
			t.Errorf("status %s: got %+v", status, reply)
		}
	}
}

// TestTruncatedResponseIsAnError guards against returning a truncated response as a
// complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, id string) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 20\r\n\r\nhalf", api.HeaderRequestID, id)
		return false
	})
	reply := f.host.Serve(context.Background(), request("1", http.MethodGet, true))
	if reply.Err == nil || reply.Err.Code.Number != codes.AnswerLost.Number {
		t.Fatalf("got %+v", reply)
	}
}

// TestLeavingServerGetsNoRequests guards against sending requests to a server
// that is draining.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, id string) bool {
		writeResponse(conn, id)
		return true
	})
	f.announce(t, true)
	reply := f.host.Serve(context.Background(), request("1", http.MethodPost, false))
	if reply.Err == nil || reply.Err.Code.Number != codes.Leaving.Number {
		t.Fatalf("got %+v", reply)
	}
	if f.arrivals.Load() != 0 {
		t.Fatal("the request reached the leaving server")
	}
}

// TestDeadlineBeforeDispatch guards against running a request whose deadline has
// passed, for example because the host was paused.
func TestDeadlineBeforeDispatch(t *testing.T) {
	f := newFixture(t, func(conn net.Conn, id string) bool {
		writeResponse(conn, id)
		return true
	})
	r := request("1", http.MethodPost, false)
	r.Deadline = time.Now().Add(-time.Millisecond)
	reply := f.host.Serve(context.Background(), r)
	if !reply.NotRun() || f.arrivals.Load() != 0 {
		t.Fatalf("got %+v after %d arrivals", reply, f.arrivals.Load())
	}
}

// Guards against an earlier refusal that a faulty server writes once more on a kept connection: believed, it would tell
// the caller that a request which the server runs has not run, and send it to a second server. The
// connection must not be used again, since the own response of the request is still to come on it.
func TestAnEarlierRefusalIsNotBelieved(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + api.HeaderRequestID + ": %s\r\n" + api.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	refused := ""
	var late net.Conn
	f := newFixture(t, func(conn net.Conn, id string) bool {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case refused == "":
			refused = id
			fmt.Fprintf(conn, refusal, id)
		case late == nil:
			late = conn
			fmt.Fprintf(conn, refusal, refused)
		case conn == late:
			// The response to the request before.
			writeResponse(conn, "2")
		default:
			writeResponse(conn, id)
		}
		return true
	})
	code := func(id string) int {
		reply := f.host.Serve(context.Background(), request(id, http.MethodPost, false))
		if reply.Err == nil {
			return 0
		}
		return reply.Err.Code.Number
	}
	for i, want := range []int{codes.ServerShed.Number, codes.WrongAnswer.Number, 0} {
		if got := code(fmt.Sprint(i + 1)); got != want {
			t.Fatalf("request %d: got code %d, want %d", i+1, got, want)
		}
	}
}

// Guards against a response whose head breaks off and that counts as complete, with an empty body. Other operators
// have reported it.
func TestAHeadThatBreaksOffIsAnError(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + api.HeaderRequestID + ": 1\r\nContent-Length: 0\r\nX: y\r\n\r\n"
	var cut atomic.Int64
	f := newFixture(t, func(conn net.Conn, _ string) bool {
		fmt.Fprint(conn, whole[:cut.Load()])
		return false
	})
	for n := range len(whole) {
		cut.Store(int64(n))
		reply := f.host.Serve(context.Background(), request("1", http.MethodPost, false))
		if reply.Err == nil || reply.Err.Code.Number != codes.AnswerLost.Number {
			t.Errorf("cut after %q: got %+v", whole[:n], reply)
		}
	}
}
