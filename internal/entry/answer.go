package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/problem"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// writeResponse sends the server's answer to the caller. It aborts the connection
// if a large answer ends early or the caller has not read it within AnswerGrace
// after the deadline, so that the caller cannot take a truncated response for a
// complete one.
func (e *Entry) writeResponse(w http.ResponseWriter, x *exchange, answer *forward.Response) {
	forward.LimitResponseWrite(w, x.request.Deadline, e.options.AnswerGrace)
	header := w.Header()
	forward.CopyEndToEnd(header, answer.Header)
	header.Set(api.HeaderRequestID, x.request.ID)
	header.Set(api.HeaderOutcome, string(codes.Ran))
	if answer.Replayed {
		header.Set(api.HeaderReplayed, "true")
	}
	if e.options.Viewer.View().Self.Leaving {
		header.Set("Connection", "close")
	}
	if answer.Remainder == nil && bodyAllowed(answer.Status) && len(answer.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	if answer.Remainder == nil {
		return
	}
	if _, err := io.Copy(w, answer.Remainder); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// bodyAllowed reports whether RFC 9110 permits a body with the status.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeError sends a coded error to the caller, with an outcome that covers all
// attempts of the exchange.
func (e *Entry) writeError(w http.ResponseWriter, id string, x *exchange, err *codes.Error) {
	err = x.correctOutcome(err)
	if e.options.Viewer.View().Self.Leaving {
		w.Header().Set("Connection", "close")
	}
	problem.Write(w, id, err)
	e.recordResult(x, telemetry.Result{Code: err.Code.Number, Outcome: err.Code.Outcome})
}

// correctOutcome returns err without the outcome not-run if an earlier attempt,
// or an earlier request with the same key, may have run.
func (x *exchange) correctOutcome(err *codes.Error) *codes.Error {
	if err.Code.Outcome != codes.NotRun {
		return err
	}
	if x.mayHaveRun {
		return codes.AnswerLost.Wrap(err, "an earlier attempt may have run")
	}
	if !x.keyed() || x.fenced || definitiveWithoutFence(err) {
		return err
	}
	corrected := *err
	corrected.Code.Outcome = codes.Unknown
	return &corrected
}

// keyed reports whether the request is deduplicated by an idempotency key.
func (x *exchange) keyed() bool {
	return x.request.CallerKey != "" && !x.request.Idempotent && !fleet.SafeMethod(x.request.Method)
}

// definitiveWithoutFence reports whether an error with outcome not-run is correct
// for a keyed request that was not fenced. Either the request is invalid, so that
// no node will ever run it as it is, or, for KeyStoreDown, the outcome refers to
// this one request only, as docs/callers.md says.
func definitiveWithoutFence(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.BadRequest.Number, codes.BodyTooLarge.Number, codes.KeyInvalid.Number,
		codes.KeyReused.Number, codes.KeyStoreDown.Number:
		return true
	}
	return false
}

// recordResult records the metrics of a finished caller request.
func (e *Entry) recordResult(x *exchange, result telemetry.Result) {
	metrics := e.options.Telemetry.Metrics
	metrics.Requests.Inc(result)
	metrics.Attempts.Add(int64(x.request.Attempt))
	metrics.RequestTime.Record(time.Since(x.started))
}
