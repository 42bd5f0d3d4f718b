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
	// idleConnsPerHost bounds the kept connections to one host node.
	idleConnsPerHost = 32
	// idleConnTimeout keeps the connections to a host few: package route sizes
	// the subset of hosts for connections that end after this time without use.
	idleConnTimeout = 30 * time.Second
)

// Client sends hops to host nodes.
type Client struct {
	token  string
	buffer int64
	http   *http.Client
}

// NewClient returns a client. Answers up to buffer bytes are read whole.
func NewClient(token string, buffer int64) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{token: token, buffer: buffer, http: &http.Client{Transport: transport}}
}

// Send runs one attempt at the host with the given traffic address. The reply
// has code HostUnreachable, and outcome not-run, only if no connection was
// made; after that, a failure has an unknown outcome.
func (c *Client) Send(ctx context.Context, addr string, r *Request) *Reply {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	response, err := c.do(ctx, addr, r)
	if err != nil {
		cancel()
		return c.failure(ctx, err, connected)
	}
	reply := c.reply(response, r, cancel)
	if reply.Answer == nil || reply.Answer.Rest == nil {
		cancel()
	}
	return reply
}

func (c *Client) do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http never sends the request a second time.
	request.GetBody = nil
	r.encode(request.Header, c.token, time.Now())
	telemetry.Inject(ctx, request.Header)
	return c.http.Do(request)
}

func (c *Client) failure(ctx context.Context, err error, connected bool) *Reply {
	if !connected {
		return Refuse(codes.HostUnreachable.Wrap(err, "no connection to the host node"))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Refuse(codes.DeadlineExceeded.New("the host node gave no answer in time"))
	}
	return Refuse(codes.AnswerLost.Wrap(err, "the connection to the host node broke"))
}

func (c *Client) reply(response *http.Response, r *Request, cancel context.CancelFunc) *Reply {
	if response.Header.Get(headerID) != r.ID {
		response.Body.Close()
		return Refuse(codes.WrongAnswer.New("the host node answered another request"))
	}
	reply := &Reply{Fenced: response.Header.Get(headerFenced) == "1"}
	reply.Load, reply.HasLoad = decodeLoad(response.Header)
	if number := response.Header.Get(headerCode); number != "" {
		response.Body.Close()
		reply.Err = decodeError(response.Header)
		return reply
	}
	c.readAnswer(response, reply, cancel)
	return reply
}

func (c *Client) readAnswer(response *http.Response, reply *Reply, cancel context.CancelFunc) {
	status, err := strconv.Atoi(response.Header.Get(headerStatus))
	if err != nil {
		response.Body.Close()
		reply.Err = codes.WrongAnswer.New("the host node sent no status")
		return
	}
	answer := &Answer{
		Status:   status,
		Header:   http.Header{},
		Replayed: response.Header.Get(headerReplayed) == "1",
	}
	CopyEndToEnd(answer.Header, response.Header)
	answer.Body, answer.Rest, err = ReadBuffered(response.Body, c.buffer, response.ContentLength)
	if err != nil {
		response.Body.Close()
		reply.Err = codes.AnswerLost.Wrap(err, "the answer of the host node was cut")
		return
	}
	if answer.Rest != nil {
		answer.Rest = &cancelOnClose{ReadCloser: answer.Rest, cancel: cancel}
	}
	reply.Answer = answer
}

// ReadBuffered reads body whole if it has at most limit bytes, and closes it.
// Otherwise it returns the first bytes and the rest. length is the announced
// length, or -1.
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
		return codes.WrongAnswer.New("the host node sent a malformed code")
	}
	code, ok := codes.ByNumber(number)
	if !ok {
		return codes.Internal.New("the host node sent the unknown code %d", number)
	}
	return code.New("%s", h.Get(headerDetail))
}
