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

// deliver sends an answer to the caller. If the rest of a large answer breaks
// off, or the caller does not read it until the grace after its deadline, the caller's connection is aborted, so that it never takes a cut answer
// for a whole one.
func (e *Entry) deliver(w http.ResponseWriter, x *exchange, answer *forward.Response) {
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

// bodyAllowed reports whether RFC 9110 allows a body with the status.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuse sends a coded error to the caller, with an outcome that holds for the
// whole exchange.
func (e *Entry) refuse(w http.ResponseWriter, id string, x *exchange, err *codes.Error) {
	err = x.truthful(err)
	if e.options.Viewer.View().Self.Leaving {
		w.Header().Set("Connection", "close")
	}
	problem.Write(w, id, err)
	e.finish(x, telemetry.Result{Code: err.Code.Number, Outcome: err.Code.Outcome})
}

// truthful corrects the outcome of an error where an earlier attempt, or an
// earlier request with the same key, may have run.
func (x *exchange) truthful(err *codes.Error) *codes.Error {
	if err.Code.Outcome != codes.NotRun {
		return err
	}
	if x.maybeRan {
		return codes.AnswerLost.Wrap(err, "an earlier attempt may have run")
	}
	if !x.keyed() || x.fenced || ownRefusal(err) {
		return err
	}
	unsure := *err
	unsure.Code.Outcome = codes.Unknown
	return &unsure
}

// keyed reports whether the request runs under an idempotency key.
func (x *exchange) keyed() bool {
	return x.request.CallerKey != "" && !x.request.Idempotent && !fleet.SafeMethod(x.request.Method)
}

// ownRefusal reports whether a refusal of a keyed request holds without a
// fence: the request can run under no node and at no time as it stands, or, for
// KeyStoreDown, the refusal speaks of this one request only, as docs/callers.md
// says.
func ownRefusal(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.BadRequest.Number, codes.BodyTooLarge.Number, codes.KeyInvalid.Number,
		codes.KeyReused.Number, codes.KeyStoreDown.Number:
		return true
	}
	return false
}

// finish counts a request of a caller.
func (e *Entry) finish(x *exchange, result telemetry.Result) {
	metrics := e.options.Telemetry.Metrics
	metrics.Requests.Inc(result)
	metrics.Attempts.Add(int64(x.request.Attempt))
	metrics.RequestTime.Record(time.Since(x.started))
}
