package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/internal/forward"
)

// runIdempotent sends the request to one server after another until one answers or
// no further attempt is permitted. It also retries attempts with an unknown outcome
// and responses with a 5xx status, because a server with a gray failure returns
// those for real requests.
func (x *exchange) runIdempotent(ctx context.Context) *forward.Reply {
	balancer := x.entry.options.Balancer
	balancer.RecordRequest(x.service, x.started)
	var best *forward.Reply
	for {
		candidate, err := x.chooseServer()
		if err != nil {
			return preferredReply(best, forward.ErrorReply(err))
		}
		sent := time.Now()
		reply := x.sendHedged(ctx, candidate)
		if isFinalReply(reply) {
			balancer.RecordLatency(x.service, time.Since(sent))
			return reply
		}
		x.mayHaveRun = x.mayHaveRun || !reply.NotRun()
		best = preferredReply(best, reply)
		if reply.Err != nil && !retryable(reply.Err) || !x.mayRetry(ctx) {
			return best
		}
	}
}

// isFinalReply reports whether a reply is returned to the caller without a retry.
// A large answer that is still being read is returned whatever its status.
func isFinalReply(reply *forward.Reply) bool {
	if reply.Err != nil {
		return false
	}
	return reply.Response.Status < http.StatusInternalServerError || reply.Response.Remainder != nil
}

// preferredReply returns the reply that is more informative for the caller: a
// server's answer rather than an error, and otherwise the newer one.
func preferredReply(old, newer *forward.Reply) *forward.Reply {
	if old != nil && old.Err == nil && newer.Err != nil {
		return old
	}
	return newer
}
