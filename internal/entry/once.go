package entry

import (
	"context"
	"time"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
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
	Fence(ctx context.Context, host string, incarnation uint64, id string) (atmostonce.FenceState, *forward.Reply, error)
	// FenceVia asks the host through another node, for when the direct path is cut.
	FenceVia(ctx context.Context, host string, incarnation uint64, id string) (atmostonce.FenceState, *forward.Reply, error)
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
			return forward.Refuse(err)
		}
		x.tried = append(x.tried, candidate.Server.ID)
		attempt := x.attemptTo(candidate)
		last = x.send(ctx, candidate.Host, attempt)
		if last.Err != nil && !last.NotRun() {
			last = x.resolve(ctx, candidate.Host, attempt.AttemptID(), last)
		}
		if !last.NotRun() || !retryable(last.Err) || !x.mayTryAgain(ctx) {
			return last
		}
	}
}

// resolve learns what became of a request whose reply was lost. Silence leaves
// the outcome unknown.
func (x *exchange) resolve(ctx context.Context, host *fleet.NodeRecord, id string, lost *forward.Reply) *forward.Reply {
	// The caller's own time may be up; the fence is still worth asking for,
	// because it turns an unknown outcome into a certain one.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTime)
	defer cancel()
	fencer := x.entry.options.Fencer
	calls := []func(context.Context, string, uint64, string) (atmostonce.FenceState, *forward.Reply, error){
		fencer.Fence, fencer.FenceVia,
	}
	for _, call := range calls {
		callCtx, cancel := context.WithTimeout(ctx, fenceCallTime)
		state, kept, err := call(callCtx, host.ID, host.Version.Incarnation, id)
		cancel()
		if err != nil {
			continue
		}
		return fenceReply(state, kept, lost)
	}
	return lost
}

// fenceReply turns the state of a request at its host into a reply.
func fenceReply(state atmostonce.FenceState, kept, lost *forward.Reply) *forward.Reply {
	switch state {
	case atmostonce.NeverDispatched:
		reply := forward.Refuse(codes.Fenced.New("the request was fenced before it was dispatched"))
		reply.Fenced = true
		return reply
	case atmostonce.Done:
		if kept != nil {
			return kept
		}
	}
	return lost
}
