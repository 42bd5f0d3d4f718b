package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/limit"
)

// Errors returned by Do.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrOutcomeUnknown reports that the request was sent, at least in part, and that no complete
	// response arrived.
	ErrOutcomeUnknown = errors.New("the request was sent but no complete response arrived")
)

// MaxHeaderBytes limits the header of a response in bytes, including the informational responses
// before it and the trailers.
const MaxHeaderBytes = 64 << 10

// maxMismatchedResponses limits the responses to other requests that are skipped.
const maxMismatchedResponses = 2

// maxSyncBody is the largest body in bytes that is written before the response is read. Longer
// bodies are written concurrently, because a server may respond first.
const maxSyncBody = 4 << 10

// Request is a request to one address.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   limit.Body
	// ID is the value that the response repeats in Options.IDHeader.
	ID string
	// MaxIdle limits how long a reused connection may have been idle. A request is lost if the peer
	// closes the connection while it is sent.
	MaxIdle time.Duration
	// Reservation limits the memory of the response; nil for no limit.
	Reservation *limit.Reservation
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   limit.Body
	// Reused is set if an existing connection carried the request.
	Reused bool
	// endedByPeer is set if the end of the connection ended the body.
	endedByPeer bool
}

// Do sends a request and reads its response. Errors wrap ErrNotSent or ErrOutcomeUnknown. The
// connection is closed when ctx ends.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c := p.get(addr, time.Now(), r.MaxIdle)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	if ctx.Err() != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	response, reuse, err := p.exchange(ctx, c, r)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	response.Reused = reused
	if reuse >= 0 {
		p.put(c, time.Now(), reuse)
	} else {
		c.Close()
	}
	return response, nil
}

// doNotReuse, as a reuse time, means that the connection must be closed.
const doNotReuse = time.Duration(-1)

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, time.Duration, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	written, err := writeRequest(c, r)
	if err != nil {
		return nil, doNotReuse, err
	}
	response, reuse, err := p.readResponse(c, r)
	if err != nil {
		return nil, doNotReuse, err
	}
	if response.endedByPeer {
		if err := checkOrderlyEnd(c, written); err != nil {
			return nil, doNotReuse, err
		}
		return response, doNotReuse, nil
	}
	if !stop() {
		// ctx ended; the connection is closed or about to be.
		reuse = doNotReuse
	}
	select {
	case err := <-written:
		if err != nil {
			reuse = doNotReuse
		}
	default:
		// The server responded before the body was sent completely. Closing the connection prevents
		// later bytes from being read as the rest of the body.
		reuse = doNotReuse
	}
	return response, reuse, nil
}

// checkOrderlyEnd returns an error if a reset ended the connection from which a body without a length
// was read. The kernel reports a reset once. If a pending write gets the report, the read sees the end
// of the stream as after an orderly close.
func checkOrderlyEnd(c *conn, written <-chan error) error {
	// Ends a write that is still pending, without an effect on one that has failed.
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	if err := <-written; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the connection broke at the end of a body without a length: %w", err)
	}
	return nil
}

// writeRequest sends the request. The channel yields the result of the write, which continues in
// the background for a long body.
func writeRequest(c *conn, r *Request) (<-chan error, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	if r.Body.Len() > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", r.Body.Len())
	}
	head.WriteString("\r\n")
	written := make(chan error, 1)
	if r.Body.Len() <= maxSyncBody {
		if _, err := r.Body.WriteTo(&head); err != nil {
			return nil, err
		}
		_, err := c.Write(head.Bytes())
		written <- nil
		return written, err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return nil, err
	}
	go func() {
		_, err := r.Body.WriteTo(c)
		written <- err
	}()
	return written, nil
}

// readResponse reads the response to r. The duration is how long the connection may be idle before
// reuse: doNotReuse, 0 if the peer names no limit, or the peer's limit.
func (p *Pool) readResponse(c *conn, r *Request) (*Response, time.Duration, error) {
	request := &http.Request{Method: r.Method}
	c.limiter.remaining = MaxHeaderBytes
	for mismatched := 0; ; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, doNotReuse, err
		}
		if !forward.IsValidStatus(response.StatusCode) {
			return nil, doNotReuse, fmt.Errorf("the response has the invalid status %03d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, doNotReuse, errors.New("unexpected 101 Switching Protocols response")
			}
			continue
		}
		body, err := p.readBody(c, response, r.Reservation)
		if err != nil {
			return nil, doNotReuse, err
		}
		if p.options.IDHeader != "" && response.Header.Get(p.options.IDHeader) != r.ID {
			if mismatched++; mismatched > maxMismatchedResponses || response.Close {
				return nil, doNotReuse, errors.New("the response names another request")
			}
			continue
		}
		reuse := reuseTime(response, c.reader)
		if mismatched > 0 {
			reuse = doNotReuse
		}
		return &Response{
			Status: response.StatusCode, Header: response.Header, Body: body,
			endedByPeer: !isBodyless(response) && response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		}, reuse, nil
	}
}

// readBody reads the body of a response. After an error it does not close the body, because closing
// would read the rest; the caller closes the connection.
func (p *Pool) readBody(c *conn, response *http.Response, reservation *limit.Reservation) (limit.Body, error) {
	length := response.ContentLength
	if isBodyless(response) {
		length = 0
	}
	// Besides its own bytes, a chunked body has chunk sizes and extensions, which net/http limits
	// to a share of the body, and trailers.
	c.limiter.remaining = 2*p.options.MaxResponseBody + MaxHeaderBytes
	body, err := reservation.Read(response.Body, length, p.options.MaxResponseBody)
	c.limiter.remaining = MaxHeaderBytes
	return body, err
}

// isBodyless reports whether no body follows, whatever length the header announces.
func isBodyless(response *http.Response) bool {
	return response.Request.Method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

func reuseTime(response *http.Response, reader *bufio.Reader) time.Duration {
	if response.Close || reader.Buffered() > 0 || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return doNotReuse
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		limit, err := strconv.Atoi(value)
		switch {
		case err == nil && limit == 0:
			return doNotReuse
		case err == nil && limit > 0:
			return time.Duration(limit) * time.Second
		}
	}
	return 0
}
