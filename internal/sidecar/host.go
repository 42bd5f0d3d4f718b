package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/limit"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/registration"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// maxIdleNonIdempotent is how long a connection may have been idle to carry a non-idempotent
	// request. If the server closes the connection at the same moment, the request is lost.
	maxIdleNonIdempotent = time.Second
	// maxIdleIdempotent is the same limit for requests that can be retried.
	maxIdleIdempotent = 8 * time.Second
	// A request counts as stalled after stallFactor times the mean service time, but not before
	// minStall.
	stallFactor = 4
	minStall    = time.Second
	// minRateCheck and maxRateCheck bound the time between two checks of a waiting request whether
	// the rate limit admits it.
	minRateCheck = 5 * time.Millisecond
	maxRateCheck = 100 * time.Millisecond
)

// hopRequest is a request as its host receives it.
type hopRequest struct {
	hopMetadata
	id     string
	method string
	target string
	host   string
	header http.Header
	body   limit.Body
	// memory accounts for the body and the response.
	memory *limit.Reservation
	// departed is the last server incarnation beside the host that announced its departure to the
	// entry; nil if none has.
	departed *registration.Incarnation
	// askPermit asks the entry for the permit to run the request; nil if it needs none.
	askPermit func() bool
	// arrived is the time that the durations in hopMetadata are relative to.
	arrived time.Time
}

// hopReply is the result of a request at its host: a server response, a refusal, or neither if the
// response was lost.
type hopReply struct {
	response *httpconn.Response
	refused  *refusal
	failed   string
	// departed is the server incarnation that responded, if it announced its departure.
	departed *registration.Incarnation
	report   loadReport
	// waited is the time that the request waited for a slot.
	waited time.Duration
	// hasReport tells whether the host reported its load.
	hasReport bool
}

// host runs requests on the local server.
type host struct {
	control   *ControlLoop
	gate      *gate.Gate
	pool      *httpconn.Pool
	headers   Headers
	addr      string
	log       *zap.Logger
	telemetry *telemetry.Telemetry
	// onAddressTaken is called with the registered incarnation if another one answers at its
	// address.
	onAddressTaken func(registration.Incarnation)
	// onLeaving is called with the registered incarnation if it says that it is about to stop.
	onLeaving func(registration.Incarnation)
	// picker knows the retry budgets of other services, of which called are those that the local
	// server calls.
	picker *pick.Picker
	called calledServices
	// loggedRate holds the bits of the rate limit that was logged last.
	loggedRate atomic.Uint64
	// loggedDoubtful tells whether the last log line about the server's health called it doubtful.
	loggedDoubtful atomic.Bool
}

// serve handles one request and reports the load of the server.
func (h *host) serve(ctx context.Context, r *hopRequest) *hopReply {
	ctx, cancel := context.WithDeadline(ctx, r.arrived.Add(r.remaining))
	defer cancel()
	reply := h.admit(ctx, r)
	now := time.Now()
	view := h.control.View()
	reply.report = loadReport{Load: view.adjustLoad(now, h.gate.Load(now)), version: view.configVersion()}
	reply.hasReport = true
	h.logResult(r, reply, now)
	return reply
}

func (h *host) admit(ctx context.Context, r *hopRequest) *hopReply {
	view := h.control.View()
	if r.departed != nil && view.Server.Matches(*r.departed) && !view.Server.Leaving {
		h.log.Info("server announced its departure earlier", zap.String("server", view.Server.ID), zap.String("request", r.id))
		h.onLeaving(*r.departed)
		return refuse(gate.Closed, 0)
	}
	if !view.accepts(time.Now(), time.Until(r.arrived.Add(r.remaining))) || view.Server.ID == "" || view.Server.Leaving || view.Server.Unconfirmed {
		return refuse(gate.Closed, 0)
	}
	work := gate.Request{
		Priority:   r.priority,
		Call:       r.call,
		Flow:       gate.Flow{Kind: r.kind, Account: r.account.Name},
		Idempotent: r.idempotent,
		Objective:  r.arrived.Add(r.objective),
		MaxWait:    r.queueLimit,
		Retry:      r.retry, FirstAttempt: r.firstHop, RetryShare: r.retryShare,
	}
	if r.retry && h.gate.MayMakeCalls(r.kind) && !h.called.haveRetriesLeft(time.Now(), view, h.picker) {
		return refuse(gate.RetryBudgetExhausted, 0)
	}
	ticket, reason, after := h.gate.Admit(time.Now(), work)
	if reason != gate.NotRefused {
		return refuse(reason, after)
	}
	asked := time.Now()
	if !h.gate.Running(ticket) {
		if reason := h.wait(ctx, ticket, r); reason != gate.NotRefused {
			return refuse(reason, 0)
		}
	}
	waited := time.Since(asked)
	reply := h.run(ctx, view.Server, ticket, r)
	reply.waited = waited
	return reply
}

// wait returns when the request may run, or the reason why it may not. Requests that were admitted
// later may run first, so the actual wait needs a bound in addition to the expected one.
func (h *host) wait(ctx context.Context, ticket *gate.Ticket, r *hopRequest) gate.Refusal {
	ctx, cancel := context.WithTimeout(ctx, r.queueLimit)
	defer cancel()
	for {
		// The end of a run admits waiting requests, but not those that a rate limit keeps, which the
		// server may name at any time.
		untilRate := h.gate.UntilRateAdmits(time.Now())
		check := maxRateCheck
		if untilRate > 0 {
			check = min(max(untilRate, minRateCheck), maxRateCheck)
		}
		select {
		case reason := <-ticket.Decision():
			return reason
		case <-time.After(check):
			now := time.Now()
			if h.stopsBeforeEnd(now, r) {
				return h.leaveQueue(now, ticket, r)
			}
			h.gate.AdmitWaiting(now)
		case <-ctx.Done():
			h.gate.Cancel(time.Now(), ticket)
			if untilRate > 0 {
				return gate.RateLimited
			}
			return gate.Busy
		}
	}
}

// stopsBeforeEnd reports whether this node, or the one that took the request, is likely to stop before a run
// that begins now has ended.
func (h *host) stopsBeforeEnd(now time.Time, r *hopRequest) bool {
	run := serviceTimeFactor * h.gate.Load(now).Service
	view := h.control.View()
	if view.Leaving && view.EndsAt.Sub(now) < run {
		return true
	}
	entry, known := view.byAddr[r.inbound]
	if !known {
		return false
	}
	left, stopping := h.picker.StopsIn(now, entry)
	return stopping && left < run
}

// leaveQueue takes a request out of the queue because of a stop. If its turn has just come, it has
// not been sent yet either.
func (h *host) leaveQueue(now time.Time, ticket *gate.Ticket, r *hopRequest) gate.Refusal {
	h.gate.Cancel(now, ticket)
	h.log.Info("request left the queue because of a stop", zap.String("request", r.id), zap.String("entry", r.inbound))
	return gate.Closed
}

// run sends the request to the server. server is the one registered at admission; if it has left
// since then, the request is refused.
func (h *host) run(ctx context.Context, server registration.Server, ticket *gate.Ticket, r *hopRequest) *hopReply {
	if r.askPermit != nil && !r.askPermit() {
		h.gate.Cancel(time.Now(), ticket)
		h.telemetry.Metrics.PermitsMissed.Inc()
		h.log.Info("permit not received", zap.String("request", r.id), zap.String("entry", r.inbound))
		return refuse(gate.Busy, 0)
	}
	current := h.control.View().Server
	if !h.gate.IsOpen() || !current.Matches(server.Incarnation) || ctx.Err() != nil {
		h.gate.Cancel(time.Now(), ticket)
		return refuse(gate.Closed, 0)
	}
	stall := time.AfterFunc(max(stallFactor*h.gate.Load(time.Now()).Service, minStall), func() {
		h.gate.Stalled(time.Now())
		h.logHealthChange(r.id, gate.Stall)
	})
	h.telemetry.Metrics.Dispatches.Inc()
	started := time.Now()
	response, err := h.pool.Do(ctx, h.addr, h.newServerRequest(server, r))
	if err == nil && isSuccess(response.Status) && !h.headers.Signed(response.Header) {
		err = errUnsigned
	}
	stall.Stop()
	ended := time.Now()
	h.telemetry.Metrics.ServerTime.Record(ended.Sub(started))
	var departed *registration.Incarnation
	if err == nil && response.Status != http.StatusMisdirectedRequest {
		notice := h.headers.ServerNotice(response.Header)
		if notice.Leaving {
			departed = &server.Incarnation
		}
		// Before the end of the run, which may admit the next request.
		h.processNotice(ended, server, ticket, r.id, notice)
	}
	evidence := h.evidence(ctx, response, err)
	h.gate.Done(ended, ticket, evidence)
	h.logHealthChange(r.id, evidence)
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return refuse(gate.Closed, 0)
	case err != nil:
		return &hopReply{failed: err.Error()}
	case response.Status == http.StatusMisdirectedRequest:
		h.onAddressTaken(server.Incarnation)
	}
	stripHopHeaders(response.Header)
	return &hopReply{response: response, departed: departed}
}

// errUnsigned reports a success without the server's signature. Its head is not as the server meant it, so nothing in it is
// believed, except that the request has run.
var errUnsigned = errors.New("the response is a success without the signature of the server")

// isSuccess reports whether a status means success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func (h *host) newServerRequest(server registration.Server, r *hopRequest) *httpconn.Request {
	header := http.Header{}
	forward.CopyEndToEnd(header, r.header)
	h.headers.Strip(header)
	stripHopHeaders(header)
	h.headers.SetMetadata(header, RequestMetadata{
		Timeout:  time.Until(r.arrived.Add(r.remaining)),
		Caller:   r.caller,
		Instance: server.ID,
		Account:  r.account,
	})
	maxIdle := maxIdleIdempotent
	if !r.idempotent {
		maxIdle = maxIdleNonIdempotent
	}
	return &httpconn.Request{
		Method: r.method, Target: r.target, Host: r.host,
		Header: header, Body: r.body, ID: r.id, MaxIdle: maxIdle, Reservation: r.memory,
	}
}

// evidence classifies the outcome of a request. A request whose caller disconnected says nothing
// about the server.
func (h *host) evidence(ctx context.Context, response *httpconn.Response, err error) gate.Evidence {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return gate.None
	case err != nil:
		return gate.Failure
	case h.headers.NotRun(response.Status, response.Header):
		return gate.Shed
	case response.Status >= http.StatusInternalServerError:
		return gate.Failure
	}
	return gate.Success
}

// logHealthChange logs when the result of a request, or the lack of results, changes whether the
// server may run non-idempotent requests. request is empty if the change is due to elapsed time
// only.
func (h *host) logHealthChange(request string, evidence gate.Evidence) {
	load := h.gate.Load(time.Now())
	doubtful := !load.Healthy()
	if h.loggedDoubtful.Swap(doubtful) == doubtful {
		return
	}
	message := "server trusted"
	if doubtful {
		message = "server doubtful"
	}
	h.log.Info(message, zap.String("server", h.control.View().Server.ID), zap.Float64("doubt", load.FailureProbability),
		zap.String("evidence", evidence.String()), zap.String("request", request),
		zap.Int("running", load.Running), zap.Ints("waiting", load.Waiting[:]))
}

func refuse(reason gate.Refusal, after time.Duration) *hopReply {
	return &hopReply{refused: &refusal{reason: reason, after: after}}
}

// logResult logs and counts the outcome of a hop.
func (h *host) logResult(r *hopRequest, reply *hopReply, now time.Time) {
	result, code, status := "answered", 0, 0
	switch {
	case reply.refused != nil:
		result, code = "refused-"+reply.refused.reason.String(), codes.NoServer.Number
		if reply.refused.reason == gate.RateLimited {
			h.telemetry.Metrics.RateLimited.Inc()
		}
	case reply.response == nil:
		result, code = "lost", codes.AnswerLost.Number
	default:
		status = reply.response.Status
	}
	h.telemetry.Metrics.HostRequests.Inc(resultOf(code))
	if r.call {
		h.telemetry.Metrics.Calls.Inc()
	}
	h.telemetry.Metrics.Queued.Set(int64(reply.report.QueueLength()))
	if reply.refused == nil {
		h.telemetry.Metrics.AdmissionTime.Record(reply.waited)
	}
	level := zap.InfoLevel
	if result == "lost" || status >= http.StatusInternalServerError {
		level = zap.WarnLevel
	}
	h.log.Log(level, "host",
		zap.String("request", r.id),
		zap.String("result", result),
		zap.Int("status", status),
		zap.String("error", reply.failed),
		zap.Int("running", reply.report.Running),
		zap.Ints("waiting", reply.report.Waiting[:]),
		zap.Float64("doubt", reply.report.FailureProbability),
		zap.Bool("idempotent", r.idempotent),
		zap.Bool("repeat", r.retry),
		zap.Bool("call", r.call),
		zap.Duration("waited", reply.waited),
		zap.Int("repeats_left", reply.report.RetriesLeft),
		zap.Uint64("entry_config", r.version),
		zap.String("entry", r.inbound),
		zap.Duration("took", now.Sub(r.arrived)))
}
