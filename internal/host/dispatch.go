package host

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

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// admitAndSend waits for a slot, dispatches the request and returns the reply. The
// slot is held until the response has been read completely or closed.
func (h *Host) admitAndSend(ctx context.Context, server *attachedServer, r *forward.Request, claim *atmostonce.Claim) *forward.Reply {
	metrics := h.options.Telemetry.Metrics
	arrived := time.Now()
	permit, err := server.admitter.Admit(ctx, r.FairShareKey(), r.Weight, r.Deadline)
	metrics.AdmissionTime.Record(time.Since(arrived))
	if err != nil {
		return forward.ErrorReply(err)
	}
	started := time.Now()
	release := func() { permit.Release(time.Since(started)) }
	if err := h.checkDispatch(r, claim); err != nil {
		release()
		return forward.ErrorReply(err)
	}
	reply := h.dispatch(ctx, server, r, started)
	if reply.Response != nil && reply.Response.Remainder != nil {
		reply.Response.Remainder = &closeHook{ReadCloser: reply.Response.Remainder, onClose: release}
		return reply
	}
	release()
	return reply
}

// checkDispatch is the last check before the request is sent to the server, and marks
// it as dispatched in the ledger. It repeats checks of eligibleServer because the
// process may have been paused since.
func (h *Host) checkDispatch(r *forward.Request, claim *atmostonce.Claim) error {
	if h.viewIsStale() {
		return codes.Stale.New("the host was paused and is refreshing its view")
	}
	if !time.Now().Before(r.Deadline) {
		return codes.DeadlinePassed.New("the deadline passed before the request was dispatched")
	}
	if claim == nil {
		return nil
	}
	if err := claim.Dispatch(); err != nil {
		return codes.Fenced.New("the request was fenced before it was dispatched")
	}
	return nil
}

// dispatch sends the request and reports its start and end to failure detection.
func (h *Host) dispatch(ctx context.Context, server *attachedServer, r *forward.Request, started time.Time) *forward.Reply {
	event := detect.Event{
		Target:  server.id,
		Service: server.service,
		Request: h.eventSeq.Add(1),
		At:      started,
	}
	h.options.Events.Emit(event)
	h.options.Telemetry.Metrics.Dispatches.Inc()
	ctx, span := h.options.Telemetry.Tracer.StartHop(ctx, "dispatch", oteltrace.SpanKindClient)
	defer span.End()
	reply := h.send(ctx, server, r)
	event.At = time.Now()
	event.Finished = true
	event.Latency = event.At.Sub(started)
	event.Result = detectionResult(ctx, reply)
	h.options.Telemetry.Metrics.ServerTime.Record(event.Latency)
	if reply.Err != nil {
		span.Fail(reply.Err.Code.Name)
	}
	h.options.Events.Emit(event)
	return reply
}

// detectionResult classifies a reply as evidence about the server.
func detectionResult(ctx context.Context, reply *forward.Reply) detect.Result {
	if reply.Err == nil {
		if reply.Response.Status >= http.StatusInternalServerError {
			return detect.Failure
		}
		return detect.Success
	}
	switch {
	case errors.Is(reply.Err, codes.ServerShed.New("")):
		return detect.Shed
	case errors.Is(ctx.Err(), context.Canceled):
		return detect.Cancelled
	case errors.Is(reply.Err, codes.DeadlineExceeded.New("")):
		return detect.Timeout
	}
	return detect.Failure
}

func (h *Host) send(ctx context.Context, server *attachedServer, r *forward.Request) *forward.Reply {
	var conn net.Conn
	written := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { conn = info.Conn },
		WroteRequest: func(info httptrace.WroteRequestInfo) { written <- info.Err },
	})
	request, err := serverRequest(ctx, server, r)
	if err != nil {
		return forward.ErrorReply(codes.BadRequest.Wrap(err, "the method or the path is invalid"))
	}
	response, err := h.client.Do(request)
	if err != nil {
		return sendErrorReply(ctx, err, conn != nil)
	}
	if response.Header.Get(api.HeaderRequestID) != r.ID {
		// The response to this request may be still to come on the connection.
		conn.Close()
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: ctx, written: written}
	}
	return h.readReply(ctx, response, r)
}

// unframedBody is a response body that ends with the connection. The kernel reports a reset once. If
// the pending write of the request gets the report, the end of the stream does not end the body.
type unframedBody struct {
	io.ReadCloser
	ctx context.Context
	// written yields the result of writing the request, and end is what it makes of the end of the
	// stream.
	written <-chan error
	end     error
}

// Read implements io.Reader.
func (u *unframedBody) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if u.end == nil {
		select {
		case failed := <-u.written:
			u.end = io.EOF
			if failed != nil {
				u.end = io.ErrUnexpectedEOF
			}
		case <-u.ctx.Done():
			u.end = u.ctx.Err()
		}
	}
	return n, u.end
}

// serverRequest builds the request to the backend server. net/http may resend a
// request by itself when a reused connection breaks. To prevent that for
// non-idempotent requests, GetBody is nil and the key is sent in a header other than
// Idempotency-Key.
func serverRequest(ctx context.Context, server *attachedServer, r *forward.Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server.addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	forward.CopyEndToEnd(request.Header, r.Header)
	request.Header.Del(api.HeaderIdempotencyKey)
	request.Header.Set(api.HeaderRequestID, r.ID)
	request.Header.Set(api.HeaderServerIncarnation, strconv.FormatUint(server.incarnation, 10))
	request.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10))
	if r.Account != "" {
		request.Header.Set(api.HeaderAccount, r.Account)
	}
	if r.CallerKey != "" {
		request.Header.Set(api.HeaderServerKey, r.CallerKey)
	}
	telemetry.Inject(ctx, request.Header)
	return request, nil
}

func sendErrorReply(ctx context.Context, err error, connected bool) *forward.Reply {
	if !connected {
		return forward.ErrorReply(codes.ServerUnreachable.Wrap(err, "cannot connect to the backend server"))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return forward.ErrorReply(codes.DeadlineExceeded.New("the backend server did not respond before the deadline"))
	}
	return forward.ErrorReply(codes.AnswerLost.Wrap(err, "the connection to the backend server was lost"))
}

func (h *Host) readReply(ctx context.Context, response *http.Response, r *forward.Request) *forward.Reply {
	if !forward.IsValidStatus(response.StatusCode) {
		response.Body.Close()
		return forward.ErrorReply(codes.AnswerLost.New("the response of the backend server has the invalid status %03d", response.StatusCode))
	}
	// Before the header that states that the request has not run: a server may send an earlier refusal again.
	if response.Header.Get(api.HeaderRequestID) != r.ID {
		response.Body.Close()
		h.options.Telemetry.Metrics.WrongAnswers.Inc()
		return forward.ErrorReply(codes.WrongAnswer.New("the response of the backend server does not carry the ID of this request"))
	}
	if response.Header.Get(api.HeaderNotRun) == "1" {
		response.Body.Close()
		return forward.ErrorReply(codes.ServerShed.New("the backend server shed the request"))
	}
	length := response.ContentLength
	if r.Method == http.MethodHead {
		length = 0
	}
	body, rest, err := forward.ReadBuffered(response.Body, h.options.BufferedAnswer, length)
	if err != nil {
		response.Body.Close()
		return truncatedReply(ctx, err)
	}
	answer := &forward.Response{Status: response.StatusCode, Header: http.Header{}, Body: body, Remainder: rest}
	forward.CopyEndToEnd(answer.Header, response.Header)
	answer.Header.Del(api.HeaderServerIncarnation)
	return &forward.Reply{Response: answer}
}

func truncatedReply(ctx context.Context, err error) *forward.Reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return forward.ErrorReply(codes.DeadlineExceeded.New("the backend server did not complete its response before the deadline"))
	}
	return forward.ErrorReply(codes.AnswerLost.Wrap(err, "the response of the backend server was truncated"))
}

// closeHook calls onClose once, after the reader is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
	return err
}

// cancelAfterRead calls cancel when a streamed answer is closed, or immediately if
// nothing is left to read.
func cancelAfterRead(reply *forward.Reply, cancel context.CancelFunc) {
	if reply.Response == nil || reply.Response.Remainder == nil {
		cancel()
		return
	}
	reply.Response.Remainder = &closeHook{ReadCloser: reply.Response.Remainder, onClose: cancel}
}
