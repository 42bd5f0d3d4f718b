package httpconn

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that is lost on a connection that the server closes at once: a Keep-Alive timeout of 0 was
// read as none.
func TestKeepAliveOfZeroSecondsEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	for _, announced := range []struct {
		header string
		reused bool
	}{{"", true}, {"timeout=5", true}, {"timeout=5, max=3", true}, {"timeout=0", false}, {"max=3, timeout=0", false}, {"timeout=1", false}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			if announced.header != "" {
				w.Header().Set("Keep-Alive", announced.header)
			}
		}))
		pool := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddr: 1, MaxResponseBody: 1 << 10, IDHeader: "Id"})
		var last *Response
		for range 2 {
			response, err := pool.Do(t.Context(), server.Listener.Addr().String(), &Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, ID: "1", MaxIdle: time.Minute,
			})
			g.Expect(err).NotTo(HaveOccurred())
			last = response
		}
		g.Expect(last.Reused).To(Equal(announced.reused), "Keep-Alive: %s", announced.header)
		pool.CloseIdle(server.Listener.Addr().String())
		server.Close()
	}
}
