package sidecar

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/pick"
)

const (
	// quickHops is the number of nodes that are asked for a free slot before a
	// request waits for one.
	quickHops = 3
	// maxHops bounds the nodes that one request is sent to.
	maxHops = 10
	// holdStep is the time between two looks for a server that takes a request.
	holdStep = 25 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice to refused callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// stopWaitShare is the part of the time until the stop limit for which the
	// requests of a stopping node may wait.
	stopWaitShare = 0.4
)

// run sends the request to servers until one answers or the exchange is given
// up, and answers the caller.
func (x *exchange) run(ctx context.Context, w http.ResponseWriter) {
	var last *httpconn.Response
	hold := x.started.Add(gate.MaxWaitFor(x.objective.Sub(x.started), x.deadline.Sub(x.started)))
	for hops := 0; hops < maxHops; {
		if ctx.Err() != nil || x.attempts == 0 && x.fitsStop() != nil {
			break
		}
		if hops == quickHops {
			x.startWaiting()
		}
		member, choice, ok := x.choose()
		if !ok {
			if x.arrivals > 0 {
				x.entry.telemetry.Metrics.RetriesRefused.Inc()
				break
			}
			if !x.hold(ctx, hold) {
				break
			}
			continue
		}
		if !x.runFitsStop(choice.Service) {
			break
		}
		hops++
		x.hops = append(x.hops, hopRecord{node: member.ID, sent: time.Since(x.started), choice: choice})
		reply, err := x.send(ctx, member, choice)
		next, answer := x.judge(ctx, member, reply, err)
		if answer != nil {
			last = answer
		}
		if next {
			continue
		}
		break
	}
	x.conclude(ctx, w, last)
}

// choose picks the next node.
func (x *exchange) choose() (Member, pick.Choice, bool) {
	e := x.entry
	x.view = e.board.View()
	pool := x.view.Services[x.service]
	if pool == nil {
		return Member{}, pick.Choice{}, false
	}
	now := time.Now()
	query := pick.Query{
		Idempotent:   x.request.idempotent,
		Priority:     x.request.priority,
		LastAttempt:  x.attempts > 0 && x.attempts+1 >= x.route.MaxAttempts && x.route.MaxAttempts > 0,
		Objective:    x.objective.Sub(x.started),
		MaxWait:      x.patience(now),
		LocalMaxWait: x.fullPatience(now),
		Retry:        x.arrivals > 0,
		Remaining:    x.deadline.Sub(now),
		Bytes:        e.sizes.of(x.route.ID) + len(x.request.body),
		Exclude:      func(id string) bool { _, tried := x.tried[id]; return tried },
	}
	choice, ok := e.picker.Choose(now, rand.Float64, pool.Candidates, query)
	if !ok && x.startWaiting() {
		query.MaxWait = x.patience(now)
		choice, ok = e.picker.Choose(now, rand.Float64, pool.Candidates, query)
	}
	if !ok {
		return Member{}, pick.Choice{}, false
	}
	if query.Retry {
		e.telemetry.Metrics.Retries.Inc()
	}
	return pool.Members[choice.Index], choice, true
}

// startWaiting lets nodes that had no free slot be asked once more, now for a
// place in their queue. It returns false if that was done already.
func (x *exchange) startWaiting() bool {
	if x.waiting {
		return false
	}
	x.waiting = true
	for id, final := range x.tried {
		if !final {
			delete(x.tried, id)
		}
	}
	return true
}

// hold waits until a server may take the request; false when the time is up.
func (x *exchange) hold(ctx context.Context, until time.Time) bool {
	if !time.Now().Add(holdStep).Before(until) {
		return false
	}
	clear(x.tried)
	x.waiting = false
	select {
	case <-time.After(holdStep):
		return true
	case <-ctx.Done():
		return false
	}
}

// send runs one hop.
func (x *exchange) send(ctx context.Context, member Member, choice pick.Choice) (*hopReply, error) {
	e := x.entry
	r := x.request
	now := time.Now()
	r.arrived = now
	r.left = x.deadline.Sub(now)
	r.objective = x.objective.Sub(now)
	r.patience = x.patience(now)
	if choice.ExpectedWait > 0 {
		// The choice weighed a wait in the queue of this node.
		r.patience = x.fullPatience(now)
	}
	r.repeat = x.arrivals > 0
	x.request.first = false
	if member.ID == e.settings.Node {
		return e.host.serve(ctx, &r), nil
	}
	header := http.Header{}
	forward.CopyEndToEnd(header, r.header)
	e.headers.Strip(header)
	stripHop(header)
	header[headerHop] = []string{r.encode()}
	answer, err := e.peers.do(ctx, member.Addr, &httpconn.Request{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, ID: r.id, Reservation: r.hold,
	})
	if err != nil {
		return nil, err
	}
	return decodeReply(answer), nil
}

// patience returns how long the request may wait for a slot. A stopping node
// leaves its requests time to run.
func (x *exchange) patience(now time.Time) time.Duration {
	if !x.waiting {
		return 0
	}
	return x.fullPatience(now)
}

// fullPatience returns how long the request may wait once it does.
func (x *exchange) fullPatience(now time.Time) time.Duration {
	patience := gate.MaxWaitFor(x.objective.Sub(now), x.deadline.Sub(now))
	if end := x.view.StopAt; !end.IsZero() {
		patience = min(patience, time.Duration(stopWaitShare*float64(end.Sub(now))))
	}
	return max(patience, 0)
}

func decodeReply(answer *httpconn.Response) *hopReply {
	reply := &hopReply{}
	reply.report, reply.hasReport = decodeReport(answer.Header.Get(headerLoad))
	if text := answer.Header.Get(headerRefused); text != "" {
		if refused, ok := decodeRefusal(text); ok {
			reply.refused = &refused
			return reply
		}
	}
	if !reply.hasReport || answer.Header.Get(headerFailed) != "" {
		reply.failed = "the host lost the answer of the server"
		return reply
	}
	reply.answer = answer
	return reply
}

// judge takes the result of a hop. It returns true if another server is to be
// tried, and the answer of the server if there is one.
func (x *exchange) judge(ctx context.Context, member Member, reply *hopReply, err error) (bool, *httpconn.Response) {
	e := x.entry
	now := time.Now()
	if reply != nil && reply.hasReport {
		if e.picker.Report(now, member.ID, reply.report.Load) {
			e.log.Info("node reachable", zap.String("peer", member.ID), zap.String("request", x.request.id))
		}
		e.onVersion(reply.report.version, member.Addr)
	}
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		x.note("unreachable")
		x.unreachable(ctx, member, err)
		x.tried[member.ID] = true
		return true, nil
	case err != nil:
		x.note("lost")
		x.unreachable(ctx, member, err)
		x.tried[member.ID] = true
		x.attempts++
		x.arrivals++
		return x.request.idempotent && x.mayRepeat(now), nil
	case reply.refused != nil:
		x.note(reply.refused.reason.String())
		e.picker.MarkRefused(now, member.ID, reply.refused.reason)
		x.tried[member.ID] = reply.refused.reason != gate.Busy || x.waiting
		return true, nil
	case reply.answer == nil:
		x.note("answer-lost")
		x.tried[member.ID] = true
		x.attempts++
		x.arrivals++
		return x.request.idempotent && x.mayRepeat(now), nil
	}
	return x.judgeAnswer(member, reply.answer, now)
}

func (x *exchange) judgeAnswer(member Member, answer *httpconn.Response, now time.Time) (bool, *httpconn.Response) {
	x.note(strconv.Itoa(answer.Status))
	x.tried[member.ID] = true
	x.arrivals++
	if x.entry.headers.NotRun(answer.Status, answer.Header) {
		return x.mayRepeat(now), answer
	}
	x.attempts++
	if answer.Status < http.StatusMultipleChoices {
		x.entry.sizes.observe(x.route.ID, len(answer.Body))
	}
	if answer.Status >= http.StatusInternalServerError && x.request.idempotent {
		return x.mayRepeat(now), answer
	}
	return false, answer
}

// unreachable leaves a node out for a while, unless the hop ended because the
// caller left or its time was up.
func (x *exchange) unreachable(ctx context.Context, member Member, err error) {
	if ctx.Err() != nil {
		return
	}
	pause := x.entry.picker.MarkUnreachable(time.Now(), member.ID)
	x.entry.log.Warn("node unreachable", zap.String("peer", member.ID), zap.String("request", x.request.id),
		zap.Error(err), zap.Duration("left_out", pause))
}

// hopRecord is a hop for the log: what was known of the node when it was chosen,
// and what became of the request there.
type hopRecord struct {
	node   string
	choice pick.Choice
	// sent and ended are the times since the start of the exchange.
	sent, ended time.Duration
	result      string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (h hopRecord) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("node", h.node)
	enc.AddString("result", h.result)
	enc.AddInt64("sent_ms", h.sent.Milliseconds())
	enc.AddInt64("ended_ms", h.ended.Milliseconds())
	if h.choice.Known {
		enc.AddInt64("age_ms", h.choice.Age.Milliseconds())
		enc.AddInt64("wait_ms", h.choice.ExpectedWait.Milliseconds())
		enc.AddFloat64("doubt", math.Round(h.choice.FailureProbability*shareScale)/shareScale)
	}
	return nil
}

// note records the result of the newest hop.
func (x *exchange) note(result string) {
	hop := &x.hops[len(x.hops)-1]
	hop.result, hop.ended = result, time.Since(x.started)
}

// conclude answers the caller with the last answer of a server or with a coded
// error that tells truly whether the request may have run.
func (x *exchange) conclude(ctx context.Context, w http.ResponseWriter, last *httpconn.Response) {
	e := x.entry
	expired := !time.Now().Before(x.deadline)
	switch {
	case last != nil && (x.attempts == 0 || !e.headers.NotRun(last.Status, last.Header)):
		x.deliver(w, last)
	case x.attempts > 0 && expired:
		e.fail(w, x, codes.DeadlineExceeded.New("the server gave no answer in time"), 0)
	case x.attempts > 0:
		e.fail(w, x, codes.AnswerLost.New("the request was sent to a server and its answer was lost"), 0)
	case ctx.Err() != nil:
		e.fail(w, x, codes.NoServer.New("no server took the request in time"), minRetryAfter)
	default:
		e.fail(w, x, codes.NoServer.New("no server of service %s takes the request", x.service), x.retryAfter())
	}
}

// retryAfter returns when a server may take the request.
func (x *exchange) retryAfter() time.Duration {
	pool := x.view.Services[x.service]
	if pool == nil {
		return maxRetryAfter
	}
	return min(max(x.entry.picker.NextAvailable(time.Now(), pool.Candidates), minRetryAfter), maxRetryAfter)
}
