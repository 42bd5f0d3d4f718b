package sidecar

import (
	"context"
	"errors"
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
	// defaultTimeout applies to requests for which neither the caller nor the route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// likelyCall is the probability above which a request is taken for a call of the local server where
	// a call that is missed costs more than one too many.
	likelyCall = 0.5
	// defaultMaxBody bounds a request body in bytes if the configuration sets no limit.
	defaultMaxBody = 1 << 20
)

// entry serves the requests of callers.
type entry struct {
	settings Settings
	control  *ControlLoop
	host     *host
	picker   *pick.Picker
	splitter *route.Splitter
	sizes    responseSizes
	// departures are the departures of servers that the entry has passed on.
	departures *departures
	peers      *peerClient
	headers    Headers
	log        *zap.Logger
	telemetry  *telemetry.Telemetry
	memory     *limit.Memory
	// onVersion is called with the configuration version of another node.
	onVersion func(version uint64, inbound string)
	// keysConfirmed reports whether the account keys of a version of the configuration are recent
	// enough to accept requests by them.
	keysConfirmed func(version uint64) bool
	// quotas limits the requests of accounts.
	quotas *quotas
}

// exchange is the state of one caller request while it is being served.
type exchange struct {
	entry   *entry
	view    *View
	route   fleet.Route
	service string
	request hopRequest
	started time.Time
	// deadline ends the exchange; objective is the time of the latency objective.
	deadline  time.Time
	objective time.Time
	// attempts is the number of servers that may have run the request.
	attempts int
	// deliveries is the number of servers that the request may have reached, including those that
	// reported that they did not run it.
	deliveries int
	// tried holds the nodes that were asked. The value is false if the node only had no free slot,
	// so that it may be asked again for a place in its queue.
	tried map[string]bool
	// queueing is set once nodes may put the request into their queue.
	queueing bool
	// mayBeCall is set unless the request probably comes from a caller.
	mayBeCall bool
	// budgetRefusals counts the nodes that refused a retry for the retry budget.
	budgetRefusals int
	// rateWait is the time for which the rates that the servers accept keep the request out; 0 if
	// they do not, or not for too long.
	rateWait time.Duration
	// quota is the claim to a credit of the account; nil if the account has no limit.
	quota *quotaClaim
	// returnAfter is the time after which the caller of a request that its account may not send may
	// return.
	returnAfter time.Duration
	// retryDelay is the delay that a refused caller was told; 0 for none.
	retryDelay time.Duration
	// hops are the nodes that were asked, for the log.
	hops []hopRecord
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, err := e.accept(w, r)
	defer x.returnCredit()
	defer x.request.memory.Release()
	if err != nil {
		coded := codes.FromError(err)
		after := time.Duration(0)
		switch coded.Code.Number {
		case codes.Leaving.Number, codes.BodyMemory.Number, codes.KeysUnconfirmed.Number:
			after = minRetryAfter
		case codes.AccountLimit.Number, codes.AccountUndecided.Number:
			after = x.returnAfter
		}
		e.fail(w, x, coded, after)
		return
	}
	ctx, span := e.telemetry.Tracer.StartRequest(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.run(ctx, w)
}

// returnCredit gives back the credit of a request that no server may have run.
func (x *exchange) returnCredit() {
	if x.attempts == 0 {
		x.quota.giveBack()
	}
}

// accept validates the request and reads its body.
func (e *entry) accept(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	now := time.Now()
	view := e.control.View()
	x := &exchange{entry: e, view: view, started: now, tried: map[string]bool{}}
	x.request = hopRequest{
		id: e.headers.RequestID(r.Header), method: r.Method, target: r.RequestURI,
		host: r.Host, header: r.Header, arrived: now, memory: e.memory.NewReservation(),
	}
	if view.Config == nil || !view.MembersKnown() {
		return x, codes.NotReady.New("the node has no configuration yet")
	}
	found, ok := view.Config.Index.FindPrefix(hostName(r.Host), pathOf(r))
	if !ok {
		return x, codes.NoRoute.New("no route for host %q and path %q in configuration %d", r.Host, r.URL.Path, view.Config.Version)
	}
	x.route = found
	if hopHeaderBytes(r.Header) > maxHopHeaderBytes-hopHeaderReserve {
		return x, codes.HeadTooLarge.New("the header fields exceed what one node sends to another")
	}
	x.setDeadlines(r)
	account, err := x.identify(r.Header)
	x.request.account = account
	if err != nil {
		return x, err
	}
	if err := x.checkStop(); err != nil {
		return x, err
	}
	x.quota = e.quotas.begin(view, account)
	body, err := x.readBody(w, r)
	if err != nil {
		return x, err
	}
	if x.returnAfter, err = x.quota.wait(r.Context(), time.Until(x.deadline)); err != nil {
		return x, err
	}
	x.request.body = body
	x.service = e.splitter.Choose(&x.route, rand.Float64)
	isCall, callProbability := x.origin(account)
	x.mayBeCall = isCall || callProbability > likelyCall
	x.request.hopMetadata = hopMetadata{
		priority:   x.priority(account),
		idempotent: found.IsIdempotent(r.Method),
		caller:     e.settings.Service,
		service:    x.service,
		version:    view.Config.Version,
		inbound:    e.settings.Inbound,
		account:    account,
		kind:       kindOf(found.ID),
		call:       isCall,
		firstHop:   true, retryShare: e.host.gate.RetryShare() * callProbability,
	}
	if isCall {
		e.host.gate.CallMade(now)
		e.host.called.record(now, x.service)
	}
	return x, nil
}

// origin tells whether the local server made the request, and the probability of that. Calls carry no
// account key. Where accounts are in use, a request without a key is a call unless callers send
// its kind as well.
func (x *exchange) origin(account AccountName) (isCall bool, probability float64) {
	if account.Name != "" {
		return false, 0
	}
	estimate := x.entry.host.gate.Origin(x.started, kindOf(x.route.ID))
	isCall = estimate.Call || account.InUse && estimate.CallProbability == 1
	return isCall, estimate.CallProbability
}

// pathOf returns the path as the caller sent it, still escaped.
func pathOf(r *http.Request) string { return r.URL.EscapedPath() }

func hostName(hostPort string) string {
	if host, _, err := net.SplitHostPort(hostPort); err == nil {
		return host
	}
	return hostPort
}

func (x *exchange) setDeadlines(r *http.Request) {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if remaining, ok := x.entry.headers.Timeout(r.Header); ok {
		timeout = min(timeout, remaining)
	}
	x.deadline = x.started.Add(timeout)
	objective := x.route.Objective
	if objective <= 0 {
		objective = timeout
	}
	x.objective = x.started.Add(min(objective, timeout))
}

// checkStop refuses a request that a stopping node would likely have to cut off. Callers that
// still send requests after readinessDelay have not noticed the stop. Calls that the local server
// makes for its running requests are short and pass.
func (x *exchange) checkStop() error {
	remaining := time.Until(x.view.StopAt)
	if x.view.StopAt.IsZero() || x.started.Before(x.view.StopSince.Add(readinessDelay)) ||
		x.objective.Sub(x.started) <= time.Duration(lateObjectiveShare*float64(remaining)) {
		return nil
	}
	return codes.Leaving.New("the node is stopping in %v", remaining)
}

// finishesBeforeStop reports whether a run at a server with the given mean service time is likely
// to end before the node stops. Refusing the request, or returning the failure of an earlier
// attempt, gives the caller a known outcome; cutting off its connection does not.
func (x *exchange) finishesBeforeStop(service time.Duration) bool {
	return x.view.StopAt.IsZero() || serviceTimeFactor*service < time.Until(x.view.StopAt)
}

func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) (limit.Body, error) {
	maxBody := x.view.Config.Limits.BodyBytes
	if maxBody <= 0 {
		maxBody = defaultMaxBody
	}
	body, err := x.request.memory.Receive(w, r, maxBody, x.deadline)
	if errors.Is(err, limit.ErrTooLong) {
		return limit.Body{}, codes.BodyTooLarge.New("the body exceeds %d bytes", maxBody)
	}
	if err != nil {
		return limit.Body{}, forward.BodyError(err)
	}
	return body, nil
}

// mayRetry reports whether a request that reached a server may be sent to another one. The retry
// budget is enforced by the hosts.
func (x *exchange) mayRetry(now time.Time) bool {
	return (x.route.MaxAttempts <= 0 || x.attempts < x.route.MaxAttempts) && now.Before(x.deadline)
}

// deliver sends the complete server response to the caller.
func (x *exchange) deliver(w http.ResponseWriter, response *httpconn.Response) {
	e := x.entry
	if !x.request.idempotent && impliesNotRun(response.Status) && !e.headers.NotRun(response.Status, response.Header) {
		e.fail(w, x, codes.AnswerLost.New("the server responded with %d but did not state that the request was not run", response.Status), 0)
		return
	}
	header := w.Header()
	forward.CopyEndToEnd(header, response.Header)
	stripHopHeaders(header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if bodyAllowed(response.Status) && x.request.method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(response.Body.Len())}
	}
	if e.control.View().Leaving {
		header.Set("Connection", "close")
	}
	after := time.Duration(0)
	if response.Status == http.StatusServiceUnavailable && e.headers.NotRun(response.Status, response.Header) && header.Get("Retry-After") == "" {
		// The gate sent the request to a free slot, so the server refused it with room free.
		after = x.retryAfter(true)
		e.headers.SetRetryAfter(header, after)
	}
	if response.Status >= http.StatusInternalServerError {
		e.host.gate.CallFailed(time.Now())
	}
	w.WriteHeader(response.Status)
	x.retryDelay = after
	err := x.request.memory.Send(w, response.Body)
	e.finish(x, response.Status, 0, err)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

// impliesNotRun reports whether callers take the status as a guarantee that the request did not
// run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// fail responds with a coded error. after is the time after which the caller may repeat a request
// that did not run; 0 omits it from the response.
func (e *entry) fail(w http.ResponseWriter, x *exchange, err *codes.Error, after time.Duration) {
	header := w.Header()
	e.headers.SetRequestID(header, x.request.id)
	if after > 0 {
		e.headers.SetRetryAfter(header, after)
	}
	if e.control.View().Leaving || err.Code.Number == codes.BadRequest.Number {
		header.Set("Connection", "close")
	}
	e.host.gate.CallFailed(time.Now())
	problem.Write(w, x.request.id, err)
	x.retryDelay = after
	e.finish(x, err.Code.Status, err.Code.Number, err)
}

// resultOf returns the metric label of a finished request; code is 0 if a server answered.
func resultOf(code int) telemetry.Result {
	if known, ok := codes.ByNumber(code); ok {
		return telemetry.Result{Code: code, Outcome: known.Outcome}
	}
	return telemetry.Result{Outcome: codes.Ran}
}

// finish updates the metrics and writes the log line of a request.
func (e *entry) finish(x *exchange, status, code int, err error) {
	took := time.Since(x.started)
	e.telemetry.Metrics.Requests.Inc(resultOf(code))
	e.telemetry.Metrics.Attempts.Add(int64(x.attempts))
	if x.retryDelay > 0 {
		e.telemetry.Metrics.ReturnsSuggested.Inc()
	}
	e.telemetry.Metrics.RequestTime.Record(took)
	version := uint64(0)
	if x.view.Config != nil {
		version = x.view.Config.Version
	}
	level := zap.InfoLevel
	if status >= http.StatusInternalServerError {
		// Failed requests are logged at a level of their own because the log limits the lines of
		// each level separately.
		level = zap.WarnLevel
	}
	e.log.Log(level, "request",
		zap.String("request", x.request.id),
		zap.String("route", x.route.ID),
		zap.String("target_service", x.service),
		zap.Int("priority", x.request.priority),
		zap.Bool("call", x.request.call),
		zap.Bool("idempotent", x.request.idempotent),
		zap.String("account", x.request.account.Name),
		zap.Int("status", status),
		zap.Int("code", code),
		zap.NamedError("reason", err),
		zap.Objects("hops", x.hops),
		zap.Int("attempts", x.attempts),
		zap.Uint64("config", version),
		zap.Duration("retry_after", x.retryDelay),
		zap.Duration("took", took))
}
