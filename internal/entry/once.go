package entry

import (
	"context"
	"time"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
)

const (
	// fenceTimeout is the limit for all fence calls after a lost reply. It is added
	// to the caller's deadline.
	fenceTimeout = 500 * time.Millisecond
	// fenceCallTimeout is the limit for one fence call.
	fenceCallTimeout = 200 * time.Millisecond
)

// Fencer asks a host to fence a request, so that the request never runs if it has
// not been dispatched yet.
type Fencer interface {
	// Fence calls the host directly.
	Fence(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)
	// FenceVia calls the host through another node, in case the direct path is down.
	FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)
}

// runAtMostOnce runs a non-idempotent request without a key. It retries at another
// server only after a guarantee that the last attempt did not run and never will.
func (x *exchange) runAtMostOnce(ctx context.Context) *forward.Reply {
	x.entry.options.Balancer.RecordRequest(x.service, x.started)
	var last *forward.Reply
	for {
		candidate, err := x.chooseServer()
		if err != nil {
			if last != nil {
				return last
			}
			return forward.ErrorReply(err)
		}
		x.tried = append(x.tried, candidate.Server.ID)
		attempt := x.newAttempt(candidate)
		last = x.send(ctx, candidate.Host, attempt)
		if last.Err != nil && !last.NotRun() {
			last = x.resolveOutcome(ctx, atmostonce.FenceTarget{
				Host:            candidate.Host.ID,
				HostIncarnation: candidate.Host.Version.Incarnation,
				ID:              attempt.AttemptID(),
			}, last)
		}
		if !last.NotRun() || !retryable(last.Err) || !x.mayRetry(ctx) {
			return last
		}
	}
}

// resolveOutcome fences a request whose reply was lost, to find out whether it ran.
// If no fence call is answered, the outcome stays unknown.
func (x *exchange) resolveOutcome(ctx context.Context, target atmostonce.FenceTarget, lost *forward.Reply) *forward.Reply {
	// The caller's deadline may have passed. The fence call is still useful, because
	// it can turn an unknown outcome into a definite one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	fencer := x.entry.options.Fencer
	for _, call := range []fenceCall{fencer.Fence, fencer.FenceVia} {
		callCtx, cancel := context.WithTimeout(ctx, fenceCallTimeout)
		state, stored, err := call(callCtx, target)
		cancel()
		if err != nil {
			x.entry.options.Telemetry.Metrics.Fences.Inc("no-answer")
			continue
		}
		x.entry.options.Telemetry.Metrics.Fences.Inc(string(state))
		if x.recordMayHaveExpired(target) {
			return lost
		}
		return fenceReply(state, stored, lost)
	}
	return lost
}

type fenceCall func(context.Context, atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error)

// recordMayHaveExpired reports whether the host may have dropped the ledger record
// of a request without a key. Without this check, a node that was paused for
// longer than FenceRetention would take "not in the ledger" for "never
// dispatched".
func (x *exchange) recordMayHaveExpired(target atmostonce.FenceTarget) bool {
	return target.Expires.IsZero() && time.Since(x.started) > x.entry.options.FenceRetention/2
}

// fenceReply returns the reply that follows from the ledger state of a request:
// not-run if it was fenced, stored if it is done and the host still has its reply,
// and otherwise lost.
func fenceReply(state atmostonce.FenceState, stored, lost *forward.Reply) *forward.Reply {
	switch state {
	case atmostonce.NeverDispatched:
		reply := forward.ErrorReply(codes.Fenced.New("the request was fenced before it was dispatched"))
		reply.Fenced = true
		return reply
	case atmostonce.Done:
		if stored != nil {
			return stored
		}
	}
	return lost
}
