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
	"github.com/tarragonford/tarragonford/internal/comeback"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/pick"
)

const (
	// hopsBeforeQueueing is the number of nodes that are asked for a free slot before a request
	// queues for one.
	hopsBeforeQueueing = 3
	// maxHops bounds the number of nodes that one request is sent to.
	maxHops = 10
	// maxBudgetRefusals is the number of nodes that may refuse a retry for the retry budget before it is
	// given up: once several have none left, what others have is soon taken, and each hop costs bytes.
	maxBudgetRefusals = 3
	// recheckInterval is the pause between two attempts to find a server that accepts a request.
	recheckInterval = 25 * time.Millisecond
	// minRetryAfter is the shortest delay suggested to refused callers.
	minRetryAfter = 200 * time.Millisecond
	// maxRateRetryAfter bounds the delay because of rate limits, which is known and not estimated.
	maxRateRetryAfter = 10 * time.Second
	// stopQueueShare is the fraction of the time until the stop limit that requests of a stopping
	// node may spend in a queue, or waiting for a server that accepts them.
	stopQueueShare = 0.4
)

// run sends the request to servers until one answers or the exchange is abandoned, and then
// responds to the caller.
func (x *exchange) run(ctx context.Context, w http.ResponseWriter) {
	var last *httpconn.Response
	waitUntil := x.started.Add(x.maxWait(x.started))
	for hops := 0; hops < maxHops; {
		if ctx.Err() != nil || x.attempts == 0 && x.checkStop() != nil {
			break
		}
		if hops == hopsBeforeQueueing {
			x.startQueueing()
		}
		member, choice, ok := x.choose()
		if !ok {
			if x.deliveries > 0 {
				x.entry.telemetry.Metrics.RetriesRefused.Inc()
				break
			}
			x.rateWait = x.certainRateWait()
			until := x.waitLimit(time.Now(), waitUntil)
			if time.Now().Add(x.rateWait).After(until) || !x.waitForServer(ctx, until) {
				break
			}
			x.rateWait = 0
			continue
		}
		if !x.finishesBeforeStop(choice.Service) {
			break
		}
		hops++
		x.hops = append(x.hops, hopRecord{node: member.ID, sent: time.Since(x.started), choice: choice})
		reply, err := x.send(ctx, member, choice)
		next, response := x.handleReply(ctx, member, reply, err)
		if response != nil {
			last = response
		}
		if next {
			continue
		}
		break
	}
	x.respond(ctx, w, last)
}

// choose picks the next node to send the request to.
func (x *exchange) choose() (Member, pick.Choice, bool) {
	e := x.entry
	x.view = e.control.View()
	pool := x.view.Services[x.service]
	if pool == nil {
		return Member{}, pick.Choice{}, false
	}
	now := time.Now()
	query := x.query(now)
	choice, ok := e.picker.Choose(now, rand.Float64, pool.Candidates, query)
	if !ok && x.startQueueing() {
		query.MaxWait = x.queueLimit(now)
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

// query describes the request for the choice of a server.
func (x *exchange) query(now time.Time) pick.Query {
	return pick.Query{
		Idempotent:   x.request.idempotent,
		Priority:     gate.Rank(x.request.call, x.request.priority),
		LastAttempt:  x.attempts > 0 && x.attempts+1 >= x.route.MaxAttempts && x.route.MaxAttempts > 0,
		Objective:    x.objective.Sub(x.started),
		MaxWait:      x.queueLimit(now),
		LocalMaxWait: x.maxQueueTime(now),
		Retry:        x.deliveries > 0,
		Remaining:    x.deadline.Sub(now),
		Bytes:        x.entry.sizes.meanOf(x.route.ID) + x.request.body.Len(),
		Exclude:      func(id string) bool { _, tried := x.tried[id]; return tried },
	}
}

// startQueueing allows nodes that had no free slot to be asked once more, now for a place in their
// queue. It returns false if queueing was already allowed.
func (x *exchange) startQueueing() bool {
	if x.queueing {
		return false
	}
	x.queueing = true
	for id, final := range x.tried {
		if !final {
			delete(x.tried, id)
		}
	}
	return true
}

// certainRateWait returns the time for which the rate limits of all servers keep the request out. A
// request that they keep for too long is refused at once; full and unhealthy servers may accept it
// sooner than expected.
func (x *exchange) certainRateWait() time.Duration {
	pool := x.view.Services[x.service]
	if pool == nil {
		return 0
	}
	return x.entry.picker.RateLimitedFor(time.Now(), pool.Candidates, gate.Rank(x.request.call, x.request.priority))
}

// waitLimit returns until when the request may wait for a server that accepts it. until is the limit on a
// node that is not stopping. On one that is, the request needs time to run after the wait, and
// does not wait if no server may accept it: the caller can still send it to another node.
func (x *exchange) waitLimit(now, until time.Time) time.Time {
	if x.view.StopAt.IsZero() {
		return until
	}
	pool := x.view.Services[x.service]
	if pool == nil || !x.entry.picker.AnyMayAccept(now, pool.Candidates) {
		return now
	}
	since := x.started
	if since.Before(x.view.StopSince) {
		since = x.view.StopSince
	}
	limit := since.Add(time.Duration(stopQueueShare * float64(x.view.StopAt.Sub(since))))
	if limit.Before(until) {
		return limit
	}
	return until
}

// waitForServer pauses before the next attempt to find a server that accepts the request. It
// returns false if there is no time left.
func (x *exchange) waitForServer(ctx context.Context, until time.Time) bool {
	if !time.Now().Add(recheckInterval).Before(until) {
		return false
	}
	clear(x.tried)
	x.queueing = false
	select {
	case <-time.After(recheckInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// send forwards the request to one node.
func (x *exchange) send(ctx context.Context, member Member, choice pick.Choice) (*hopReply, error) {
	e := x.entry
	r := x.request
	now := time.Now()
	r.arrived = now
	r.remaining = x.deadline.Sub(now)
	r.objective = x.objective.Sub(now)
	r.queueLimit = x.queueLimit(now)
	if choice.ExpectedWait > 0 {
		// The choice accounted for a wait in the queue of this node.
		r.queueLimit = x.maxQueueTime(now)
	}
	r.queueLimit = min(r.queueLimit, x.queueTimeBeforeStop(now, choice.Service))
	r.retry = x.deliveries > 0
	x.request.firstHop = false
	r.departed = e.departures.of(member.ID)
	if member.DataCentre != e.settings.DataCentre {
		e.telemetry.Metrics.FarHops.Inc()
	}
	if member.ID == e.settings.Node {
		return e.host.serve(ctx, &r), nil
	}
	header := http.Header{}
	forward.CopyEndToEnd(header, r.header)
	e.headers.Strip(header)
	if r.account.InUse {
		e.headers.StripAccount(header)
	}
	stripHopHeaders(header)
	header[headerHop] = []string{r.encode()}
	if r.departed != nil {
		header[headerDeparted] = []string{encodeIncarnation(*r.departed)}
	}
	hop := &httpconn.Request{
		Method: r.method, Target: r.target, Host: r.host, Header: header, Body: r.body, ID: r.id, Reservation: r.memory,
	}
	var response *httpconn.Response
	var err error
	if needsPermit(r.idempotent, choice) {
		response, err = e.peers.doPermitted(ctx, member.Addr, hop, r.queueLimit)
	} else {
		response, err = e.peers.do(ctx, member.Addr, hop)
	}
	if err != nil {
		return nil, err
	}
	return decodeReply(response), nil
}

// queueLimit returns how long the request may wait for a slot at this stage; 0 before queueing has
// started.
func (x *exchange) queueLimit(now time.Time) time.Duration {
	if !x.queueing {
		return 0
	}
	return x.maxQueueTime(now)
}

// maxWait returns the longest expected wait with which an answer is still worth a slot. A request
// that may be a call waits longer, since its parent does.
func (x *exchange) maxWait(now time.Time) time.Duration {
	if !x.mayBeCall {
		return gate.MaxWaitFor(x.objective.Sub(now), 0)
	}
	return gate.MaxWaitFor(x.objective.Sub(now), x.deadline.Sub(now))
}

// maxQueueTime returns how long the request may wait once it queues. On a stopping node the limit
// is lower, so that the request still has time to run.
func (x *exchange) maxQueueTime(now time.Time) time.Duration {
	limit := x.maxWait(now)
	if end := x.view.StopAt; !end.IsZero() {
		limit = min(limit, time.Duration(stopQueueShare*float64(end.Sub(now))))
	}
	return max(limit, 0)
}

// queueTimeBeforeStop returns how long a request may wait in the queue of a host with the given mean
// service time, so that its run is likely to end before this node stops.
func (x *exchange) queueTimeBeforeStop(now time.Time, service time.Duration) time.Duration {
	if x.view.StopAt.IsZero() {
		return math.MaxInt64
	}
	return max(x.view.StopAt.Sub(now)-serviceTimeFactor*service, 0)
}

func decodeReply(response *httpconn.Response) *hopReply {
	reply := &hopReply{departed: decodeIncarnation(response.Header.Get(headerDeparted))}
	reply.report, reply.hasReport = decodeLoadReport(response.Header.Get(headerLoad))
	if text := response.Header.Get(headerRefused); text != "" {
		if refused, ok := decodeRefusal(text); ok {
			reply.refused = &refused
			return reply
		}
	}
	if !reply.hasReport || response.Header.Get(headerFailed) != "" {
		reply.failed = "the host received no complete response from the server"
		return reply
	}
	reply.response = response
	return reply
}

// handleReply processes the result of a hop. It returns true if another server should be tried,
// and the response of the server if there is one.
func (x *exchange) handleReply(ctx context.Context, member Member, reply *hopReply, err error) (bool, *httpconn.Response) {
	e := x.entry
	now := time.Now()
	if reply != nil && reply.hasReport {
		if e.picker.Report(now, member.ID, reply.report.Load) {
			e.log.Info("node reachable", zap.String("peer", member.ID), zap.String("request", x.request.id))
		}
		e.onVersion(reply.report.version, member.Addr)
	}
	if reply != nil && reply.departed != nil {
		e.departures.record(member.ID, *reply.departed)
	}
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		x.recordResult("unreachable")
		x.markUnreachable(ctx, member, err)
		x.tried[member.ID] = true
		return true, nil
	case errors.Is(err, errNotPermitted):
		x.recordResult("not-permitted")
		e.telemetry.Metrics.HopsWithdrawn.Inc()
		x.markUnreachable(ctx, member, err)
		x.tried[member.ID] = true
		return true, nil
	case err != nil:
		x.recordResult("lost")
		x.markUnreachable(ctx, member, err)
		x.tried[member.ID] = true
		x.attempts++
		x.deliveries++
		return x.request.idempotent && x.mayRetry(now), nil
	case reply.refused != nil:
		x.recordResult(reply.refused.reason.String())
		e.picker.MarkRefused(now, member.ID, reply.refused.reason)
		if reply.refused.reason == gate.Busy {
			e.telemetry.Metrics.BusyHops.Inc()
		}
		mayQueue := reply.refused.reason == gate.Busy || reply.refused.reason == gate.RateLimited
		x.tried[member.ID] = !mayQueue || x.queueing
		if reply.refused.reason == gate.RetryBudgetExhausted {
			x.budgetRefusals++
		}
		return x.budgetRefusals < maxBudgetRefusals, nil
	case reply.response == nil:
		x.recordResult("answer-lost")
		x.tried[member.ID] = true
		x.attempts++
		x.deliveries++
		return x.request.idempotent && x.mayRetry(now), nil
	}
	return x.handleResponse(member, reply.response, now)
}

func (x *exchange) handleResponse(member Member, response *httpconn.Response, now time.Time) (bool, *httpconn.Response) {
	x.recordResult(strconv.Itoa(response.Status))
	x.tried[member.ID] = true
	x.deliveries++
	if x.entry.headers.NotRun(response.Status, response.Header) {
		return x.mayRetry(now), response
	}
	x.attempts++
	if response.Status < http.StatusMultipleChoices {
		x.entry.sizes.observe(x.route.ID, response.Body.Len())
	}
	if response.Status >= http.StatusInternalServerError && x.request.idempotent {
		return x.mayRetry(now), response
	}
	return false, response
}

// markUnreachable excludes a node for a while, unless the hop ended because the caller
// disconnected or its deadline passed.
func (x *exchange) markUnreachable(ctx context.Context, member Member, err error) {
	if ctx.Err() != nil {
		return
	}
	pause := x.entry.picker.MarkUnreachable(time.Now(), member.ID)
	x.entry.log.Warn("node unreachable", zap.String("peer", member.ID), zap.String("request", x.request.id),
		zap.Error(err), zap.Duration("left_out", pause))
}

// hopRecord describes a hop in the request log: what was known about the node when it was chosen,
// and the result of the hop.
type hopRecord struct {
	node   string
	choice pick.Choice
	// sent and ended are relative to the start of the exchange.
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

// recordResult records the result of the latest hop.
func (x *exchange) recordResult(result string) {
	hop := &x.hops[len(x.hops)-1]
	hop.result, hop.ended = result, time.Since(x.started)
}

// respond answers the caller with the last server response, or with a coded error that states
// correctly whether the request may have run.
func (x *exchange) respond(ctx context.Context, w http.ResponseWriter, last *httpconn.Response) {
	e := x.entry
	expired := !time.Now().Before(x.deadline)
	switch {
	case last != nil && (x.attempts == 0 || !e.headers.NotRun(last.Status, last.Header)):
		x.deliver(w, last)
	case x.attempts > 0 && expired:
		e.fail(w, x, codes.DeadlineExceeded.New("the server did not respond in time"), 0)
	case x.attempts > 0:
		e.fail(w, x, codes.AnswerLost.New("the request was sent to a server, but its response was lost"), 0)
	case ctx.Err() != nil:
		e.fail(w, x, codes.NoServer.New("no server accepted the request in time"), minRetryAfter)
	case x.rateWait > 0:
		e.telemetry.Metrics.RateLimited.Inc()
		e.fail(w, x, codes.NoServer.New("the servers of service %s get as many requests per second as they accept", x.service),
			min(max(x.rateWait, minRetryAfter), maxRateRetryAfter))
	default:
		e.fail(w, x, codes.NoServer.New("no server of service %s accepts the request", x.service), x.retryAfter(false))
	}
}

// retryAfter returns the time after which the caller of a refused request should return. shed is set
// if the last server refused it with room free.
func (x *exchange) retryAfter(shed bool) time.Duration {
	now := time.Now()
	refused := comeback.Refused{Objective: x.objective.Sub(now), Remaining: x.deadline.Sub(now)}
	if len(x.hops) > 0 {
		refused.Service = x.hops[len(x.hops)-1].choice.Service
	}
	if pool := x.view.Services[x.service]; !shed && pool != nil {
		refused.Room = x.entry.picker.NextAvailable(now, pool.Candidates)
	}
	return max(comeback.Delay(refused, rand.Float64), minRetryAfter)
}
