package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/internal/forward"
)

// runIdempotent tries servers until one answers. An attempt whose outcome is
// unknown is repeated as well, and so is one that a server answered with an
// error of its own, because gray servers fail real work in this way.
func (x *exchange) runIdempotent(ctx context.Context) *forward.Reply {
	balancer := x.entry.options.Balancer
	balancer.Fresh(x.service, x.started)
	var best *forward.Reply
	for {
		candidate, err := x.choose()
		if err != nil {
			return better(best, forward.ErrorReply(err))
		}
		sent := time.Now()
		reply := x.sendHedged(ctx, candidate)
		if isFinal(reply) {
			balancer.Answered(x.service, time.Since(sent))
			return reply
		}
		x.maybeRan = x.maybeRan || !reply.NotRun()
		best = better(best, reply)
		if reply.Err != nil && !retryable(reply.Err) || !x.mayTryAgain(ctx) {
			return best
		}
	}
}

// isFinal reports whether a reply is handed to the caller without another try.
func isFinal(reply *forward.Reply) bool {
	if reply.Err != nil {
		return false
	}
	return reply.Response.Status < http.StatusInternalServerError || reply.Response.Remainder != nil
}

// better returns the reply that tells the caller more: an answer of a server
// rather than an error, and otherwise the newer one.
func better(old, newer *forward.Reply) *forward.Reply {
	if old != nil && old.Err == nil && newer.Err != nil {
		return old
	}
	return newer
}
