package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/permit"
)

const (
	// peerDialTimeout bounds connecting to another node. Round trips between nodes take some
	// milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// peerConnectWait is how long a request waits for a connection before another node is tried: a
	// few times the round trip between regions. The connection attempt continues and serves later
	// requests.
	peerConnectWait = 150 * time.Millisecond
	// peerUserTimeout closes a connection to a node that acknowledges nothing.
	peerUserTimeout = 1500 * time.Millisecond
	// peerPingAfter is the time without a frame after which a connection to another node is
	// checked with a ping, and peerPingTimeout the time that the node has to answer it.
	peerPingAfter   = 3 * time.Second
	peerPingTimeout = time.Second
	// peerIdleTimeout is how long an unused connection to another node is kept.
	peerIdleTimeout = 30 * time.Second
	// headerTarget carries a request target that cannot be represented as a URL.
	headerTarget = "T-Target"
)

// peerClient sends hops to other nodes over HTTP/2 without TLS. Header compression matters because
// headers make up most of the bytes of a small hop, and one connection carries all hops to a node.
type peerClient struct {
	http *http.Client
}

func newPeerClient() *peerClient {
	dialer := net.Dialer{Timeout: peerDialTimeout, Control: setUserTimeout}
	return newPeerClientWith(dialer.DialContext)
}

func newPeerClientWith(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *peerClient {
	transport := &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		IdleConnTimeout:    peerIdleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &peerClient{http: &http.Client{Transport: transport, CheckRedirect: passRedirect}}
}

// passRedirect stops the client from following redirects, so that those of backend servers reach
// the caller.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return httpconn.SetUserTimeout(raw, peerUserTimeout)
}

// doPermitted sends a request that the node runs only with a permit, and may queue for the given time.
// Errors are those of do, or wrap errNotPermitted.
func (c *peerClient) doPermitted(ctx context.Context, addr string, r *httpconn.Request, queue time.Duration) (*httpconn.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	allowed := permit.New()
	unasked := time.AfterFunc(permit.Patience(queue, r.Body.Len()), func() {
		if allowed.WithdrawUnasked() {
			cancel()
		}
	})
	defer unasked.Stop()
	r.Header[headerPermit] = []string{"1"}
	response, err := c.send(ctx, addr, r, allowed)
	// Without an error the reply is a refusal, or the permit was granted.
	notRun := allowed.Withdraw()
	if err != nil && notRun && !errors.Is(err, httpconn.ErrNotSent) {
		return nil, fmt.Errorf("%w: %w", errNotPermitted, err)
	}
	return response, err
}

// do sends a request. Errors wrap httpconn.ErrNotSent or httpconn.ErrOutcomeUnknown.
func (c *peerClient) do(ctx context.Context, addr string, r *httpconn.Request) (*httpconn.Response, error) {
	return c.send(ctx, addr, r, nil)
}

// send sends a request, with a permit unless allowed is nil. Errors are those of do.
func (c *peerClient) send(ctx context.Context, addr string, r *httpconn.Request, allowed *permit.Permit) (*httpconn.Response, error) {
	// WroteHeaders is called too late for a request that is cancelled while its headers are being
	// written.
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connecting := time.AfterFunc(peerConnectWait, func() {
		if !sent.Load() {
			cancel()
		}
	})
	defer connecting.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
		Got1xxResponse: func(status int, _ textproto.MIMEHeader) error {
			if allowed != nil && status == askStatus {
				allowed.Ask()
			}
			return nil
		},
	})
	request := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header,
		URL:           &url.URL{Scheme: "http", Host: addr, Opaque: r.Target},
		Body:          http.NoBody,
		ContentLength: int64(r.Body.Len()),
	}
	if r.Body.Len() > 0 {
		request.Body = io.NopCloser(r.Body.Reader())
	}
	if allowed != nil {
		request.Body = allowed.Body(r.Body.Reader())
		request.ContentLength++
	}
	if strings.HasPrefix(r.Target, "//") || !strings.HasPrefix(r.Target, "/") {
		request.Header[headerTarget] = []string{r.Target}
		request.URL.Opaque = "/"
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// Otherwise net/http would add its own.
		request.Header["User-Agent"] = nil
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		if sent.Load() {
			return nil, fmt.Errorf("%w: %w", httpconn.ErrOutcomeUnknown, err)
		}
		return nil, fmt.Errorf("%w: %w", httpconn.ErrNotSent, err)
	}
	// Cancelling ctx ends the stream, so no error path leaves it open.
	length := response.ContentLength
	if r.Method == http.MethodHead || !bodyAllowed(response.StatusCode) {
		length = 0
	}
	body, err := r.Reservation.Read(response.Body, length, maxResponse)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", httpconn.ErrOutcomeUnknown, err)
	}
	return &httpconn.Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// originalTarget returns the target of the caller's request that arrived over a hop.
func originalTarget(r *http.Request) string {
	if target := r.Header.Get(headerTarget); target != "" {
		return target
	}
	return r.RequestURI
}
