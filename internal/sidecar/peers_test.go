package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
)

// Guards against requests that hang with the connection when the network path to a node is cut. A
// request must move on to another node soon, the error that it was not sent must be true, and a
// connection that is established late serves later requests.
func TestARequestDoesNotWaitForAHangingConnection(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan string, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()

	hanging := make(chan struct{})
	peers := newPeerClientWith(func(ctx context.Context, network, addr string) (net.Conn, error) {
		<-hanging
		return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, addr)
	})
	send := func(path string) error {
		_, err := peers.do(t.Context(), server.Listener.Addr().String(), &httpconn.Request{
			Method: http.MethodGet, Target: path, Host: "h", Header: http.Header{},
		})
		return err
	}
	started := time.Now()
	g.Expect(send("/first")).To(MatchError(httpconn.ErrNotSent))
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*peerDialTimeout))
	close(hanging)
	g.Expect(send("/second")).To(Succeed())
	g.Expect(<-arrived).To(Equal("/second"))
	g.Expect(arrived).To(BeEmpty())
}

// Guards against a reply of another node that is cut and looks complete: the stream is reset or the
// connection breaks, with or without an announced length.
func TestAReplyThatIsCutIsAnError(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.IntRange(1, 64<<10).Draw(rt, "length")
		sent := rapid.IntRange(0, length-1).Draw(rt, "sent")
		announced := rapid.Bool().Draw(rt, "announced")
		breaks := rapid.Bool().Draw(rt, "the connection breaks")
		requestBytes := rapid.SampledFrom([]int{0, 100, 64 << 10, 2 << 20}).Draw(rt, "request")
		var server *httptest.Server
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if announced {
				w.Header().Set("Content-Length", strconv.Itoa(length))
			}
			_, _ = w.Write(make([]byte, sent))
			w.(http.Flusher).Flush()
			if breaks {
				server.CloseClientConnections()
			}
			panic(http.ErrAbortHandler)
		}))
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		server.Start()
		defer server.Close()
		peers := newPeerClient()
		defer peers.http.CloseIdleConnections()
		response, err := peers.do(t.Context(), server.Listener.Addr().String(), &httpconn.Request{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: limit.NewBody(make([]byte, requestBytes)),
		})
		if err == nil {
			rt.Fatalf("a reply cut after %d bytes was returned with %d of %d bytes", sent, response.Body.Len(), length)
		}
	})
}

// silenceableConn is a connection that can go silent for good, without a reset: what is written is lost, and nothing
// arrives any more.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silenceableConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (c silenceableConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Guards against hops that wait until their deadline, again and again, on an open connection between two nodes that has
// gone silent while new ones work: only a time limit of the node shows it. Without acknowledgements the kernel ends such a
// connection after peerUserTimeout; here something still acknowledges, so that the ping has to.
func TestAHopOnASilentConnectionIsGivenUpAndTheNextOneSucceeds(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	var mu sync.Mutex
	var latest *atomic.Bool
	peers := newPeerClientWith(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		latest = &atomic.Bool{}
		return silenceableConn{conn, latest}, err
	})
	hop := func() *httpconn.Request {
		return &httpconn.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}
	}
	addr := server.Listener.Addr().String()
	_, err := peers.do(t.Context(), addr, hop())
	g.Expect(err).NotTo(HaveOccurred())
	mu.Lock()
	latest.Store(true)
	mu.Unlock()

	// A hop with a permit ends sooner, and it is known that it has not run.
	_, err = peers.doPermitted(t.Context(), addr, hop(), 0)
	g.Expect(err).To(MatchError(errNotPermitted))

	ctx, cancel := context.WithTimeout(t.Context(), 4*(peerPingAfter+peerPingTimeout))
	defer cancel()
	started := time.Now()
	_, err = peers.do(ctx, addr, hop())
	g.Expect(err).To(MatchError(httpconn.ErrOutcomeUnknown))
	g.Expect(time.Since(started)).To(BeNumerically("<", 2*(peerPingAfter+peerPingTimeout)))
	_, err = peers.do(ctx, addr, hop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(runs.Load()).To(Equal(int64(2)), "nothing ran that was sent on the silent connection")
}
