package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/problem"
	"github.com/tarragonford/tarragonford/internal/route"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// standardTimeout holds for requests where neither the caller nor the route
	// names one.
	standardTimeout = 30 * time.Second
	// standardMaxBody bounds a request body in bytes where the configuration
	// names no limit.
	standardMaxBody = 1 << 20
)

// entry serves callers.
type entry struct {
	settings  Settings
	board     *Board
	host      *host
	picker    *pick.Picker
	splitter  *route.Splitter
	sizes     answerSizes
	peers     *peerClient
	headers   Headers
	log       *zap.Logger
	telemetry *telemetry.Telemetry
	bodies    *limit.BodyMemory
	// onVersion is called with the configuration version of another node.
	onVersion func(version uint64, inbound string)
}

// exchange is one request of a caller on its way.
type exchange struct {
	entry   *entry
	view    *View
	route   fleet.Route
	service string
	request hopRequest
	started time.Time
	// deadline ends the exchange; objective is the latency objective.
	deadline  time.Time
	objective time.Time
	// attempts is the number of servers that may have run the request.
	attempts int
	// arrivals is the number of servers that the request may have reached,
	// those included that say that they did not run it.
	arrivals int
	// tried are the nodes that are not to be asked again; false for those that
	// only had no free slot.
	tried map[string]bool
	// waiting is set once the request asks for a place in a queue.
	waiting bool
	// hops are the nodes that were asked, for the log.
	hops []hopRecord
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := e.accept(w, r)
	if err != nil {
		coded := codes.Of(err)
		after := time.Duration(0)
		if coded.Code.Number == codes.Leaving.Number || coded.Code.Number == codes.BodyMemory.Number {
			after = minRetryAfter
		}
		e.fail(w, x, coded, after)
		return
	}
	ctx, span := e.telemetry.Tracer.StartRequest(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.request.hold = e.bodies.NewReservation()
	defer x.request.hold.Release()
	x.run(ctx, w)
}

// accept checks the request and reads its body.
func (e *entry) accept(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	now := time.Now()
	view := e.board.View()
	x := &exchange{entry: e, view: view, started: now, tried: map[string]bool{}}
	x.request = hopRequest{
		id: e.headers.RequestID(r.Header), method: r.Method, target: r.RequestURI,
		host: r.Host, header: r.Header, arrived: now,
	}
	if view.Config == nil || !view.MembersKnown() {
		return x, codes.NotReady.New("the node has no configuration yet")
	}
	found, ok := view.Config.Index.FindPrefix(hostName(r.Host), pathOf(r))
	if !ok {
		return x, codes.NoRoute.New("no route for host %q and path %q in configuration %d", r.Host, r.URL.Path, view.Config.Version)
	}
	x.route = found
	x.setTimes(r)
	if err := x.fitsStop(); err != nil {
		return x, err
	}
	body, err := x.readBody(w, r)
	if err != nil {
		return x, err
	}
	x.request.body = body
	x.service = e.splitter.Deal(&x.route, rand.Float64)
	x.request.terms = terms{
		priority:   found.Priority,
		idempotent: found.IsIdempotent(r.Method),
		caller:     e.settings.Service,
		service:    x.service,
		version:    view.Config.Version,
		inbound:    e.settings.Inbound,
		first:      true, repeatShare: e.host.gate.RetryShare(),
	}
	return x, nil
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string { return r.URL.EscapedPath() }

func hostName(hostPort string) string {
	if host, _, err := net.SplitHostPort(hostPort); err == nil {
		return host
	}
	return hostPort
}

func (x *exchange) setTimes(r *http.Request) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = standardTimeout
	}
	if left, ok := x.entry.headers.Timeout(r.Header); ok {
		timeout = min(timeout, left)
	}
	x.deadline = x.started.Add(timeout)
	objective := x.route.Objective
	if objective <= 0 {
		objective = timeout
	}
	x.objective = x.started.Add(min(objective, timeout))
}

// fitsStop refuses a request that a stopping node would likely cut off. Callers
// that still come after noticeTime have not noticed the stop; the calls that the
// own server makes for its running work are short and go on.
func (x *exchange) fitsStop() error {
	left := time.Until(x.view.StopAt)
	if x.view.StopAt.IsZero() || x.started.Before(x.view.StopSince.Add(noticeTime)) ||
		x.objective.Sub(x.started) <= time.Duration(lateRunShare*float64(left)) {
		return nil
	}
	return codes.Leaving.New("the node stops in %v", left)
}

// runFitsStop reports whether a run at a server with a mean service time is likely to
// end before the node does. A caller that is told that its request did not run, or
// gets the failure of an earlier attempt, knows more than one whose connection ends.
func (x *exchange) runFitsStop(service time.Duration) bool {
	return x.view.StopAt.IsZero() || runFactor*service < time.Until(x.view.StopAt)
}

func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := x.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = standardMaxBody
	}
	if r.ContentLength != 0 {
		// net/http takes the limit back at the end of the body; a recorder of
		// a test has none.
		_ = http.NewResponseController(w).SetReadDeadline(x.deadline)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, forward.BodyError(err)
	}
	return body, nil
}

// mayRepeat reports whether a request that reached a server may be sent to
// another one. The hosts keep the retry budget.
func (x *exchange) mayRepeat(now time.Time) bool {
	return (x.route.MaxAttempts <= 0 || x.attempts < x.route.MaxAttempts) && now.Before(x.deadline)
}

// deliver sends the whole answer of the server to the caller.
func (x *exchange) deliver(w http.ResponseWriter, answer *httpconn.Response) {
	e := x.entry
	if !x.request.idempotent && promisesNotRun(answer.Status) && !e.headers.NotRun(answer.Status, answer.Header) {
		e.fail(w, x, codes.AnswerLost.New("the server answered %d without saying that the request did not run", answer.Status), 0)
		return
	}
	header := w.Header()
	forward.CopyEndToEnd(header, answer.Header)
	stripHop(header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if bodyAllowed(answer.Status) && x.request.method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	if e.board.View().Leaving {
		header.Set("Connection", "close")
	}
	if answer.Status >= http.StatusInternalServerError {
		e.host.gate.CallFailed(time.Now())
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	e.finish(x, answer.Status, 0, err)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// promisesNotRun reports whether callers take the status for a promise that the
// request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail answers with a coded error. after is when a request that did not run may
// come back; 0 for no advice.
func (e *entry) fail(w http.ResponseWriter, x *exchange, err *codes.Error, after time.Duration) {
	header := w.Header()
	e.headers.SetRequestID(header, x.request.id)
	if after > 0 {
		e.headers.SetRetryAfter(header, after)
	}
	if e.board.View().Leaving || err.Code.Number == codes.BadRequest.Number {
		header.Set("Connection", "close")
	}
	e.host.gate.CallFailed(time.Now())
	problem.Write(w, x.request.id, err)
	e.finish(x, err.Code.Status, err.Code.Number, err)
}

// resultOf labels a finished request; code is 0 for an answer of the server.
func resultOf(code int) telemetry.Result {
	if known, ok := codes.ByNumber(code); ok {
		return telemetry.Result{Code: code, Outcome: known.Outcome}
	}
	return telemetry.Result{Outcome: codes.Ran}
}

// finish counts a request and writes its log line.
func (e *entry) finish(x *exchange, status, code int, err error) {
	took := time.Since(x.started)
	e.telemetry.Metrics.Requests.Inc(resultOf(code))
	e.telemetry.Metrics.Attempts.Add(int64(x.attempts))
	e.telemetry.Metrics.RequestTime.Record(took)
	version := uint64(0)
	if x.view.Config != nil {
		version = x.view.Config.Version
	}
	level := zap.InfoLevel
	if status >= http.StatusInternalServerError {
		// Lines of failed requests have a budget of their own.
		level = zap.WarnLevel
	}
	e.log.Log(level, "request",
		zap.String("request", x.request.id),
		zap.String("route", x.route.ID),
		zap.String("target_service", x.service),
		zap.Int("priority", x.request.priority),
		zap.Bool("idempotent", x.request.idempotent),
		zap.Int("status", status),
		zap.Int("code", code),
		zap.NamedError("reason", err),
		zap.Objects("hops", x.hops),
		zap.Int("attempts", x.attempts),
		zap.Uint64("config", version),
		zap.Duration("took", took))
}
