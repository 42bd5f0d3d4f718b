//go:build review3

package cases3

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beatInterval is the time between two check-ins of a server.
const beatInterval = 1500 * time.Millisecond

// server is a stand-in of a backend server. It behaves as the pages tell of a sound one: it rejects what names another
// server, says what it has not executed, and drops a request when its connection closes.
type server struct {
	r       *run
	node    *node
	service string
	slots   int
	work    time.Duration

	mu       sync.Mutex
	addr     string
	http     *http.Server
	id       string
	born     int64
	sequence int
	running  int
	// silent is set while the server sends no check-ins, leaving once it has deregistered.
	silent, leaving bool
	runs            []serverRun
}

// serverRun is a request that a server began to work on.
type serverRun struct {
	request, server string
	born            int64
	at              time.Time
}

// start begins a lifetime of the server; an empty address means any free port.
func (s *server) start(id, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr, s.id, s.born, s.sequence = listener.Addr().String(), id, time.Now().UnixMilli(), 0
	s.silent, s.leaving = false, false
	s.http = &http.Server{Handler: s.handler(id, s.born)}
	go s.http.Serve(listener)
	s.r.note("server %s of %s starts, born %d", id, s.service, s.born)
	return nil
}

// exit ends the lifetime; what still runs is lost.
func (s *server) exit() {
	s.mu.Lock()
	server, id, running := s.http, s.id, s.running
	s.silent = true
	s.mu.Unlock()
	s.r.note("server %s exits with %d running", id, running)
	server.Close()
}

func (s *server) handler(id string, born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		h := w.Header()
		h.Set("Request-Id", request)
		h.Set("Keep-Alive", "timeout=10")
		leaving := s.isLeaving()
		if leaving {
			h.Set("Server-Leaving", "1")
		}
		if r.URL.Path == healthPath {
			h.Set("Instance-Id", id)
			h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.inUse(), s.slots))
			if leaving {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if target := r.Header.Get("Target-Instance"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if request == "" {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		// The server works on a request only once it has its body.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.begin(request, id, born) {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer s.end()
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
			s.r.note("run dropped %s at %s", request, id)
			return
		}
		if s.isLeaving() {
			h.Set("Server-Leaving", "1")
		}
		h.Set("Response-Signature", "sig."+request)
		h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.inUse(), s.slots))
		fmt.Fprintf(w, "answer to %s", request)
	})
}

func (s *server) begin(request, id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	now := time.Now()
	s.runs = append(s.runs, serverRun{request, id, born, now})
	go s.r.noteAt(now, "run %s at %s born %d", request, id, born)
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *server) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// allRuns returns the requests that the server has begun to work on.
func (s *server) allRuns() []serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]serverRun(nil), s.runs...)
}

// checkIn is a check-in as the server writes it at a moment.
type checkIn struct {
	id, state, body string
}

// nextCheckIn returns the next check-in of the current lifetime.
func (s *server) nextCheckIn(state string) checkIn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return checkIn{id: s.id, state: state, body: fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_s":0,"sequence":%d,"born":%d}`,
		s.service, s.addr, s.node.zone, s.slots, state, s.sequence, s.born)}
}

// deliver sends a check-in to the node beside the server and returns the status; 0 without an answer within a second.
func (s *server) deliver(c checkIn) int {
	status := s.node.rpc("instances.heartbeat", c.id, c.body)
	s.r.note("check-in of %s: %s -> %d", c.id, c.body, status)
	return status
}

// deregister tells the node that the server leaves and returns the status and the time of the answer. The server sends no
// further check-ins.
func (s *server) deregister() (int, time.Time) {
	s.mu.Lock()
	s.silent, s.leaving = true, true
	id, body := s.id, fmt.Sprintf(`{"born":%d}`, s.born)
	s.mu.Unlock()
	status := s.node.rpc("instances.deregister", id, body)
	at := time.Now()
	s.r.note("deregistration of %s: %s -> %d", id, body, status)
	return status, at
}

// beat sends check-ins until done is closed.
func (s *server) beat(done <-chan struct{}) {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			s.deliver(s.nextCheckIn("ready"))
		}
		select {
		case <-done:
			return
		case <-time.After(beatInterval):
		}
	}
}

// rpc makes a call at the control address of the node.
func (n *node) rpc(call, id, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+n.addr(portControl)+"/tarragonford/rpc?call="+call+"&of="+id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func itoa(n int) string { return strconv.Itoa(n) }
