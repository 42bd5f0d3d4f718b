package entry

import (
	"context"
	"time"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
)

const (
	// fenceTime bounds the fence calls that follow a lost answer; it adds to
	// the deadline of the caller.
	fenceTime = 500 * time.Millisecond
	// fenceCallTime bounds one fence call.
	fenceCallTime = 200 * time.Millisecond
)

// Fencer asks a host to fence a request, so that it never runs if it was not
// dispatched yet.
type Fencer interface {
	// Fence asks the host directly.
	Fence(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)
	// FenceVia asks the host through another node, for when the direct path is cut.
	FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)
}

// runOnce runs a non-idempotent request without a key. Another server is tried
// only after the promise that the last attempt did not run and never will.
func (x *exchange) runOnce(ctx context.Context) *forward.Reply {
	x.entry.options.Balancer.Fresh(x.service, x.started)
	var last *forward.Reply
	for {
		candidate, err := x.choose()
		if err != nil {
			if last != nil {
				return last
			}
			return forward.ErrorReply(err)
		}
		x.tried = append(x.tried, candidate.Server.ID)
		attempt := x.attemptTo(candidate)
		last = x.send(ctx, candidate.Host, attempt)
		if last.Err != nil && !last.NotRun() {
			last = x.resolve(ctx, atmostonce.FenceTarget{
				Host:            candidate.Host.ID,
				HostIncarnation: candidate.Host.Version.Incarnation,
				ID:              attempt.AttemptID(),
			}, last)
		}
		if !last.NotRun() || !retryable(last.Err) || !x.mayTryAgain(ctx) {
			return last
		}
	}
}

// resolve learns what became of a request whose reply was lost. Silence leaves
// the outcome unknown.
func (x *exchange) resolve(ctx context.Context, target atmostonce.FenceTarget, lost *forward.Reply) *forward.Reply {
	// The caller's own time may be up; the fence is still worth asking for,
	// because it turns an unknown outcome into a certain one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTime)
	defer cancel()
	fencer := x.entry.options.Fencer
	for _, call := range []fenceCall{fencer.Fence, fencer.FenceVia} {
		callCtx, cancel := context.WithTimeout(ctx, fenceCallTime)
		state, kept, err := call(callCtx, target)
		cancel()
		if err != nil {
			x.entry.options.Telemetry.Metrics.Fences.Inc("no-answer")
			continue
		}
		x.entry.options.Telemetry.Metrics.Fences.Inc(string(state))
		if x.tooOldForFence(target) {
			return lost
		}
		return fenceReply(state, kept, lost)
	}
	return lost
}

type fenceCall func(context.Context, atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)

// tooOldForFence reports whether the host may have forgotten a request without
// a key. A node that was paused for longer than the ledger remembers would
// otherwise take "not in the ledger" for "never dispatched".
func (x *exchange) tooOldForFence(target atmostonce.FenceTarget) bool {
	return target.Expires.IsZero() && time.Since(x.started) > x.entry.options.FenceRetention/2
}

// fenceReply turns the state of a request at its host into a reply.
func fenceReply(state atmostonce.FenceState, kept, lost *forward.Reply) *forward.Reply {
	switch state {
	case atmostonce.NeverDispatched:
		reply := forward.ErrorReply(codes.Fenced.New("the request was fenced before it was dispatched"))
		reply.Fenced = true
		return reply
	case atmostonce.Done:
		if kept != nil {
			return kept
		}
	}
	return lost
}
