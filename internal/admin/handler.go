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
	// trafficTimeout bounds the collection of traffic data for a plan. The plan
	// omits the traffic of nodes that answer later.
	trafficTimeout = 3 * time.Second
	// defaultMaxBody is the default limit of a request body, in bytes.
	defaultMaxBody = 1 << 20
	// defaultPageSize and maxPageSize limit the intents or audit rows in one answer.
	defaultPageSize = 100
	maxPageSize     = 1000
)

// ViewSource provides the current view of the fleet. blackboard.Board implements it.
type ViewSource interface {
	View() *fleet.View
}

// TrafficSource provides recent traffic for plans.
type TrafficSource interface {
	// Observed returns the recent callers and accounts, and the running requests.
	Observed(ctx context.Context) intent.ObservedTraffic
}

// StoreState reports whether the platform is reachable. platform.Client implements it.
type StoreState interface {
	// CircuitOpen reports whether the circuit breaker has suspended calls to the platform.
	CircuitOpen() bool
}

// Dependencies are the components and limits of the API handler.
type Dependencies struct {
	Engine *intentstore.Engine
	Views  ViewSource
	// Traffic may be nil; plans then list no callers, accounts or requests.
	Traffic TrafficSource
	// Store may be nil; the status then always reports the platform as up.
	Store StoreState
	// Log may be nil; nothing is logged then.
	Log *zap.Logger
	// MaxBody limits the body of a request, in bytes. Default 1 MiB.
	MaxBody int64
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// handler serves the administration API.
type handler struct {
	Dependencies
	identities *identityCache
}

// NewHandler returns the HTTP handler of the administration API. All its paths
// begin with /v1/.
func NewHandler(d Dependencies) http.Handler {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.MaxBody <= 0 {
		d.MaxBody = defaultMaxBody
	}
	h := &handler{Dependencies: d, identities: newIdentityCache(d.Engine, d.Now)}
	router := mux.NewRouter()
	h.addIntentRoutes(router)
	h.addViewRoutes(router)
	unknown := h.serve(func(r *http.Request, _ intent.Actor) (int, any, error) {
		return 0, nil, codes.UnknownPath.New("%s %s", r.Method, r.URL.Path)
	})
	router.NotFoundHandler = unknown
	router.MethodNotAllowedHandler = unknown
	return router
}

// endpoint handles an authenticated request. It returns the HTTP status and a
// body that is encoded as JSON.
type endpoint func(r *http.Request, actor intent.Actor) (int, any, error)

// serve wraps an endpoint: it limits the body, authenticates the request, and
// writes the response of the endpoint or its error as problem details.
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

// decode decodes the JSON body into value and rejects unknown fields. An empty
// body leaves value unchanged.
func decode(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil && !errors.Is(err, io.EOF) {
		return codes.BadIntent.New("malformed request body: %v", err)
	}
	return nil
}

// situation returns the input for checking a plan that already exists.
func (h *handler) situation() intentstore.Snapshot {
	return intentstore.Snapshot{View: h.Views.View()}
}

// situationWithTraffic returns a function that returns the input for making a
// plan, which includes recent traffic. The traffic is collected once, however
// often the plan is recomputed, because collecting it may call every node;
// checks of an existing plan do not use it.
func (h *handler) situationWithTraffic(ctx context.Context) func() intentstore.Snapshot {
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

// requireView rejects planning, confirming and approving on a node without a
// current view of the fleet.
func (h *handler) requireView() error {
	if view := h.Views.View(); !view.Ready {
		return codes.ViewNotReady.New("node %s has no current view of the fleet", nodeID(view))
	}
	return nil
}

// nodeID returns the ID of the node that holds the view, or "" if it is unknown.
func nodeID(view *fleet.View) string {
	if view.Self == nil {
		return ""
	}
	return view.Self.ID
}

// addIntentRoutes registers the calls that need the platform.
func (h *handler) addIntentRoutes(router *mux.Router) {
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

// addViewRoutes registers the calls that the node answers from its own view.
func (h *handler) addViewRoutes(router *mux.Router) {
	router.Handle(api.PathStatus, h.serve(h.status)).Methods(http.MethodGet)
	router.Handle(api.PathNodes, h.serve(h.nodes)).Methods(http.MethodGet)
	router.Handle(api.PathServers, h.serve(h.servers)).Methods(http.MethodGet)
	router.Handle(api.PathServices, h.serve(h.services)).Methods(http.MethodGet)
}
