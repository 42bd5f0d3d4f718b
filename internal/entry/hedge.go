package entry

import (
	"context"
	"io"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
)

// sendHedged sends a read to the candidate and, if no reply has come after the
// hedge delay of the service, to a second server. The first answer wins and
// the other attempt is cancelled.
func (x *exchange) sendHedged(ctx context.Context, candidate *fleet.Candidate) *forward.Reply {
	x.tried = append(x.tried, candidate.Server.ID)
	first := x.attemptTo(candidate)
	delay, ok := x.entry.options.Balancer.HedgeDelay(x.service)
	if !ok || !x.service.Hedge || time.Until(x.request.Deadline) <= delay {
		return x.send(ctx, candidate.Host, first)
	}
	race := newRace(ctx, x)
	defer race.finish()
	race.start(candidate.Host, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case reply := <-race.replies:
		return race.take(reply)
	case <-timer.C:
	}
	if second := x.hedge(); second != nil {
		race.start(second.Host, x.attemptTo(second))
	}
	return race.wait()
}

// hedge returns the server for a second attempt within the retry budget, or nil.
func (x *exchange) hedge() *fleet.Candidate {
	if x.request.Attempt >= maxAttempts || !x.entry.options.Balancer.MayHedge(x.service, time.Now()) {
		return nil
	}
	candidate, err := x.choose()
	if err != nil {
		return nil
	}
	x.tried = append(x.tried, candidate.Server.ID)
	x.entry.options.Telemetry.Metrics.Hedges.Inc()
	return candidate
}

// raced is the reply of one attempt of a race.
type raced struct {
	reply *forward.Reply
	index int
}

// race runs attempts side by side.
type race struct {
	ctx     context.Context
	x       *exchange
	replies chan raced
	// cancels holds one function for each attempt; nil once its reply, with an
	// answer that is still being read, was handed on.
	cancels []context.CancelFunc
	open    int
}

func newRace(ctx context.Context, x *exchange) *race {
	return &race{ctx: ctx, x: x, replies: make(chan raced, maxAttempts)}
}

func (r *race) start(host *fleet.NodeRecord, request *forward.Request) {
	ctx, cancel := context.WithCancel(r.ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.open++
	go func() { r.replies <- raced{r.x.send(ctx, host, request), index} }()
}

// take accounts for one reply that is handed on.
func (r *race) take(result raced) *forward.Reply {
	r.open--
	answer := result.reply.Response
	if answer != nil && answer.Remainder != nil {
		answer.Remainder = &cancelReader{ReadCloser: answer.Remainder, cancel: r.cancels[result.index]}
		r.cancels[result.index] = nil
	}
	return result.reply
}

// wait returns the first answer, or the last failure if no attempt succeeds.
func (r *race) wait() *forward.Reply {
	for {
		result := <-r.replies
		reply := r.take(result)
		if reply.Err == nil && result.index > 0 {
			r.x.entry.options.Telemetry.Metrics.HedgeWins.Inc()
		}
		if reply.Err == nil || r.open == 0 {
			return reply
		}
		r.x.maybeRan = r.x.maybeRan || !reply.NotRun()
	}
}

// finish cancels the attempts that lost and closes their late replies.
func (r *race) finish() {
	for _, cancel := range r.cancels {
		if cancel != nil {
			cancel()
		}
	}
	open := r.open
	go func() {
		for ; open > 0; open-- {
			late := <-r.replies
			if late.reply.Response != nil {
				r.x.entry.options.Telemetry.Metrics.LateAnswers.Inc()
			}
			late.reply.Close()
		}
	}()
}

// cancelReader ends the context of an attempt when its answer is closed.
type cancelReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelReader) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
