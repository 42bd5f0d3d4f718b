package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/problem"
)

// deliver sends an answer to the caller. If the rest of a large answer breaks
// off, the caller's connection is aborted, so that it never takes a cut answer
// for a whole one.
func (e *Entry) deliver(w http.ResponseWriter, id string, answer *forward.Answer) {
	header := w.Header()
	forward.CopyEndToEnd(header, answer.Header)
	header.Set(api.HeaderRequestID, id)
	header.Set(api.HeaderOutcome, string(codes.Ran))
	if answer.Replayed {
		header.Set(api.HeaderReplayed, "true")
	}
	if e.options.Viewer.View().Self.Leaving {
		header.Set("Connection", "close")
	}
	if answer.Rest == nil && bodyAllowed(answer.Status) && len(answer.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil || answer.Rest == nil {
		return
	}
	if _, err := io.Copy(w, answer.Rest); err != nil {
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
	e.finish(x, err.Code.Number, err.Code.Outcome)
}

// truthful corrects the outcome of an error where an earlier attempt, or an
// earlier request with the same key, may have run.
func (x *exchange) truthful(err *codes.Error) *codes.Error {
	if err.Code.Outcome != codes.NotRun || !x.maybeRan {
		return err
	}
	return codes.AnswerLost.Wrap(err, "an earlier attempt may have run")
}

func (e *Entry) finish(x *exchange, code int, outcome codes.Outcome) {
	if e.options.Done == nil {
		return
	}
	e.options.Done(Result{
		Service:  x.request.Service,
		Code:     code,
		Outcome:  outcome,
		Attempts: x.request.Attempt,
		Latency:  time.Since(x.started),
	})
}
