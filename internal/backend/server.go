package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/tarragonford/tarragonford/api"
)

// maxBody is the limit of a request body and of the response padding in bytes.
const maxBody = 8 << 20

// Options configure a Server.
type Options struct {
	ID      string
	Service string
	// Listen is the host:port that serves requests, health probes and fault control.
	Listen string
	// Advertise is the address that the server announces; empty for the listen address.
	Advertise string
	// NodeAddr is the attach address of the node on the machine of the server.
	NodeAddr string
	// Slots is the number of requests that can run at the same time.
	Slots int
	// ConnLimit is the connection limit that the server announces. The server does not enforce it.
	ConnLimit int
	// ServiceTime is the mean service time of a request. Service times have a log-normal distribution.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// WarmUp is the length of the cold start, which is announced. Requests take three times as long at
	// its beginning, falling linearly to the normal time at its end.
	WarmUp time.Duration
	// ProbeTime is the duration of a health probe.
	ProbeTime time.Duration
	// RecordFile is the file that run records are appended to; empty for none.
	RecordFile string
	// Seed seeds the service times and the choice of requests that fail.
	Seed uint64
}

// Server is a backend server that can inject faults.
type Server struct {
	options     Options
	incarnation uint64
	started     time.Time
	slotsInUse  chan struct{}
	running     atomic.Int64
	leaving     atomic.Bool
	faults      faultState
	recorder    *recorder
	mu          sync.Mutex
	rng         *rand.Rand
	drained     chan struct{}
	drainOnce   sync.Once
}

// New returns a server that does not listen yet; see Serve.
func New(options Options) (*Server, error) {
	record, err := newRecorder(options.RecordFile)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Server{
		options:     options,
		incarnation: uint64(now.UnixNano()),
		started:     now,
		slotsInUse:  make(chan struct{}, options.Slots),
		recorder:    record,
		rng:         rand.New(rand.NewPCG(options.Seed, uint64(len(options.ID)))),
		drained:     make(chan struct{}),
	}, nil
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/-/health", s.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/-/faults", s.faults.serve).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(s.serveRequest)
	return router
}

// Serve serves requests and announces the server to the node until ctx ends. Then it drains: it
// announces that the server is leaving and shuts down once the node reports that it has drained, or
// after drainLimit.
func (s *Server) Serve(ctx context.Context, drainLimit time.Duration) error {
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	stopAnnouncing := make(chan struct{})
	addr := s.options.Advertise
	if addr == "" {
		addr = listener.Addr().String()
	}
	go s.runAnnouncements(addr, stopAnnouncing)
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	select {
	case <-s.drained:
	case <-time.After(drainLimit):
	}
	close(stopAnnouncing)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// serveHealth reports success whatever the faults are: in a gray failure, health probes succeed while
// requests fail.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.options.ProbeTime)
	fmt.Fprintln(w, "ok")
}

// responseBody is the JSON body of a response.
type responseBody struct {
	Token   string `json:"token"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Padding string `json:"padding,omitempty"`
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		s.reject(w, r, "the request body is incomplete or too large")
		return
	}
	// Measurements call the server directly and send no incarnation.
	incarnation := r.Header.Get(api.HeaderServerIncarnation)
	if incarnation != "" && incarnation != strconv.FormatUint(s.incarnation, 10) {
		s.reject(w, r, "the request is addressed to another incarnation of this server")
		return
	}
	select {
	case s.slotsInUse <- struct{}{}:
		defer func() { <-s.slotsInUse }()
	default:
		s.reject(w, r, "no free slot")
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.run(w, r, body)
}

// reject responds with status 503 and the header which states that no part of the request has run.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set(api.HeaderNotRun, "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	faults := s.faults.inForce()
	run := RunRecord{
		Server:    s.options.ID,
		Service:   s.options.Service,
		Token:     requestToken(r, body),
		Key:       r.Header.Get(api.HeaderServerKey),
		RequestID: r.Header.Get(api.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		StartedAt: time.Now(),
		Outcome:   "started",
	}
	s.recorder.write(run)
	completed := s.process(r.Context(), faults, remainingTime(r))
	run.EndedAt = time.Now()
	run.Outcome = "ran"
	failed := s.occurs(faults.FailRatio)
	switch {
	case !completed:
		run.Outcome = "abandoned"
	case failed:
		run.Outcome = "failed"
	}
	s.recorder.write(run)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, run, faults, failed)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, run RunRecord, faults Faults, failed bool) {
	if s.occurs(faults.DropRatio) {
		panic(http.ErrAbortHandler)
	}
	id := run.RequestID
	if s.occurs(faults.WrongRatio) {
		id = "another-" + id
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(responseBody{
		Token:   run.Token,
		Server:  s.options.ID,
		Service: s.options.Service,
		Padding: strings.Repeat("x", requestPadding(r)),
	})
	if err != nil {
		panic(err) // cannot happen: the struct has only strings
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if s.occurs(faults.CutRatio) {
		w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(data)
}

// process waits for the service time and reports whether the request was completed. A GET ends early
// when its caller cancels it; other requests run on.
func (s *Server) process(ctx context.Context, faults Faults, timeLeft time.Duration) bool {
	if faults.Stall {
		select {
		case <-ctx.Done():
		case <-time.After(timeLeft):
		}
		return false
	}
	timer := time.NewTimer(s.serviceTime(faults))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime draws the service time of one request.
func (s *Server) serviceTime(faults Faults) time.Duration {
	s.mu.Lock()
	deviate := s.rng.NormFloat64()
	s.mu.Unlock()
	sigma := s.options.Sigma
	factor := math.Exp(deviate*sigma - sigma*sigma/2)
	if faults.SlowFactor > 0 && (faults.SlowRatio == 0 || s.occurs(faults.SlowRatio)) {
		factor *= faults.SlowFactor
	}
	if warmUpLeft := s.options.WarmUp - time.Since(s.started); warmUpLeft > 0 {
		factor *= 1 + 2*warmUpLeft.Seconds()/s.options.WarmUp.Seconds()
	}
	return time.Duration(factor * float64(s.options.ServiceTime))
}

// occurs returns true with the probability ratio.
func (s *Server) occurs(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < ratio
}

// requestToken returns the caller's token for the request, from the query or from a JSON body.
func requestToken(r *http.Request, body []byte) string {
	if t := r.URL.Query().Get("token"); t != "" {
		return t
	}
	var fields struct {
		Token string `json:"token"`
	}
	if json.Unmarshal(body, &fields) == nil {
		return fields.Token
	}
	return ""
}

// requestPadding returns the number of padding bytes that the caller asks for in the response.
func requestPadding(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("padding"))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxBody)
}

// remainingTime returns the time until the deadline of the request, 30 s if it has none.
func remainingTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(api.HeaderDeadline), 10, 64)
	if err != nil || ms < 1 {
		return 30 * time.Second
	}
	return time.Duration(ms) * time.Millisecond
}
