package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// Viewer provides the current fleet view and the age of the last control tick.
type Viewer interface {
	View() *fleet.View
	SinceTick() time.Duration
}

// Options configures an Entry.
type Options struct {
	Viewer Viewer
	// Local is the host role of this node.
	Local    forward.Server
	Client   *forward.Client
	Balancer Balancer
	Fencer   Fencer
	Signer   *atmostonce.Signer
	Claims   *Claims
	// Accounts enforces the request rate limits of client accounts.
	Accounts *admit.AccountLimiter
	// RecentUsage records which callers and accounts use each service.
	RecentUsage *RecentUsage
	// PathEvents receives the start and the end of each attempt at another node,
	// as evidence about the network path to it.
	PathEvents detect.Sink
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// BodyTime is the maximum time to receive a request body; 0 means that only
	// the deadline of the request applies.
	BodyTime time.Duration
	// AnswerGrace is how long after the deadline a response may still be written
	// to a caller that reads slowly or not at all; then the connection is aborted.
	AnswerGrace time.Duration
	// MaxDeadline is the longest deadline; a longer one is reduced to it.
	MaxDeadline time.Duration
	// KeyLifetime is how long an issued key is valid.
	KeyLifetime time.Duration
	// FenceRetention is how long a host keeps the record of a request without a
	// key.
	FenceRetention time.Duration
	// FreezeThreshold is the age of the last control tick above which the entry
	// rejects requests, because the process was paused and its view may be stale.
	FreezeThreshold time.Duration
	// Telemetry receives request metrics and traces.
	Telemetry *telemetry.Telemetry
}

// Entry is the HTTP handler that serves caller requests.
type Entry struct {
	options Options
	router  *mux.Router
	// pathEventSeq is the number of the last attempt reported to PathEvents.
	pathEventSeq atomic.Uint64
}

func New(options Options) *Entry {
	e := &Entry{options: options, router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	e.router.HandleFunc(api.PathKeys, e.serveIssueKey).Methods(http.MethodPost)
	e.router.HandleFunc(api.PathEntries, e.serveEntries).Methods(http.MethodGet)
	e.router.PathPrefix("/").HandlerFunc(e.serveRequest)
	return e
}

// Prune discards the load data of servers that have left the view. It is to be
// called periodically.
func (e *Entry) Prune() { e.options.Balancer.Prune(e.options.Viewer.View()) }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// exchange holds the state of one caller request while it is served.
type exchange struct {
	entry   *Entry
	self    string
	view    *fleet.View
	service fleet.Service
	request forward.Request
	started time.Time
	// tried lists the servers excluded from further attempts.
	tried []string
	// mayHaveRun is set once an attempt has ended without a guarantee that it did
	// not run. From then on the outcome cannot be not-run.
	mayHaveRun bool
	// fenced is set once the host has guaranteed that a keyed request never ran
	// and never will.
	fenced bool
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := uuid.NewString()
	ctx, span := e.options.Telemetry.Tracer.StartRequest(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	x, err := e.newExchange(w, r, id, started)
	if err != nil {
		e.writeError(w, id, x, codes.FromError(err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline.Add(fenceTimeout))
	defer cancel()
	reply := x.run(ctx)
	defer reply.Close()
	if reply.Err != nil {
		span.Fail(reply.Err.Code.Name)
		e.writeError(w, id, x, reply.Err)
		return
	}
	// Deferred so that an aborted response is counted too: the request has run.
	defer e.recordResult(x, telemetry.Result{Outcome: codes.Ran})
	e.writeResponse(w, x, reply.Response)
}

// run forwards the request with the retry policy that its kind permits.
func (x *exchange) run(ctx context.Context) *forward.Reply {
	switch {
	case x.request.Idempotent:
		return x.runIdempotent(ctx)
	case x.request.CallerKey != "":
		return x.runKeyed(ctx)
	}
	return x.runAtMostOnce(ctx)
}

// newExchange validates the caller's request and reads its body. It returns a
// non-nil exchange even on error, so that the error can be reported.
func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request, id string, started time.Time) (*exchange, error) {
	view := e.options.Viewer.View()
	x := &exchange{entry: e, self: view.Self.ID, view: view, started: started}
	x.request = forward.Request{
		ID:        id,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Header:    r.Header,
		CallerKey: r.Header.Get(api.HeaderIdempotencyKey),
		Caller:    stripPort(r.RemoteAddr),
	}
	if err := e.checkReady(x.view); err != nil {
		return x, err
	}
	route, ok := x.view.Config.Index.Find(stripPort(r.Host), r.URL.Path)
	if !ok {
		return x, codes.NoRoute.New("no route for host %q and path %q", r.Host, r.URL.Path)
	}
	x.service = x.view.Config.Services[route.Service]
	x.request.Service = route.Service
	x.request.Idempotent = route.IsIdempotent(r.Method)
	if err := x.setAccount(r.Header.Get(api.HeaderAccount)); err != nil {
		return x, err
	}
	e.options.RecentUsage.Record(route.Service, x.request.Account, r.RemoteAddr)
	if err := x.setDeadline(r.Header.Get(api.HeaderDeadline)); err != nil {
		return x, err
	}
	return x, x.readBody(w, r)
}

// checkReady returns an error if the node must not accept requests now.
func (e *Entry) checkReady(view *fleet.View) error {
	switch {
	case view.Self.Leaving:
		return codes.Leaving.New("the node is leaving")
	case !view.Ready:
		return codes.NotReady.New("the node has no current view of the fleet")
	case e.options.Viewer.SinceTick() > e.options.FreezeThreshold:
		return codes.Stale.New("the node was paused and is refreshing its view")
	}
	return nil
}

// setAccount sets the account and its queue weight, and applies its rate limit.
func (x *exchange) setAccount(id string) error {
	x.request.Account = id
	x.request.Weight = 1
	if id == "" {
		return nil
	}
	account, ok := x.view.Config.Accounts[id]
	if !ok {
		return codes.UnknownAccount.New("account %q is not configured", id)
	}
	if account.Weight > 0 {
		x.request.Weight = account.Weight
	}
	if account.RatePerSecond > 0 {
		return x.entry.options.Accounts.Allow(x.started, id, account.RatePerSecond)
	}
	return nil
}

func (x *exchange) setDeadline(text string) error {
	wait := x.service.DefaultDeadline()
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 {
			return codes.BadRequest.New("%s must be a positive whole number of milliseconds", api.HeaderDeadline)
		}
		wait = time.Duration(min(ms, x.entry.options.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	x.request.Deadline = x.started.Add(min(wait, x.entry.options.MaxDeadline))
	return nil
}

func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) error {
	x.setBodyDeadline(w, r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, x.entry.options.MaxBody))
	if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(x.request.Deadline) {
		return codes.DeadlinePassed.New("the deadline passed before the whole request body was received")
	}
	if err != nil {
		return forward.BodyError(err)
	}
	x.request.Body = body
	return nil
}

// setBodyDeadline sets a read deadline on the connection at the earlier of the
// request deadline and the body timeout, after which the request would be
// rejected anyway. net/http clears it at the end of the body. For a request
// without a body, net/http already reads in the background to detect a closed
// connection, and would take an expired read deadline for one.
func (x *exchange) setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	end := x.request.Deadline
	if limit := x.started.Add(x.entry.options.BodyTime); x.entry.options.BodyTime > 0 && limit.Before(end) {
		end = limit
	}
	// httptest recorders do not support deadlines. The read timeout of the HTTP
	// server applies in any case.
	_ = http.NewResponseController(w).SetReadDeadline(end)
}

// stripPort returns the host part of a host:port pair, or the input if it has no
// port.
func stripPort(hostPort string) string {
	if host, _, err := net.SplitHostPort(hostPort); err == nil {
		return host
	}
	return hostPort
}
