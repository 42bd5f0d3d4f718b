package forward

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// Server runs requests at attached backend servers; package host implements it.
type Server interface {
	// Serve runs one attempt and returns its reply, never nil.
	Serve(ctx context.Context, r *Request) *Reply
}

// Handler serves hops on the traffic listener.
type Handler struct {
	// Token is the credential that a hop must carry.
	Token string
	// MaxBody bounds a request body in bytes.
	MaxBody int64
	// Grace is the time after the deadline at which writing a response that the entry node
	// does not read is aborted.
	Grace time.Duration
	// Server runs the requests.
	Server Server
	// Telemetry receives metrics and traces of the hops.
	Telemetry *telemetry.Telemetry
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerToken)), []byte(h.Token)) != 1 {
		http.Error(w, "the hop has no valid token", http.StatusForbidden)
		return
	}
	request, err := decode(r.Header, time.Now())
	if err != nil {
		h.writeReply(w, r.Header.Get(headerID), ErrorReply(err))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody))
	if err != nil {
		// The request is incomplete, so it does not run.
		h.writeReply(w, request.ID, ErrorReply(BodyError(err)))
		return
	}
	request.Body = body
	ctx, span := h.Telemetry.Tracer.StartHop(telemetry.Extract(r.Context(), r.Header), "host", oteltrace.SpanKindServer)
	defer span.End()
	reply := h.Server.Serve(ctx, request)
	h.countResult(span, reply)
	LimitResponseWrite(w, request.Deadline, h.Grace)
	h.writeReply(w, request.ID, reply)
}

func (h *Handler) countResult(span telemetry.Span, reply *Reply) {
	result := telemetry.Result{Outcome: codes.Ran}
	if reply.Err != nil {
		result = telemetry.Result{Code: reply.Err.Code.Number, Outcome: reply.Err.Code.Outcome}
		span.Fail(reply.Err.Code.Name)
	}
	h.Telemetry.Metrics.HostRequests.Inc(result)
}

func (h *Handler) writeReply(w http.ResponseWriter, id string, reply *Reply) {
	defer reply.Close()
	header := w.Header()
	header.Set(headerID, id)
	if reply.HasLoad {
		header.Set(headerRunning, strconv.Itoa(reply.Load.Running))
		header.Set(headerQueued, strconv.Itoa(reply.Load.Queued))
	}
	if reply.Fenced {
		header.Set(headerFenced, "1")
	}
	if reply.Err != nil {
		header.Set(headerCode, strconv.Itoa(reply.Err.Code.Number))
		header.Set(headerDetail, reply.Err.Detail)
		header.Set("Content-Length", "0")
		return
	}
	h.writeResponse(w, reply.Response)
}

func (h *Handler) writeResponse(w http.ResponseWriter, response *Response) {
	header := w.Header()
	CopyEndToEnd(header, response.Header)
	header.Set(headerStatus, strconv.Itoa(response.Status))
	if response.Replayed {
		header.Set(headerReplayed, "1")
	}
	if response.Remainder == nil {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	if _, err := w.Write(response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if response.Remainder == nil {
		return
	}
	if _, err := io.Copy(w, response.Remainder); err != nil {
		// Returning normally would make a truncated response look complete.
		panic(http.ErrAbortHandler)
	}
}
