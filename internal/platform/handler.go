package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gorilla/mux"
)

// handler serves the HTTP protocol from a store.
type handler struct {
	store   Store
	objects ObjectStore
	faults  *Faults
}

// NewHandler returns a handler that serves store and objects with the protocol of
// docs/platform.md. The faults can be read and replaced at /faults.
func NewHandler(store Store, objects ObjectStore, faults *Faults) http.Handler {
	h := &handler{store: store, objects: objects, faults: faults}
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc(pathFaults, h.getFaults).Methods(http.MethodGet)
	router.HandleFunc(pathFaults, h.setFaults).Methods(http.MethodPost)
	router.HandleFunc(pathHealth, h.health).Methods(http.MethodGet)
	calls := router.PathPrefix("/v1").Subrouter()
	calls.Use(h.injectFaults)
	calls.HandleFunc(trimVersion(pathRow), h.getRow).Methods(http.MethodGet)
	calls.HandleFunc(trimVersion(pathRows), h.scan).Methods(http.MethodGet)
	calls.HandleFunc(trimVersion(pathTransact), h.transact).Methods(http.MethodPost)
	calls.HandleFunc(trimVersion(pathObject), h.getObject).Methods(http.MethodGet)
	calls.HandleFunc(trimVersion(pathObject), h.putObject).Methods(http.MethodPut)
	return router
}

func trimVersion(path string) string { return path[len("/v1"):] }

// injectFaults applies the faults that take effect before a call: delay and outage.
func (h *handler) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.faults.wait(r.Context()) {
			return
		}
		if h.faults.Settings().Down {
			writeError(w, http.StatusServiceUnavailable, "the store is down")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := h.store.Get(r.Context(), pathParam(r, "table"), r.URL.Query().Get("key"))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, row)
}

func (h *handler) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > MaxScanRows {
		writeError(w, http.StatusBadRequest, "limit must be between 1 and "+strconv.Itoa(MaxScanRows))
		return
	}
	rows, err := h.store.Scan(r.Context(), pathParam(r, "table"), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, rowsBody{Rows: rows})
}

func (h *handler) transact(w http.ResponseWriter, r *http.Request) {
	var body transactBody
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	err := h.store.Transact(r.Context(), pathParam(r, "table"), body.Checks, body.Writes)
	h.maybeDropResponse(err)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// maybeDropResponse closes the connection without a response if the write took effect
// and the active faults drop its response.
func (h *handler) maybeDropResponse(err error) {
	if err == nil && h.faults.dropAnswer() {
		panic(http.ErrAbortHandler)
	}
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request) {
	object, err := h.objects.GetObject(r.Context(), pathParam(r, "name"))
	if err != nil {
		writeStoreError(w, err)
		return
	}
	w.Header().Set(headerObjectVersion, strconv.FormatUint(object.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Data)
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "if_version must be a number")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	version, err := h.objects.PutObject(r.Context(), pathParam(r, "name"), data, ifVersion)
	h.maybeDropResponse(err)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, versionBody{Version: version})
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.faults.Settings())
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var settings FaultSettings
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	h.faults.Set(settings)
	writeJSON(w, settings)
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func writeStoreError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, ErrRateLimited):
		status = http.StatusTooManyRequests
	}
	writeError(w, status, err.Error())
}

func writeError(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: text})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// pathParam returns a decoded variable of the path, or "" if it cannot be
// decoded; no row or object has that name.
func pathParam(r *http.Request, name string) string {
	value, err := url.PathUnescape(mux.Vars(r)[name])
	if err != nil {
		return ""
	}
	return value
}
