package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/limit"
)

// Errors of Do.
var (
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("no connection carried the request")
	// ErrOutcomeUnknown says that the request was sent, at least in part, and that no
	// whole answer to it arrived.
	ErrOutcomeUnknown = errors.New("the request was sent and its answer was lost")
)

// MaxHeaderBytes bounds the head of an answer in bytes, with the informational answers
// before it and the trailers.
const MaxHeaderBytes = 64 << 10

// maxExtraAnswers bounds the answers to other requests that are skipped.
const maxExtraAnswers = 2

// syncBody is the largest body in bytes that is written before the answer is
// read. Longer ones are written meanwhile, because a server may answer first.
const syncBody = 4 << 10

// Request is one request to an address.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value that the answer repeats in Options.IDHeader.
	ID string
	// MaxIdle bounds how long a kept connection may have been idle. A
	// connection that the peer closes meanwhile loses the request.
	MaxIdle time.Duration
	// Reservation takes the memory of the answer; nil for no bound.
	Reservation *limit.Reservation
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused tells that a kept connection carried the request.
	Reused bool
}

// Do sends a request and reads its answer. The error is ErrNotSent or
// ErrUnknown; the end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c := p.take(addr, time.Now(), r.MaxIdle)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.open(ctx, addr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	answer, keep, err := p.exchange(ctx, c, r)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	answer.Reused = reused
	if keep >= 0 {
		p.keep(c, time.Now(), keep)
	} else {
		c.Close()
	}
	return answer, nil
}

// discard as the time to keep a connection says that it must be closed.
const discard = time.Duration(-1)

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, time.Duration, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	written, err := writeRequest(c, r)
	if err != nil {
		return nil, discard, err
	}
	answer, keep, err := p.readAnswer(c, r)
	if err != nil {
		return nil, discard, err
	}
	if !stop() {
		// ctx ended; the connection is closed or about to be.
		keep = discard
	}
	select {
	case err := <-written:
		if err != nil {
			keep = discard
		}
	default:
		// The server answered before the body was sent. Closing the connection
		// keeps other bytes from taking the place of the rest.
		keep = discard
	}
	return answer, keep, nil
}

// writeRequest sends the request. The channel yields the result of the write,
// which goes on in the background for a long body.
func writeRequest(c *conn, r *Request) (<-chan error, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	written := make(chan error, 1)
	if len(r.Body) <= syncBody {
		head.Write(r.Body)
		_, err := c.Write(head.Bytes())
		written <- nil
		return written, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return nil, err
	}
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return written, nil
}

// readAnswer reads the answer to r and returns for how long the connection may
// be kept: discard, 0 if the peer names no limit, or its limit.
func (p *Pool) readAnswer(c *conn, r *Request) (*Response, time.Duration, error) {
	request := &http.Request{Method: r.Method}
	c.limited.left = MaxHeaderBytes
	for extra := 0; ; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, discard, err
		}
		if response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, discard, errors.New("unexpected change of protocol")
			}
			continue
		}
		body, err := p.readBody(c, response, r.Reservation)
		if err != nil {
			return nil, discard, err
		}
		if p.options.IDHeader != "" && response.Header.Get(p.options.IDHeader) != r.ID {
			if extra++; extra > maxExtraAnswers || response.Close {
				return nil, discard, errors.New("the answer names another request")
			}
			continue
		}
		keep := keepTime(response, c.reader)
		if extra > 0 {
			keep = discard
		}
		return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, keep, nil
	}
}

// readBody reads the body of an answer. After an error it leaves the rest unread: the
// connection is closed then, and closing the body would read on.
func (p *Pool) readBody(c *conn, response *http.Response, hold *limit.Reservation) ([]byte, error) {
	length := response.ContentLength
	if isBodyless(response) {
		length = 0
	}
	// Beside its own bytes a body in chunks has sizes and extensions, of which
	// net/http allows a share, and trailers.
	c.limited.left = 2*p.options.MaxResponseBody + MaxHeaderBytes
	body, err := hold.Read(response.Body, length, p.options.MaxResponseBody)
	c.limited.left = MaxHeaderBytes
	return body, err
}

// isBodyless reports whether the announced length is not that of a body that follows.
func isBodyless(response *http.Response) bool {
	return response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

func keepTime(response *http.Response, reader *bufio.Reader) time.Duration {
	if response.Close || reader.Buffered() > 0 || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return discard
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if limit, err := strconv.Atoi(value); err == nil && limit > 0 {
			return time.Duration(limit) * time.Second
		}
	}
	return 0
}
