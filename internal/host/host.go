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
	// answerGrace is how long the host waits beyond the deadline for the answer
	// of a dispatched non-idempotent request, so that a fence call or a repeat
	// of its key can learn the result.
	answerGrace     = 2 * time.Second
	idleConnTimeout = 60 * time.Second
	// idleConnsPerServer exceeds the slots of a server, so that a busy server
	// keeps its connections.
	idleConnsPerServer = 64
)

// Viewer gives the newest view and the age of the last control tick; package
// blackboard implements it.
type Viewer interface {
	View() *fleet.View
	SinceTick() time.Duration
}

// Options are the parts that a host needs.
type Options struct {
	Viewer Viewer
	Ledger *atmostonce.Ledger
	Signer *atmostonce.Signer
	Events detect.Sink
	// Telemetry counts and traces dispatches.
	Telemetry *telemetry.Telemetry
	// BufferedAnswer is the largest answer in bytes that is read whole.
	BufferedAnswer int64
	// MaxAnnouncement bounds the body of an announcement in bytes. Default 4 KiB.
	MaxAnnouncement int64
	// FreezeThreshold is the age of the last control tick beyond which the host
	// takes no work.
	FreezeThreshold time.Duration
}

// Host runs requests at attached backend servers. It implements forward.Server.
type Host struct {
	options  Options
	servers  atomic.Pointer[map[string]*attached]
	client   *http.Client
	sequence atomic.Uint64
	running  atomic.Int64
	// unattended counts running requests whose entry no longer waits.
	unattended atomic.Int64
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
		options.MaxAnnouncement = standardMaxAnnouncement
	}
	h := &Host{options: options}
	h.client = &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	h.servers.Store(&map[string]*attached{})
	return h
}

// keepRedirect hands redirects of a backend server to the caller.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Running returns the number of requests between admission and the end of
// their answer.
func (h *Host) Running() int { return int(h.running.Load()) }

// Load returns the running and the queued requests of all attached servers.
func (h *Host) Load() (running, queued int) {
	for _, server := range *h.servers.Load() {
		load := server.load()
		running += load.Running
		queued += load.Queued
	}
	return running, queued
}

// Unattended returns the number of running requests whose entry no longer
// waits for the answer.
func (h *Host) Unattended() int { return int(h.unattended.Load()) }

// RunningByServer returns the running and queued requests of each attached server.
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
	server, err := h.target(r)
	if err != nil {
		return h.refuseUnclaimed(r, err)
	}
	var reply *forward.Reply
	if r.Idempotent {
		reply = h.runIdempotent(ctx, server, r)
	} else {
		reply = h.runOnce(ctx, server, r)
	}
	reply.Load = server.load()
	reply.HasLoad = true
	return reply
}

// refuseUnclaimed refuses a request that did not reach the ledger. A keyed
// request is fenced, so that the refusal stays true when the key is repeated;
// if it ran before, the kept reply is returned.
func (h *Host) refuseUnclaimed(r *forward.Request, cause error) *forward.Reply {
	if r.Idempotent || r.Key == "" {
		return forward.ErrorReply(cause)
	}
	key, err := h.boundKey(r)
	if err != nil {
		return forward.ErrorReply(err)
	}
	state, kept := h.options.Ledger.Fence(key.LedgerID(), key.Expires())
	switch state {
	case atmostonce.NeverDispatched:
		reply := forward.ErrorReply(cause)
		reply.Fenced = true
		return reply
	case atmostonce.Done:
		return kept
	case atmostonce.NotKnown:
		return forward.ErrorReply(codes.KeyExpired.New("the key has expired"))
	}
	return forward.ErrorReply(codes.KeyRunning.New("the request with this key has not ended yet"))
}

// target returns the addressed server if it may take the request.
func (h *Host) target(r *forward.Request) (*attached, error) {
	view := h.options.Viewer.View()
	if h.stale() || !view.Ready {
		return nil, codes.Stale.New("the host was paused or started, and refreshes its view")
	}
	server, ok := (*h.servers.Load())[r.Server]
	if !ok || server.incarnation != r.ServerIncarnation {
		return nil, codes.ServerMoved.New("server %s with incarnation %d is not attached", r.Server, r.ServerIncarnation)
	}
	if view.Self.Leaving || server.refusing.Load() {
		return nil, codes.Leaving.New("server %s takes no new work", r.Server)
	}
	candidate, ok := view.Find(server.service, r.Server)
	if ok && candidate.Standing == fleet.SetAside {
		return nil, codes.NoServer.New("server %s is set aside", r.Server)
	}
	if !time.Now().Before(r.Deadline) {
		return nil, codes.DeadlinePassed.New("the deadline passed before the request reached the host")
	}
	return server, nil
}

// stale reports whether the control goroutine has not run for too long, which
// shows that the process was paused. The view may then be old.
func (h *Host) stale() bool {
	return h.options.Viewer.SinceTick() > h.options.FreezeThreshold
}

func (h *Host) runIdempotent(ctx context.Context, server *attached, r *forward.Request) *forward.Reply {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	reply := h.admitAndSend(ctx, server, r, nil)
	closeWith(reply, cancel)
	return reply
}

// runOnce runs a non-idempotent request under the ledger. The request goes on
// when the entry node hangs up, so that its reply can be kept.
func (h *Host) runOnce(ctx context.Context, server *attached, r *forward.Request) *forward.Reply {
	claim, kept, err := h.claim(ctx, r)
	if err != nil {
		reply := forward.ErrorReply(err)
		reply.Fenced = reply.Err.Code.Number == codes.Fenced.Number
		return reply
	}
	if kept != nil {
		return kept
	}
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(answerGrace))
	result := make(chan *forward.Reply, 1)
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		reply := h.admitAndSend(running, server, r, claim)
		settle(claim, reply)
		closeWith(reply, cancel)
		result <- reply
	}()
	select {
	case reply := <-result:
		reply.Fenced = reply.NotRun()
		return reply
	case <-ctx.Done():
		go h.closeLate(result)
		return forward.ErrorReply(codes.AnswerLost.New("the entry node hung up"))
	case <-time.After(time.Until(r.Deadline)):
		go h.closeLate(result)
		return h.overdue(claim)
	}
}

// overdue answers a request whose deadline has passed: a request that was not
// dispatched yet never will be.
func (h *Host) overdue(claim *atmostonce.Claim) *forward.Reply {
	if claim.Fence() {
		reply := forward.ErrorReply(codes.DeadlinePassed.New("the deadline passed in the queue"))
		reply.Fenced = true
		return reply
	}
	return forward.ErrorReply(codes.DeadlineExceeded.New("the server gave no answer in time"))
}

func (h *Host) closeLate(result <-chan *forward.Reply) {
	h.unattended.Add(1)
	defer h.unattended.Add(-1)
	reply := <-result
	if reply.Response != nil {
		h.options.Telemetry.Metrics.LateAnswers.Inc()
	}
	reply.Close()
}

// claim enters the request in the ledger under its key, or under the ID of
// this attempt.
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

// boundKey verifies the key and that it is bound to this host incarnation and
// the addressed server.
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

// settle ends the claim according to the reply.
func settle(claim *atmostonce.Claim, reply *forward.Reply) {
	if reply.NotRun() {
		claim.FinishNotRun()
		return
	}
	kept := *reply
	if reply.Response != nil && reply.Response.Remainder != nil {
		kept.Response = nil
		kept.Err = codes.AnswerCut.New("the answer is too large to be kept")
	}
	claim.Finish(&kept)
}
