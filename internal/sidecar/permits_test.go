package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/permit"
)

// newPermitHost serves hops of any entry with handle.
func newPermitHost(handle func(w http.ResponseWriter, r *http.Request, body []byte, ask func() bool)) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ask := splitPermit(w, r)
		body, err := io.ReadAll(r.Body)
		if err == nil {
			handle(w, r, body, ask)
		}
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

// Guards against a lost hop that counts as not run though its host got the permit, against bodies that
// the permit changes, and against refusals that are lost because the body of the hop has not ended.
func TestALostHopCountsAsNotRunOnlyWithoutPermit(t *testing.T) {
	type outcome struct{ failed, lost, notRun, ran bool }
	for end, want := range map[string]outcome{
		"refuse":          {},
		"run":             {ran: true},
		"break unasked":   {failed: true, notRun: true, lost: true},
		"break permitted": {failed: true, lost: true, ran: true},
	} {
		for _, size := range []int{0, 1, 100, 300 << 10} {
			t.Run(fmt.Sprintf("%s, body of %d bytes", end, size), func(t *testing.T) {
				var ran atomic.Bool
				server := newPermitHost(func(w http.ResponseWriter, _ *http.Request, body []byte, ask func() bool) {
					switch {
					case end == "break unasked":
						panic(http.ErrAbortHandler)
					case end != "refuse" && ask():
						ran.Store(len(body) == size)
						if end == "break permitted" {
							panic(http.ErrAbortHandler)
						}
					}
					w.Header()["Content-Length"] = []string{"0"}
				})
				defer server.Close()
				peers := newPeerClient()
				defer peers.http.CloseIdleConnections()
				_, err := peers.doPermitted(t.Context(), server.Listener.Addr().String(), &httpconn.Request{
					Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: limit.NewBody(make([]byte, size)),
				}, time.Second)
				got := outcome{failed: err != nil, lost: errors.Is(err, httpconn.ErrOutcomeUnknown), notRun: errors.Is(err, errNotPermitted), ran: ran.Load()}
				NewWithT(t).Expect(got).To(Equal(want), "%v", err)
			})
		}
	}
}

// Guards against a request that waits for a node which took it and then stood still, until the
// connection breaks, and that runs there later.
func TestAHostThatDoesNotAskIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	proceed, permitted := make(chan struct{}), make(chan bool, 1)
	server := newPermitHost(func(_ http.ResponseWriter, _ *http.Request, _ []byte, ask func() bool) {
		<-proceed
		permitted <- ask()
	})
	defer server.Close()
	started := time.Now()
	_, err := newPeerClient().doPermitted(t.Context(), server.Listener.Addr().String(), &httpconn.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
	}, 100*time.Millisecond)
	g.Expect(err).To(MatchError(errNotPermitted))
	g.Expect(time.Since(started)).To(And(BeNumerically(">=", permit.Patience(100*time.Millisecond, 0)), BeNumerically("<", peerPingAfter)))
	close(proceed)
	g.Expect(<-permitted).To(BeFalse())
}
