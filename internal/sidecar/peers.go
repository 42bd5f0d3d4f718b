package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/internal/httpconn"
)

const (
	// peerDialTimeout bounds a connection to another node, some milliseconds away.
	peerDialTimeout = 400 * time.Millisecond
	// peerConnectTime is how long a request waits for a connection before another
	// node is asked, some times the round trip between regions. The connection
	// is still made for later requests.
	peerConnectTime = 150 * time.Millisecond
	// peerUserTimeout ends a connection to a node that acknowledges nothing.
	peerUserTimeout = 1500 * time.Millisecond
	// peerSilence is the time without a frame after which a connection to
	// another node is probed, and peerPing how long the node may take to answer.
	peerSilence = 3 * time.Second
	peerPing    = time.Second
	// peerIdle is how long a connection to another node is kept without use.
	peerIdle = 30 * time.Second
	// headerTarget carries a request target that a URL cannot hold.
	headerTarget = "T-Target"
)

// peerClient sends hops to other nodes over HTTP/2 without TLS: its header
// compression leaves little of the headers, which are most of the bytes of a
// small hop, and one connection carries all hops to a node.
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
		IdleConnTimeout:    peerIdle,

		MaxResponseHeaderBytes: maxHead,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: peerSilence, PingTimeout: peerPing},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &peerClient{http: &http.Client{Transport: transport, CheckRedirect: keepRedirect}}
}

// keepRedirect hands redirects of a backend server to the caller.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return httpconn.SetUserTimeout(raw, peerUserTimeout)
}

// do sends a request. The error is httpconn.ErrNotSent or httpconn.ErrUnknown.
func (c *peerClient) do(ctx context.Context, addr string, r *httpconn.Request) (*httpconn.Response, error) {
	// The hook after the headers runs too late for a request that is cancelled
	// while they are written.
	var sent atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connecting := time.AfterFunc(peerConnectTime, func() {
		if !sent.Load() {
			cancel()
		}
	})
	defer connecting.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header,
		URL:           &url.URL{Scheme: "http", Host: addr, Opaque: r.Target},
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if strings.HasPrefix(r.Target, "//") || !strings.HasPrefix(r.Target, "/") {
		request.Header[headerTarget] = []string{r.Target}
		request.URL.Opaque = "/"
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		// net/http would add its own.
		request.Header["User-Agent"] = nil
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		if sent.Load() {
			return nil, fmt.Errorf("%w: %w", httpconn.ErrOutcomeUnknown, err)
		}
		return nil, fmt.Errorf("%w: %w", httpconn.ErrNotSent, err)
	}
	// The stream ends with ctx, so that no error leaves it open.
	length := response.ContentLength
	if r.Method == http.MethodHead || !bodyAllowed(response.StatusCode) {
		length = 0
	}
	body, err := r.Reservation.Read(response.Body, length, maxAnswer)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", httpconn.ErrOutcomeUnknown, err)
	}
	return &httpconn.Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// hopTarget returns the target of a caller's request that came over a hop.
func hopTarget(r *http.Request) string {
	if target := r.Header.Get(headerTarget); target != "" {
		return target
	}
	return r.RequestURI
}
