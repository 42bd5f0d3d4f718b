package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleConnsPerHost bounds the idle connections to one host node.
	idleConnsPerHost = 32
	// idleConnTimeout limits the number of connections to a host: package route chooses the
	// size of the subset of hosts on the assumption that idle connections are closed after
	// this time.
	idleConnTimeout = 30 * time.Second
)

// Client sends hops to host nodes.
type Client struct {
	token       string
	bufferLimit int64
	http        *http.Client
}

// NewClient returns a client. It buffers response bodies of up to bufferLimit bytes whole and
// streams the rest of longer ones.
func NewClient(token string, bufferLimit int64) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{token: token, bufferLimit: bufferLimit, http: &http.Client{Transport: transport}}
}

// Send runs one attempt at the host with the given traffic address. If no connection was made,
// the reply has code HostUnreachable and outcome not-run. Any later failure has an unknown
// outcome.
func (c *Client) Send(ctx context.Context, addr string, r *Request) *Reply {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	httpResponse, err := c.roundTrip(ctx, addr, r)
	if err != nil {
		cancel()
		return c.failureReply(ctx, err, connected)
	}
	reply := c.readReply(httpResponse, r, cancel)
	if reply.Response == nil || reply.Response.Remainder == nil {
		cancel()
	}
	return reply
}

func (c *Client) roundTrip(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot replay the body, so it never retries the request.
	request.GetBody = nil
	r.encode(request.Header, c.token, time.Now())
	telemetry.Inject(ctx, request.Header)
	return c.http.Do(request)
}

func (c *Client) failureReply(ctx context.Context, err error, connected bool) *Reply {
	if !connected {
		return ErrorReply(codes.HostUnreachable.Wrap(err, "no connection to the host node"))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrorReply(codes.DeadlineExceeded.New("the host node did not respond before the deadline"))
	}
	return ErrorReply(codes.AnswerLost.Wrap(err, "the connection to the host node failed"))
}

func (c *Client) readReply(httpResponse *http.Response, r *Request, cancel context.CancelFunc) *Reply {
	if httpResponse.Header.Get(headerID) != r.ID {
		httpResponse.Body.Close()
		return ErrorReply(codes.WrongAnswer.New("the reply of the host node has another request ID"))
	}
	reply := &Reply{Fenced: httpResponse.Header.Get(headerFenced) == "1"}
	reply.Load, reply.HasLoad = decodeLoad(httpResponse.Header)
	if number := httpResponse.Header.Get(headerCode); number != "" {
		httpResponse.Body.Close()
		reply.Err = decodeError(httpResponse.Header)
		return reply
	}
	c.readResponse(httpResponse, reply, cancel)
	return reply
}

func (c *Client) readResponse(httpResponse *http.Response, reply *Reply, cancel context.CancelFunc) {
	status, err := strconv.Atoi(httpResponse.Header.Get(headerStatus))
	if err != nil {
		httpResponse.Body.Close()
		reply.Err = codes.WrongAnswer.New("the reply of the host node has no valid status")
		return
	}
	response := &Response{
		Status:   status,
		Header:   http.Header{},
		Replayed: httpResponse.Header.Get(headerReplayed) == "1",
	}
	CopyEndToEnd(response.Header, httpResponse.Header)
	response.Body, response.Remainder, err = ReadBuffered(httpResponse.Body, c.bufferLimit, httpResponse.ContentLength)
	if err != nil {
		httpResponse.Body.Close()
		reply.Err = codes.AnswerLost.Wrap(err, "the response of the host node was truncated")
		return
	}
	if response.Remainder != nil {
		response.Remainder = &cancelOnClose{ReadCloser: response.Remainder, cancel: cancel}
	}
	reply.Response = response
}

// ReadBuffered reads body whole and closes it if it has at most limit bytes. Otherwise it returns
// the first bytes and a reader for the rest, which the caller must close. length is the
// Content-Length, or -1 if it is unknown.
func ReadBuffered(body io.ReadCloser, limit, length int64) ([]byte, io.ReadCloser, error) {
	if length >= 0 && length <= limit {
		data := make([]byte, length)
		if _, err := io.ReadFull(body, data); err != nil {
			return nil, nil, err
		}
		return data, nil, body.Close()
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(data)) <= limit {
		return data, nil, body.Close()
	}
	return data, body, nil
}

// cancelOnClose cancels the context of a request when its response body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

func decodeLoad(h http.Header) (Load, bool) {
	running, err := strconv.Atoi(h.Get(headerRunning))
	if err != nil {
		return Load{}, false
	}
	queued, err := strconv.Atoi(h.Get(headerQueued))
	return Load{Running: running, Queued: queued}, err == nil
}

func decodeError(h http.Header) *codes.Error {
	number, err := strconv.Atoi(h.Get(headerCode))
	if err != nil {
		return codes.WrongAnswer.New("the reply of the host node has a malformed code")
	}
	code, ok := codes.ByNumber(number)
	if !ok {
		return codes.Internal.New("the reply of the host node has the unknown code %d", number)
	}
	return code.New("%s", h.Get(headerDetail))
}
