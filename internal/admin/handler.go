package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
)

const (
	// trafficTimeout bounds the gathering of the traffic for a plan. Nodes that
	// answer later are left out of the plan.
	trafficTimeout = 3 * time.Second
	// standardMaxBody bounds the body of a request by default, in bytes.
	standardMaxBody = 1 << 20
	// defaultPage and maxPage bound the intents or audit rows of one answer.
	defaultPage = 100
	maxPage     = 1000
)

// ViewSource gives the newest view of the fleet. blackboard.Board is one.
type ViewSource interface {
	View() *fleet.View
}

// TrafficSource gives the traffic seen lately, for plans.
type TrafficSource interface {
	// Observed returns the callers, accounts and running requests seen lately.
	Observed(ctx context.Context) intent.ObservedTraffic
}

// StoreState tells whether the platform answers. platform.Client is one.
type StoreState interface {
	CircuitOpen() bool
}

// Dependencies are what the API works on.
type Dependencies struct {
	Engine *intentstore.Engine
	Views  ViewSource
	// Traffic may be nil; plans then list no callers, accounts or requests.
	Traffic TrafficSource
	// Store may be nil; the status then never reports the platform as down.
	Store StoreState
	// Log may be nil.
	Log *zap.Logger
	// MaxBody bounds the body of a request in bytes. Default 1 MiB.
	MaxBody int64
	// Now returns the time. Default time.Now.
	Now func() time.Time
}

// handler serves the API.
type handler struct {
	Dependencies
	identities *identities
}

// NewHandler returns the handler of the administration API, whose paths begin
// with /v1/.
func NewHandler(d Dependencies) http.Handler {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.MaxBody <= 0 {
		d.MaxBody = standardMaxBody
	}
	h := &handler{Dependencies: d, identities: newIdentities(d.Engine, d.Now)}
	router := mux.NewRouter()
	h.addIntents(router)
	h.addReads(router)
	unknown := h.serve(func(r *http.Request, _ intent.Actor) (int, any, error) {
		return 0, nil, codes.UnknownPath.New("%s %s", r.Method, r.URL.Path)
	})
	router.NotFoundHandler = unknown
	router.MethodNotAllowedHandler = unknown
	return router
}

// endpoint answers an authenticated request with a status and a JSON body.
type endpoint func(r *http.Request, actor intent.Actor) (int, any, error)

// serve authenticates a request and writes the answer or the problem.
func (h *handler) serve(e endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, h.MaxBody)
		actor, err := h.identities.authenticate(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		status, body, err := e(r, actor)
		if err != nil {
			writeProblem(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	})
}

// decode reads a JSON body strictly; an empty body leaves value as it is.
func decode(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil && !errors.Is(err, io.EOF) {
		return codes.BadIntent.New("malformed body: %v", err)
	}
	return nil
}

// look returns the situation of this node for a check.
func (h *handler) look() intentstore.Snapshot {
	return intentstore.Snapshot{View: h.Views.View()}
}

// lookWithTraffic returns a function that adds the traffic seen lately, for a
// plan. The traffic is gathered once, however often the plan is made, because
// it may take a call to every node; checks do without it.
func (h *handler) lookWithTraffic(ctx context.Context) func() intentstore.Snapshot {
	var observed intent.ObservedTraffic
	if h.Traffic != nil {
		ctx, cancel := context.WithTimeout(ctx, trafficTimeout)
		defer cancel()
		observed = h.Traffic.Observed(ctx)
	}
	return func() intentstore.Snapshot {
		return intentstore.Snapshot{View: h.Views.View(), Observed: observed}
	}
}

// requireView refuses a plan or confirmation on a node without a current view.
func (h *handler) requireView() error {
	if view := h.Views.View(); !view.Ready {
		return codes.ViewNotReady.New("node %s is not ready", nodeID(view))
	}
	return nil
}

func nodeID(view *fleet.View) string {
	if view.Self == nil {
		return ""
	}
	return view.Self.ID
}

// addIntents adds the calls that need the platform.
func (h *handler) addIntents(router *mux.Router) {
	router.Handle(api.PathIntents, h.serve(h.createIntent)).Methods(http.MethodPost)
	router.Handle(api.PathIntents, h.serve(h.listIntents)).Methods(http.MethodGet)
	router.Handle(api.PathIntents+"/{id}", h.serve(h.getIntent)).Methods(http.MethodGet)
	router.Handle(api.PathIntents+"/{id}/plan", h.serve(h.planIntent)).Methods(http.MethodPost)
	router.Handle(api.PathIntents+"/{id}/confirm", h.serve(h.confirmIntent)).Methods(http.MethodPost)
	router.Handle(api.PathIntents+"/{id}/approve", h.serve(h.approveIntent)).Methods(http.MethodPost)
	router.Handle(api.PathIntents+"/{id}/refuse", h.serve(h.refuseIntent)).Methods(http.MethodPost)
	router.Handle(api.PathIntents+"/{id}/cancel", h.serve(h.cancelIntent)).Methods(http.MethodPost)
	router.Handle(api.PathAudit, h.serve(h.listAudit)).Methods(http.MethodGet)
}

// addReads adds the calls that the node answers from its own view.
func (h *handler) addReads(router *mux.Router) {
	router.Handle(api.PathStatus, h.serve(h.status)).Methods(http.MethodGet)
	router.Handle(api.PathNodes, h.serve(h.nodes)).Methods(http.MethodGet)
	router.Handle(api.PathServers, h.serve(h.servers)).Methods(http.MethodGet)
	router.Handle(api.PathServices, h.serve(h.services)).Methods(http.MethodGet)
}
