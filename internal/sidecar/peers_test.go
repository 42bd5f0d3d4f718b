package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/httpconn"
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
