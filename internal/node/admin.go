package node

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/tarragonford/tarragonford/internal/admin"
)

// adminHandler serves the administration API, health and metrics.
func (n *Node) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", n.telemetry.MetricsHandler())
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", n.serveReady)
	router.PathPrefix("/v1/").Handler(admin.NewHandler(admin.Dependencies{
		Engine:  n.engine,
		Views:   n.board,
		Traffic: n,
		Store:   n.client,
		Log:     n.telemetry.Log,
		MaxBody: n.config.Limits.AdminBody,
	}))
	return router
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.board.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
