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
	"github.com/tarragonford/tarragonford/internal/registration"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	// runOnceIdle is how long a connection may have been idle to carry a
	// non-idempotent request: a server that closes it meanwhile loses the
	// request.
	runOnceIdle = time.Second
	// repeatableIdle is the same for requests that can be sent again.
	repeatableIdle = 8 * time.Second
	// stallFactor times the mean service time is unusually long, and minStall
	// at least.
	stallFactor = 4
	minStall    = time.Second
)

// hopRequest is a request at its host.
type hopRequest struct {
	terms
	id     string
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// hold takes the memory of the answer.
	hold *limit.Reservation
	// arrived is the time from which the terms count.
	arrived time.Time
}

// hopReply is what became of a request at its host: an answer of the server, a
// refusal, or neither if the answer was lost.
type hopReply struct {
	answer  *httpconn.Response
	refused *refusal
	failed  string
	report  report
	// hasReport tells that the host reported its load.
	hasReport bool
}

// host runs requests at the own server.
type host struct {
	board     *Board
	gate      *gate.Gate
	pool      *httpconn.Pool
	headers   Headers
	addr      string
	log       *zap.Logger
	telemetry *telemetry.Telemetry
	// onForeign is called when another incarnation has the server's address.
	onForeign func(registration.Incarnation)
	// doubtful is whether the last log line called the server doubtful.
	doubtful atomic.Bool
}

// serve runs one request and reports the load of the server.
func (h *host) serve(ctx context.Context, r *hopRequest) *hopReply {
	ctx, cancel := context.WithDeadline(ctx, r.arrived.Add(r.left))
	defer cancel()
	reply := h.admit(ctx, r)
	now := time.Now()
	view := h.board.View()
	reply.report = report{Load: view.load(now, h.gate.Load(now)), version: view.version()}
	reply.hasReport = true
	h.record(r, reply, now)
	return reply
}

func (h *host) admit(ctx context.Context, r *hopRequest) *hopReply {
	view := h.board.View()
	if !view.takes(time.Now(), time.Until(r.arrived.Add(r.left))) || view.Server.ID == "" || view.Server.Leaving || view.Server.Unconfirmed {
		return refuse(gate.Closed, 0)
	}
	work := gate.Request{
		Priority:   r.priority,
		Idempotent: r.idempotent,
		Objective:  r.arrived.Add(r.objective),
		MaxWait:    r.patience,
		Retry:      r.repeat, FirstAttempt: r.first, RetryShare: r.repeatShare,
	}
	ticket, reason, after := h.gate.Admit(time.Now(), work)
	if reason != gate.NotRefused {
		return refuse(reason, after)
	}
	if !h.gate.Running(ticket) {
		if reason := h.wait(ctx, ticket, r.patience); reason != gate.NotRefused {
			return refuse(reason, 0)
		}
	}
	return h.run(ctx, view.Server, ticket, r)
}

// wait returns when the request may run, or why it may not. Requests that were
// admitted later may go first, so the real wait is bounded as well as the
// expected one.
func (h *host) wait(ctx context.Context, ticket *gate.Ticket, patience time.Duration) gate.Refusal {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case reason := <-ticket.Decision():
		return reason
	case <-timer.C:
	case <-ctx.Done():
	}
	h.gate.Cancel(time.Now(), ticket)
	return gate.Busy
}

// run sends the request to the server. The incarnation is that of the
// admission; a server that left meanwhile gets nothing.
func (h *host) run(ctx context.Context, server registration.Server, ticket *gate.Ticket, r *hopRequest) *hopReply {
	current := h.board.View().Server
	if !h.gate.IsOpen() || current.Incarnation != server.Incarnation || ctx.Err() != nil {
		h.gate.Cancel(time.Now(), ticket)
		return refuse(gate.Closed, 0)
	}
	stall := time.AfterFunc(max(stallFactor*h.gate.Load(time.Now()).Service, minStall), func() {
		h.gate.Stalled(time.Now())
		h.judge(r.id, gate.Stall)
	})
	h.telemetry.Metrics.Dispatches.Inc()
	started := time.Now()
	answer, err := h.pool.Do(ctx, h.addr, h.request(server, r))
	stall.Stop()
	ended := time.Now()
	h.telemetry.Metrics.ServerTime.Record(ended.Sub(started))
	evidence := h.evidence(ctx, answer, err)
	h.gate.Done(ended, ticket, evidence)
	h.judge(r.id, evidence)
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return refuse(gate.Closed, 0)
	case err != nil:
		return &hopReply{failed: err.Error()}
	case answer.Status == http.StatusMisdirectedRequest:
		h.onForeign(server.Incarnation)
	}
	stripHop(answer.Header)
	return &hopReply{answer: answer}
}

func (h *host) request(server registration.Server, r *hopRequest) *httpconn.Request {
	header := http.Header{}
	forward.CopyEndToEnd(header, r.header)
	h.headers.Strip(header)
	stripHop(header)
	h.headers.Address(header, Addressing{
		Left:     time.Until(r.arrived.Add(r.left)),
		Caller:   r.caller,
		Instance: server.ID,
	})
	maxIdle := repeatableIdle
	if !r.idempotent {
		maxIdle = runOnceIdle
	}
	return &httpconn.Request{
		Method: r.method, Target: r.target, Host: r.host,
		Header: header, Body: r.body, ID: r.id, MaxIdle: maxIdle, Reservation: r.hold,
	}
}

// evidence classifies the end of a request. A request whose caller left shows
// nothing.
func (h *host) evidence(ctx context.Context, answer *httpconn.Response, err error) gate.Evidence {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return gate.None
	case err != nil:
		return gate.Failure
	case h.headers.NotRun(answer.Status, answer.Header):
		return gate.Shed
	case answer.Status >= http.StatusInternalServerError:
		return gate.Failure
	}
	return gate.Success
}

// judge logs when the result of a request, or its absence, changes whether the
// server is trusted with non-idempotent work. request is empty if only time passed.
func (h *host) judge(request string, evidence gate.Evidence) {
	load := h.gate.Load(time.Now())
	doubtful := !load.Healthy()
	if h.doubtful.Swap(doubtful) == doubtful {
		return
	}
	message := "server trusted"
	if doubtful {
		message = "server doubtful"
	}
	h.log.Info(message, zap.String("server", h.board.View().Server.ID), zap.Float64("doubt", load.FailureProbability),
		zap.String("evidence", evidence.String()), zap.String("request", request),
		zap.Int("running", load.Running), zap.Ints("waiting", load.Waiting[:]))
}

func refuse(reason gate.Refusal, after time.Duration) *hopReply {
	return &hopReply{refused: &refusal{reason: reason, after: after}}
}

// record writes the log line of the decision.
func (h *host) record(r *hopRequest, reply *hopReply, now time.Time) {
	result, code, status := "answered", 0, 0
	switch {
	case reply.refused != nil:
		result, code = "refused-"+reply.refused.reason.String(), codes.NoServer.Number
	case reply.answer == nil:
		result, code = "lost", codes.AnswerLost.Number
	default:
		status = reply.answer.Status
	}
	h.telemetry.Metrics.HostRequests.Inc(resultOf(code))
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
		zap.Bool("repeat", r.repeat),
		zap.Int("repeats_left", reply.report.RetriesLeft),
		zap.Uint64("entry_config", r.version),
		zap.Duration("took", now.Sub(r.arrived)))
}
