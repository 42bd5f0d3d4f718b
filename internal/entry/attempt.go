package entry

import (
	"context"
	"errors"
	"time"

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
)

// maxAttempts is the limit for one request. The retry budget limits all retries
// of a service.
const maxAttempts = 4

// Balancer selects servers, tracks their load as seen by this entry, and limits
// retries and hedges.
type Balancer interface {
	// Choose returns a server for the request that is not in tried.
	Choose(now time.Time, view *fleet.View, r *forward.Request, tried []string) (*fleet.Candidate, bool)
	// AttemptStarted and AttemptFinished track the outstanding attempts.
	AttemptStarted(server string)
	// slots is the number of requests that the server runs at a time.
	AttemptFinished(server string, slots int, reply *forward.Reply, now time.Time)
	// RecordRequest counts a caller request, which adds to the retry budget;
	// AllowRetry takes a retry from the budget and reports whether it could.
	RecordRequest(service fleet.Service, now time.Time)
	AllowRetry(service fleet.Service, now time.Time) bool
	// AllowHedge does the same for a hedge, from the same budget, and leaves a
	// reserve for retries.
	AllowHedge(service fleet.Service, now time.Time) bool
	// HedgeDelay returns how long to wait for a reply before an idempotent request
	// is sent to a second server, and false if too few latencies are known.
	HedgeDelay(service fleet.Service) (time.Duration, bool)
	// Prune discards the data of servers that are not in the view.
	Prune(view *fleet.View)
	// RecordLatency records the latency of an answered attempt.
	RecordLatency(service fleet.Service, latency time.Duration)
}

// chooseServer selects a server for the next attempt, from the current view. The
// error has code NoServer.
func (x *exchange) chooseServer() (*fleet.Candidate, error) {
	x.view = x.entry.options.Viewer.View()
	candidate, ok := x.entry.options.Balancer.Choose(time.Now(), x.view, &x.request, x.tried)
	if !ok {
		return nil, codes.NoServer.New("service %q has no available server", x.request.Service)
	}
	return candidate, nil
}

// newAttempt returns the request for the next attempt, addressed to the candidate.
func (x *exchange) newAttempt(candidate *fleet.Candidate) *forward.Request {
	x.request.Attempt++
	r := x.request
	r.Server = candidate.Server.ID
	r.ServerIncarnation = candidate.Server.Incarnation
	return &r
}

// send runs one attempt at the host and reports it to the balancer and, if the
// host is another node, to path detection.
func (x *exchange) send(ctx context.Context, host *fleet.NodeRecord, r *forward.Request) *forward.Reply {
	e := x.entry
	e.options.Balancer.AttemptStarted(r.Server)
	var reply *forward.Reply
	if host.ID == x.self {
		reply = e.options.Local.Serve(ctx, r)
	} else {
		reply = x.sendRemote(ctx, host, r)
	}
	e.options.Balancer.AttemptFinished(r.Server, slotsOf(host, r.Server), reply, time.Now())
	return reply
}

// slotsOf returns the slots of a server attached to host, or 0 if it is no longer
// attached.
func slotsOf(host *fleet.NodeRecord, server string) int {
	if record, ok := host.Server(server); ok {
		return record.Slots
	}
	return 0
}

func (x *exchange) sendRemote(ctx context.Context, host *fleet.NodeRecord, r *forward.Request) *forward.Reply {
	e := x.entry
	event := detect.Event{Target: host.ID, Service: r.Service, Request: e.pathEventSeq.Add(1), At: time.Now()}
	e.options.PathEvents.Emit(event)
	ctx, span := e.options.Telemetry.Tracer.StartHop(ctx, "forward", oteltrace.SpanKindClient)
	defer span.End()
	reply := e.options.Client.Send(ctx, host.TrafficAddr, r)
	event.Finished = true
	event.Latency = time.Since(event.At)
	event.At = event.At.Add(event.Latency)
	event.Result = pathResult(ctx, reply)
	if reply.Err != nil {
		span.Fail(reply.Err.Code.Name)
	}
	e.options.PathEvents.Emit(event)
	return reply
}

// pathResult classifies a reply as evidence about the network path to the host.
// Any reply that the host itself sent, even an error, shows that the path works.
func pathResult(ctx context.Context, reply *forward.Reply) detect.Result {
	switch {
	case reply.HasLoad || reply.Err == nil:
		return detect.Success
	case errors.Is(ctx.Err(), context.Canceled):
		return detect.Cancelled
	case errors.Is(reply.Err, codes.DeadlineExceeded.New("")):
		return detect.Timeout
	case errors.Is(reply.Err, codes.HostUnreachable.New("")), errors.Is(reply.Err, codes.AnswerLost.New("")):
		return detect.Failure
	}
	return detect.Success
}

// mayRetry reports whether the deadline, the attempt limit and the retry budget of
// the service permit another attempt, and if so takes it from the budget.
func (x *exchange) mayRetry(ctx context.Context) bool {
	if x.request.Attempt >= maxAttempts || ctx.Err() != nil || !time.Now().Before(x.request.Deadline) {
		return false
	}
	metrics := x.entry.options.Telemetry.Metrics
	if !x.entry.options.Balancer.AllowRetry(x.service, time.Now()) {
		metrics.RetriesRefused.Inc()
		return false
	}
	metrics.Retries.Inc()
	return true
}

// retryable reports whether a request that failed with this code could succeed at
// another server.
func retryable(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.BadRequest.Number, codes.BodyTooLarge.Number, codes.DeadlinePassed.Number,
		codes.KeyReused.Number, codes.KeyInvalid.Number, codes.Internal.Number:
		return false
	}
	return true
}
