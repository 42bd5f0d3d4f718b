package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	dialTimeout = 500 * time.Millisecond
	// answerGrace is how long the host waits after the deadline for the response to
	// a dispatched non-idempotent request, so that a fence call or a request with
	// the same key can still get the result.
	answerGrace     = 2 * time.Second
	idleConnTimeout = 60 * time.Second
	// idleConnsPerServer exceeds the slots of a server, so that the connections to a
	// busy server stay open for reuse.
	idleConnsPerServer = 64
)

// Viewer provides the current fleet view and the age of the last control tick.
// blackboard.Board implements it.
type Viewer interface {
	View() *fleet.View
	SinceTick() time.Duration
}

// Options configures a Host.
type Options struct {
	Viewer Viewer
	Ledger *atmostonce.Ledger
	Signer *atmostonce.Signer
	// Events receives the start and the end of each request at a server.
	Events detect.Sink
	// Telemetry receives dispatch metrics and traces.
	Telemetry *telemetry.Telemetry
	// BufferedAnswer is the largest response in bytes that is buffered completely.
	// Larger ones are streamed.
	BufferedAnswer int64
	// MaxAnnouncement is the maximum size of an announcement in bytes. Default 4 KiB.
	MaxAnnouncement int64
	// FreezeThreshold is the age of the last control tick above which the host
	// rejects requests, because the process was paused and its view may be stale.
	FreezeThreshold time.Duration
}

// Host runs requests at the attached backend servers. It implements forward.Server.
type Host struct {
	options  Options
	servers  atomic.Pointer[map[string]*attachedServer]
	client   *http.Client
	eventSeq atomic.Uint64
	running  atomic.Int64
	// orphaned counts running requests whose entry node no longer waits.
	orphaned atomic.Int64
}

// New returns a host without attached servers.
func New(options Options) *Host {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	if options.MaxAnnouncement <= 0 {
		options.MaxAnnouncement = defaultMaxAnnouncement
	}
	h := &Host{options: options}
	h.client = &http.Client{Transport: transport, CheckRedirect: useLastResponse}
	h.servers.Store(&map[string]*attachedServer{})
	return h
}

// useLastResponse makes the client return redirects instead of following them, so
// that the caller gets them.
func useLastResponse(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Running is above 0 while requests are being handled, including those whose entry
// node no longer waits. A non-idempotent request counts twice while its entry waits.
func (h *Host) Running() int { return int(h.running.Load()) }

// Load returns the numbers of running and queued requests of all attached servers.
func (h *Host) Load() (running, queued int) {
	for _, server := range *h.servers.Load() {
		load := server.load()
		running += load.Running
		queued += load.Queued
	}
	return running, queued
}

// Orphaned returns the number of running requests whose entry node no longer waits
// for the reply.
func (h *Host) Orphaned() int { return int(h.orphaned.Load()) }

// RunningByServer returns the number of running and queued requests of each
// attached server.
func (h *Host) RunningByServer() map[string]int {
	running := map[string]int{}
	for id, server := range *h.servers.Load() {
		load := server.load()
		running[id] = load.Running + load.Queued
	}
	return running
}

// Serve implements forward.Server.
func (h *Host) Serve(ctx context.Context, r *forward.Request) *forward.Reply {
	h.running.Add(1)
	defer h.running.Add(-1)
	server, err := h.eligibleServer(r)
	if err != nil {
		return h.refuseUnclaimed(r, err)
	}
	var reply *forward.Reply
	if r.Idempotent {
		reply = h.runIdempotent(ctx, server, r)
	} else {
		reply = h.runAtMostOnce(ctx, server, r)
	}
	reply.Load = server.load()
	reply.HasLoad = true
	return reply
}

// refuseUnclaimed rejects a request that was not recorded in the ledger. A keyed
// request is fenced, so that the error stays correct if the key is sent again. If
// it has run before, the stored reply is returned.
func (h *Host) refuseUnclaimed(r *forward.Request, cause error) *forward.Reply {
	if r.Idempotent || r.Key == "" {
		return forward.ErrorReply(cause)
	}
	key, err := h.boundKey(r)
	if err != nil {
		return forward.ErrorReply(err)
	}
	state, stored := h.options.Ledger.Fence(key.LedgerID(), key.Expires())
	switch state {
	case atmostonce.NeverDispatched:
		reply := forward.ErrorReply(cause)
		reply.Fenced = true
		return reply
	case atmostonce.Done:
		return stored
	case atmostonce.NotKnown:
		return forward.ErrorReply(codes.KeyExpired.New("the key has expired"))
	}
	return forward.ErrorReply(codes.KeyRunning.New("the request with this key is still running"))
}

// eligibleServer returns the addressed server if it may be sent the request.
func (h *Host) eligibleServer(r *forward.Request) (*attachedServer, error) {
	view := h.options.Viewer.View()
	if h.viewIsStale() || !view.Ready {
		return nil, codes.Stale.New("the host was paused or has just started, and is refreshing its view")
	}
	server, ok := (*h.servers.Load())[r.Server]
	if !ok || server.incarnation != r.ServerIncarnation {
		return nil, codes.ServerMoved.New("server %s with incarnation %d is not attached", r.Server, r.ServerIncarnation)
	}
	if view.Self.Leaving || server.draining.Load() {
		return nil, codes.Leaving.New("server %s accepts no new requests", r.Server)
	}
	candidate, ok := view.Find(server.service, r.Server)
	if ok && candidate.Standing == fleet.SetAside {
		return nil, codes.NoServer.New("server %s is excluded from routing (standing set-aside)", r.Server)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, codes.DeadlinePassed.New("the deadline passed before the request reached the host")
	}
	return server, nil
}

// viewIsStale reports whether the last control tick is older than FreezeThreshold,
// which shows that the process was paused. The view may then be outdated.
func (h *Host) viewIsStale() bool {
	return h.options.Viewer.SinceTick() > h.options.FreezeThreshold
}

func (h *Host) runIdempotent(ctx context.Context, server *attachedServer, r *forward.Request) *forward.Reply {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	reply := h.admitAndSend(ctx, server, r, nil)
	cancelAfterRead(reply, cancel)
	return reply
}

// runAtMostOnce runs a non-idempotent request that is recorded in the ledger. The
// request continues if the entry node disconnects, so that its reply can be stored.
func (h *Host) runAtMostOnce(ctx context.Context, server *attachedServer, r *forward.Request) *forward.Reply {
	claim, stored, err := h.claim(ctx, r)
	if err != nil {
		reply := forward.ErrorReply(err)
		reply.Fenced = reply.Err.Code.Number == codes.Fenced.Number
		return reply
	}
	if stored != nil {
		return stored
	}
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(answerGrace))
	result := make(chan *forward.Reply, 1)
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		reply := h.admitAndSend(running, server, r, claim)
		finishClaim(claim, reply)
		cancelAfterRead(reply, cancel)
		result <- reply
	}()
	select {
	case reply := <-result:
		reply.Fenced = reply.NotRun()
		return reply
	case <-ctx.Done():
		go h.discardLateReply(result)
		return forward.ErrorReply(codes.AnswerLost.New("the entry node no longer waits for the reply"))
	case <-time.After(time.Until(r.Deadline)):
		go h.discardLateReply(result)
		return h.deadlineReply(claim)
	}
}

// deadlineReply returns the reply to a request whose deadline has passed. It fences
// a request that has not been dispatched yet, so that it never will be.
func (h *Host) deadlineReply(claim *atmostonce.Claim) *forward.Reply {
	if claim.Fence() {
		reply := forward.ErrorReply(codes.DeadlinePassed.New("the deadline passed while the request was queued"))
		reply.Fenced = true
		return reply
	}
	return forward.ErrorReply(codes.DeadlineExceeded.New("the backend server did not respond before the deadline"))
}

// discardLateReply waits for the reply that nobody reads any more and closes it.
func (h *Host) discardLateReply(result <-chan *forward.Reply) {
	h.orphaned.Add(1)
	defer h.orphaned.Add(-1)
	reply := <-result
	if reply.Response != nil {
		h.options.Telemetry.Metrics.LateAnswers.Inc()
	}
	reply.Close()
}

// claim records the request in the ledger under its key, or under the attempt ID if
// it has no key. If the request is already recorded, claim waits for its end and
// returns the stored reply instead.
func (h *Host) claim(ctx context.Context, r *forward.Request) (*atmostonce.Claim, *forward.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	fingerprint := atmostonce.Fingerprint(r.Method, r.Path, r.Body)
	if r.Key == "" {
		return h.options.Ledger.Begin(ctx, r.AttemptID(), fingerprint, time.Time{})
	}
	key, err := h.boundKey(r)
	if err != nil {
		return nil, nil, err
	}
	return h.options.Ledger.Begin(ctx, key.LedgerID(), fingerprint, key.Expires())
}

// boundKey parses the key and checks that it is bound to this host incarnation and
// to the addressed server.
func (h *Host) boundKey(r *forward.Request) (atmostonce.Key, error) {
	key, err := h.options.Signer.Parse(r.Key)
	if err != nil {
		return key, err
	}
	self := h.options.Viewer.View().Self
	if key.Host != self.ID || key.HostIncarnation != self.Version.Incarnation {
		return key, codes.KeyHostLost.New("the key is bound to another incarnation of the host")
	}
	if key.Server != r.Server || key.Service != r.Service {
		return key, codes.KeyInvalid.New("the key is bound to another server")
	}
	return key, nil
}

// finishClaim ends the claim: as not run, or with the reply to store. A streamed
// answer is not stored; the code AnswerCut takes its place.
func finishClaim(claim *atmostonce.Claim, reply *forward.Reply) {
	if reply.NotRun() {
		claim.FinishNotRun()
		return
	}
	stored := *reply
	if reply.Response != nil && reply.Response.Remainder != nil {
		stored.Response = nil
		stored.Err = codes.AnswerCut.New("the response is too large to be stored")
	}
	claim.Finish(&stored)
}
