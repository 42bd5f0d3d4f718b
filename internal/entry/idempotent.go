package entry

import (
	"context"
	"time"

	"github.com/tarragonford/tarragonford/internal/forward"
)

// runIdempotent tries servers until one answers. An attempt whose outcome is
// unknown is repeated as well.
func (x *exchange) runIdempotent(ctx context.Context) *forward.Reply {
	balancer := x.entry.options.Balancer
	balancer.Fresh(x.service, x.started)
	var last *forward.Reply
	for {
		candidate, err := x.choose()
		if err != nil {
			if last != nil {
				return last
			}
			return forward.Refuse(err)
		}
		sent := time.Now()
		last = x.sendHedged(ctx, candidate)
		if last.Err == nil {
			balancer.Answered(x.service, time.Since(sent))
			return last
		}
		x.maybeRan = x.maybeRan || !last.NotRun()
		if !retryable(last.Err) || !x.mayTryAgain(ctx) {
			return last
		}
	}
}
