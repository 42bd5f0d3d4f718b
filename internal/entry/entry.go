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

// Viewer gives the newest view and the age of the last control tick.
type Viewer interface {
	View() *fleet.View
	SinceTick() time.Duration
}

// Options are the parts that an entry needs.
type Options struct {
	Viewer Viewer
	// Local is the host role of the same node.
	Local    forward.Server
	Client   *forward.Client
	Balancer Balancer
	Fencer   Fencer
	Signer   *atmostonce.Signer
	Claims   *Claims
	// Accounts limits the rate of client accounts.
	Accounts *admit.AccountLimiter
	// Recent takes the callers and accounts of each service.
	Recent *Recent
	// Paths takes evidence about the paths to host nodes.
	Paths detect.Sink
	// MaxBody bounds a request body in bytes.
	MaxBody int64
	// BodyTime bounds the arrival of a request body; 0 for no bound beside the
	// deadline.
	BodyTime time.Duration
	// AnswerGrace is the time after the deadline at which an answer that the
	// caller does not read is aborted.
	AnswerGrace time.Duration
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration
	// KeyLifetime is the validity of issued keys.
	KeyLifetime time.Duration
	// FenceRetention is how long a host remembers a request without a key.
	FenceRetention time.Duration
	// FreezeThreshold is the age of the last control tick beyond which the
	// entry refuses work.
	FreezeThreshold time.Duration
	// Telemetry counts and traces the requests.
	Telemetry *telemetry.Telemetry
}

// Entry serves callers.
type Entry struct {
	options Options
	router  *mux.Router
	// pathEvents numbers the attempts reported to path detection.
	pathEvents atomic.Uint64
}

// New returns an entry.
func New(options Options) *Entry {
	e := &Entry{options: options, router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	e.router.HandleFunc(api.PathKeys, e.serveKey).Methods(http.MethodPost)
	e.router.HandleFunc(api.PathEntries, e.serveEntries).Methods(http.MethodGet)
	e.router.PathPrefix("/").HandlerFunc(e.serveRequest)
	return e
}

// Prune forgets what the entry knows about servers that are gone. It is called
// from time to time.
func (e *Entry) Prune() { e.options.Balancer.Prune(e.options.Viewer.View()) }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// exchange is one request of a caller on its way.
type exchange struct {
	entry   *Entry
	self    string
	view    *fleet.View
	service fleet.Service
	request forward.Request
	started time.Time
	// tried are the servers that refused an attempt.
	tried []string
	// maybeRan is set once an attempt ended without a promise that it did not
	// run. From then on the outcome cannot be not-run.
	maybeRan bool
	// fenced is set once the host has promised that a keyed request never ran
	// and never will.
	fenced bool
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := uuid.NewString()
	ctx, span := e.options.Telemetry.Tracer.StartRequest(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	x, err := e.accept(w, r, id, started)
	if err != nil {
		e.refuse(w, id, x, codes.Of(err))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline.Add(fenceTime))
	defer cancel()
	reply := x.run(ctx)
	defer reply.Close()
	if reply.Err != nil {
		span.Fail(reply.Err.Code.Name)
		e.refuse(w, id, x, reply.Err)
		return
	}
	// An aborted answer counts as well: the request has run.
	defer e.finish(x, telemetry.Result{Outcome: codes.Ran})
	e.deliver(w, x, reply.Response)
}

// run carries out the exchange in the way that its kind allows.
func (x *exchange) run(ctx context.Context) *forward.Reply {
	switch {
	case x.request.Idempotent:
		return x.runIdempotent(ctx)
	case x.request.CallerKey != "":
		return x.runKeyed(ctx)
	}
	return x.runOnce(ctx)
}

// accept checks the caller's request and reads its body.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request, id string, started time.Time) (*exchange, error) {
	view := e.options.Viewer.View()
	x := &exchange{entry: e, self: view.Self.ID, view: view, started: started}
	x.request = forward.Request{
		ID:        id,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Header:    r.Header,
		CallerKey: r.Header.Get(api.HeaderIdempotencyKey),
		Caller:    hostName(r.RemoteAddr),
	}
	if err := e.ready(x.view); err != nil {
		return x, err
	}
	route, ok := x.view.Config.Index.Find(hostName(r.Host), r.URL.Path)
	if !ok {
		return x, codes.NoRoute.New("no route for host %q and path %q", r.Host, r.URL.Path)
	}
	x.service = x.view.Config.Services[route.Service]
	x.request.Service = route.Service
	x.request.Idempotent = route.IsIdempotent(r.Method)
	if err := x.setAccount(r.Header.Get(api.HeaderAccount)); err != nil {
		return x, err
	}
	e.options.Recent.Note(route.Service, x.request.Account, r.RemoteAddr)
	if err := x.setDeadline(r.Header.Get(api.HeaderDeadline)); err != nil {
		return x, err
	}
	return x, x.readBody(w, r)
}

func (e *Entry) ready(view *fleet.View) error {
	switch {
	case view.Self.Leaving:
		return codes.Leaving.New("the node is leaving")
	case !view.Ready:
		return codes.NotReady.New("the node has no current view of the fleet")
	case e.options.Viewer.SinceTick() > e.options.FreezeThreshold:
		return codes.Stale.New("the node was paused and refreshes its view")
	}
	return nil
}

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
			return codes.BadRequest.New("%s must be a whole number of milliseconds above 0", api.HeaderDeadline)
		}
		wait = time.Duration(min(ms, x.entry.options.MaxDeadline.Milliseconds())) * time.Millisecond
	}
	x.request.Deadline = x.started.Add(min(wait, x.entry.options.MaxDeadline))
	return nil
}

func (x *exchange) readBody(w http.ResponseWriter, r *http.Request) error {
	x.limitBody(w, r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, x.entry.options.MaxBody))
	if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(x.request.Deadline) {
		return codes.DeadlinePassed.New("the deadline passed before the body had arrived")
	}
	if err != nil {
		return forward.BodyError(err)
	}
	x.request.Body = body
	return nil
}

// limitBody ends the reading of the body at the deadline, after which the
// request would be refused anyway. net/http takes the limit back at the end of
// the body. Without a body it reads on already, to notice that the caller hangs
// up, and the limit would count as a hang-up.
func (x *exchange) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	end := x.request.Deadline
	if limit := x.started.Add(x.entry.options.BodyTime); x.entry.options.BodyTime > 0 && limit.Before(end) {
		end = limit
	}
	// Recorders of tests have no deadline; the server's own limit holds as well.
	_ = http.NewResponseController(w).SetReadDeadline(end)
}

func hostName(hostPort string) string {
	if host, _, err := net.SplitHostPort(hostPort); err == nil {
		return host
	}
	return hostPort
}
