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

// maxAttempts bounds the tries of one request; the retry budget bounds the
// tries of a service.
const maxAttempts = 4

// Balancer chooses servers and keeps what the entry knows about their load.
type Balancer interface {
	// Choose returns a server for the request, not one of those tried already.
	Choose(now time.Time, view *fleet.View, r *forward.Request, tried []string) (*fleet.Candidate, bool)
	// Started and Finished count the attempts that are under way.
	Started(server string)
	// slots is the capacity of the server.
	Finished(server string, slots int, reply *forward.Reply, now time.Time)
	// Fresh counts a request of a caller; MayRetry takes a retry out of the
	// budget that grows with fresh requests.
	Fresh(service fleet.Service, now time.Time)
	MayRetry(service fleet.Service, now time.Time) bool
	// MayHedge takes a hedge out of the same budget, leaving retries a reserve.
	MayHedge(service fleet.Service, now time.Time) bool
	// HedgeDelay returns the time after which a read is sent to a second server.
	HedgeDelay(service fleet.Service) (time.Duration, bool)
	// Prune forgets servers that the view does not have.
	Prune(view *fleet.View)
	// Answered records the latency of an answer.
	Answered(service fleet.Service, latency time.Duration)
}

// choose picks the next server, or fails with code NoServer.
func (x *exchange) choose() (*fleet.Candidate, error) {
	x.view = x.entry.options.Viewer.View()
	candidate, ok := x.entry.options.Balancer.Choose(time.Now(), x.view, &x.request, x.tried)
	if !ok {
		return nil, codes.NoServer.New("service %q has no server that can take the request", x.request.Service)
	}
	return candidate, nil
}

// attemptTo returns the next attempt, addressed to the candidate.
func (x *exchange) attemptTo(candidate *fleet.Candidate) *forward.Request {
	x.request.Attempt++
	r := x.request
	r.Server = candidate.Server.ID
	r.ServerIncarnation = candidate.Server.Incarnation
	return &r
}

// send runs one attempt at the host of the candidate and reports to the
// balancer and to path detection.
func (x *exchange) send(ctx context.Context, host *fleet.NodeRecord, r *forward.Request) *forward.Reply {
	e := x.entry
	e.options.Balancer.Started(r.Server)
	var reply *forward.Reply
	if host.ID == x.self {
		reply = e.options.Local.Serve(ctx, r)
	} else {
		reply = x.sendRemote(ctx, host, r)
	}
	e.options.Balancer.Finished(r.Server, slotsOf(host, r.Server), reply, time.Now())
	return reply
}

// slotsOf returns the capacity of an attached server; 0 if it is gone.
func slotsOf(host *fleet.NodeRecord, server string) int {
	if record, ok := host.Server(server); ok {
		return record.Slots
	}
	return 0
}

func (x *exchange) sendRemote(ctx context.Context, host *fleet.NodeRecord, r *forward.Request) *forward.Reply {
	e := x.entry
	event := detect.Event{Target: host.ID, Service: r.Service, Request: e.pathEvents.Add(1), At: time.Now()}
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

// pathResult classifies a reply as evidence about the path to the host. Any
// word of the host, a refusal included, shows that the path works.
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

// mayTryAgain reports whether another attempt fits the deadline, the bound on
// attempts and the retry budget of the service.
func (x *exchange) mayTryAgain(ctx context.Context) bool {
	if x.request.Attempt >= maxAttempts || ctx.Err() != nil || !time.Now().Before(x.request.Deadline) {
		return false
	}
	metrics := x.entry.options.Telemetry.Metrics
	if !x.entry.options.Balancer.MayRetry(x.service, time.Now()) {
		metrics.RetriesRefused.Inc()
		return false
	}
	metrics.Retries.Inc()
	return true
}

// retryable reports whether another server could do better with a request that
// was refused with this code.
func retryable(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.BadRequest.Number, codes.BodyTooLarge.Number, codes.DeadlinePassed.Number,
		codes.KeyReused.Number, codes.KeyInvalid.Number, codes.Internal.Number:
		return false
	}
	return true
}
