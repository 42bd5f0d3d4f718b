package entry

import (
	"context"
	"io"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
)

// sendHedged sends an idempotent request to the candidate and, if no reply has
// arrived after the hedge delay of the service, to a second server as well. It
// returns the first successful reply and cancels the other attempt. A first attempt
// that fails before the delay ends the call with its error.
func (x *exchange) sendHedged(ctx context.Context, candidate *fleet.Candidate) *forward.Reply {
	x.tried = append(x.tried, candidate.Server.ID)
	first := x.newAttempt(candidate)
	delay, ok := x.entry.options.Balancer.HedgeDelay(x.service)
	if !ok || !x.service.Hedge || time.Until(x.request.Deadline) <= delay {
		return x.send(ctx, candidate.Host, first)
	}
	call := newHedgedCall(ctx, x)
	defer call.cancelPending()
	call.start(candidate.Host, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case reply := <-call.replies:
		return call.receive(reply)
	case <-timer.C:
	}
	if second := x.chooseHedgeServer(); second != nil {
		call.start(second.Host, x.newAttempt(second))
	}
	return call.firstSuccess()
}

// chooseHedgeServer returns the server for the hedged attempt, or nil if the attempt
// limit or the retry budget does not permit one or no server is available.
func (x *exchange) chooseHedgeServer() *fleet.Candidate {
	if x.request.Attempt >= maxAttempts || !x.entry.options.Balancer.AllowHedge(x.service, time.Now()) {
		return nil
	}
	candidate, err := x.chooseServer()
	if err != nil {
		return nil
	}
	x.tried = append(x.tried, candidate.Server.ID)
	x.entry.options.Telemetry.Metrics.Hedges.Inc()
	return candidate
}

// attemptReply is the reply to one attempt of a hedgedCall.
type attemptReply struct {
	reply *forward.Reply
	index int
}

// hedgedCall runs attempts of one request in parallel.
type hedgedCall struct {
	ctx      context.Context
	exchange *exchange
	replies  chan attemptReply
	// cancels holds the cancel function of each attempt. It is nil once the reply
	// was returned with an answer that is still being read, whose Close cancels.
	cancels []context.CancelFunc
	pending int
}

func newHedgedCall(ctx context.Context, x *exchange) *hedgedCall {
	return &hedgedCall{ctx: ctx, exchange: x, replies: make(chan attemptReply, maxAttempts)}
}

func (c *hedgedCall) start(host *fleet.NodeRecord, request *forward.Request) {
	ctx, cancel := context.WithCancel(c.ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.pending++
	go func() { c.replies <- attemptReply{c.exchange.send(ctx, host, request), index} }()
}

// receive returns the reply of a finished attempt. Closing an answer that is still
// being read cancels the attempt.
func (c *hedgedCall) receive(result attemptReply) *forward.Reply {
	c.pending--
	answer := result.reply.Response
	if answer != nil && answer.Remainder != nil {
		answer.Remainder = &cancelOnClose{ReadCloser: answer.Remainder, cancel: c.cancels[result.index]}
		c.cancels[result.index] = nil
	}
	return result.reply
}

// firstSuccess returns the first successful reply, or the last error if every
// attempt fails.
func (c *hedgedCall) firstSuccess() *forward.Reply {
	for {
		result := <-c.replies
		reply := c.receive(result)
		if reply.Err == nil && result.index > 0 {
			c.exchange.entry.options.Telemetry.Metrics.HedgeWins.Inc()
		}
		if reply.Err == nil || c.pending == 0 {
			return reply
		}
		c.exchange.mayHaveRun = c.exchange.mayHaveRun || !reply.NotRun()
	}
}

// cancelPending cancels the other attempts and closes their late replies in the
// background.
func (c *hedgedCall) cancelPending() {
	for _, cancel := range c.cancels {
		if cancel != nil {
			cancel()
		}
	}
	pending := c.pending
	go func() {
		for ; pending > 0; pending-- {
			late := <-c.replies
			if late.reply.Response != nil {
				c.exchange.entry.options.Telemetry.Metrics.LateAnswers.Inc()
			}
			late.reply.Close()
		}
	}()
}

// cancelOnClose cancels the context of an attempt when its answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
