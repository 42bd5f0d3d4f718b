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

// maxBody bounds a request body in bytes.
const maxBody = 8 << 20

// Options describe one stand-in server.
type Options struct {
	ID      string
	Service string
	// Listen is the host:port for requests, probes and the fault control.
	Listen string
	// Advertise is the address that the server announces; empty for its own.
	Advertise string
	// Node is the attach address of the node beside the server.
	Node  string
	Slots int
	// ConnLimit is the number of connections that the server announces.
	ConnLimit int
	// ServiceTime is the mean time of a request; the times are log-normal.
	ServiceTime time.Duration
	// Sigma is the spread of the log of the service time.
	Sigma float64
	// WarmUp is the announced cold start. During it requests take up to three
	// times as long.
	WarmUp time.Duration
	// ProbeTime is the time a health probe takes.
	ProbeTime time.Duration
	// Record is the file that takes the runs; empty for none.
	Record string
	Seed   uint64
}

// Server is a running stand-in.
type Server struct {
	options     Options
	incarnation uint64
	started     time.Time
	slots       chan struct{}
	running     atomic.Int64
	leaving     atomic.Bool
	faults      faultBox
	record      *recorder
	mu          sync.Mutex
	rng         *rand.Rand
	drained     chan struct{}
	once        sync.Once
}

// New returns a server that has not started to serve.
func New(options Options) (*Server, error) {
	record, err := newRecorder(options.Record)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Server{
		options:     options,
		incarnation: uint64(now.UnixNano()),
		started:     now,
		slots:       make(chan struct{}, options.Slots),
		record:      record,
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

// Serve takes requests and announces itself until ctx ends; then it drains:
// it announces that it is leaving and stops once the node says that it is
// drained, or after limit.
func (s *Server) Serve(ctx context.Context, limit time.Duration) error {
	listener, err := net.Listen("tcp", s.options.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	stopAnnouncing := make(chan struct{})
	addr := s.options.Advertise
	if addr == "" {
		addr = listener.Addr().String()
	}
	go s.announceLoop(addr, stopAnnouncing)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	select {
	case <-s.drained:
	case <-time.After(limit):
	}
	close(stopAnnouncing)
	end, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return server.Shutdown(end)
}

// serveHealth passes whatever the faults say, as the probes of gray servers do.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(s.options.ProbeTime)
	fmt.Fprintln(w, "ok")
}

// answerBody is the body of an answer.
type answerBody struct {
	Token   string `json:"token"`
	Server  string `json:"server"`
	Service string `json:"service"`
	Padding string `json:"padding,omitempty"`
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		s.refuse(w, "the body did not arrive whole")
		return
	}
	// Measurements call the server directly, without an incarnation.
	addressed := r.Header.Get(api.HeaderServerIncarnation)
	if addressed != "" && addressed != strconv.FormatUint(s.incarnation, 10) {
		s.refuse(w, "the request is for another incarnation")
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refuse(w, "no free slot")
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.run(w, r, body)
}

// refuse sheds a request before any of it ran.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(api.HeaderNotRun, "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	faults := s.faults.get()
	run := Run{
		Server:    s.options.ID,
		Service:   s.options.Service,
		Token:     token(r, body),
		Key:       r.Header.Get(api.HeaderServerKey),
		RequestID: r.Header.Get(api.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		StartedAt: time.Now(),
		Outcome:   "started",
	}
	s.record.write(run)
	finished := s.work(r.Context(), faults, deadline(r))
	run.EndedAt = time.Now()
	run.Outcome = "ran"
	failed := s.chance(faults.FailRatio)
	switch {
	case !finished:
		run.Outcome = "abandoned"
	case failed:
		run.Outcome = "failed"
	}
	s.record.write(run)
	if !finished {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, run, faults, failed)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, run Run, faults Faults, failed bool) {
	if s.chance(faults.DropRatio) {
		panic(http.ErrAbortHandler)
	}
	id := run.RequestID
	if s.chance(faults.WrongRatio) {
		id = "another-" + id
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(answerBody{
		Token:   run.Token,
		Server:  s.options.ID,
		Service: s.options.Service,
		Padding: strings.Repeat("x", padding(r)),
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if s.chance(faults.CutRatio) {
		w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(data)
}

// work takes the service time and reports whether it came to its end. Work on
// a GET ends when the caller cancels it; other work goes on.
func (s *Server) work(ctx context.Context, faults Faults, limit time.Duration) bool {
	if faults.Stall {
		select {
		case <-ctx.Done():
		case <-time.After(limit):
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

func (s *Server) serviceTime(faults Faults) time.Duration {
	s.mu.Lock()
	normal := s.rng.NormFloat64()
	s.mu.Unlock()
	sigma := s.options.Sigma
	factor := math.Exp(normal*sigma - sigma*sigma/2)
	if faults.SlowFactor > 0 && (faults.SlowRatio == 0 || s.chance(faults.SlowRatio)) {
		factor *= faults.SlowFactor
	}
	if cold := s.options.WarmUp - time.Since(s.started); cold > 0 {
		factor *= 1 + 2*cold.Seconds()/s.options.WarmUp.Seconds()
	}
	return time.Duration(factor * float64(s.options.ServiceTime))
}

func (s *Server) chance(ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < ratio
}

// token returns the caller's token, from the query or from a JSON body.
func token(r *http.Request, body []byte) string {
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

// padding returns the number of extra bytes that the caller asks for.
func padding(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("padding"))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxBody)
}

// deadline returns the time left to the caller.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(api.HeaderDeadline), 10, 64)
	if err != nil || ms < 1 {
		return 30 * time.Second
	}
	return time.Duration(ms) * time.Millisecond
}
