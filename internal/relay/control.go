package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

const (
	// maxCommand is the limit of a command body in bytes.
	maxCommand = 4096
	// maxDelay is the longest delay that can be set.
	maxDelay = time.Minute
)

// command is the body of POST /cut and POST /delay.
type command struct {
	Direction Direction `json:"direction"`
	DelayMS   int64     `json:"delay_ms"`
}

// Handler serves the control address: POST /cut with a direction, POST /delay
// with delay_ms, POST /reset, and GET /status. Each answers with the Status.
func (r *Relay) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/cut", r.serveCut).Methods(http.MethodPost)
	router.HandleFunc("/delay", r.serveDelay).Methods(http.MethodPost)
	router.HandleFunc("/reset", func(w http.ResponseWriter, _ *http.Request) {
		r.Reset()
		r.writeStatus(w)
	}).Methods(http.MethodPost)
	router.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { r.writeStatus(w) }).Methods(http.MethodGet)
	return router
}

func (r *Relay) serveCut(w http.ResponseWriter, request *http.Request) {
	c, err := decodeCommand(w, request)
	if err == nil {
		err = r.Cut(c.Direction)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.writeStatus(w)
}

func (r *Relay) serveDelay(w http.ResponseWriter, request *http.Request) {
	c, err := decodeCommand(w, request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.DelayMS < 0 || c.DelayMS > maxDelay.Milliseconds() {
		http.Error(w, "delay_ms must be from 0 to 60000", http.StatusBadRequest)
		return
	}
	r.SetDelay(time.Duration(c.DelayMS) * time.Millisecond)
	r.writeStatus(w)
}

func decodeCommand(w http.ResponseWriter, request *http.Request) (command, error) {
	var c command
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxCommand))
	decoder.DisallowUnknownFields()
	return c, decoder.Decode(&c)
}

func (r *Relay) writeStatus(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// The status line has been sent, so an error cannot be reported; the client sees a broken connection.
	_ = json.NewEncoder(w).Encode(r.Status())
}
