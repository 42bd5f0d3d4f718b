//go:build review2

package cases2

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a server began to run.
type arrival struct {
	id, server, service, path string
	at                        time.Time
}

// server is a stand-in of a backend server.
type server struct {
	rig     *rig
	service string
	addr    string
	zone    string
	slots   int
	work    time.Duration
	// spoil, if set, may change the answer to the nth request that the server ran.
	spoil func(n int, header http.Header)

	http *http.Server

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	running  int
	waiting  int
	ran      int
	arrivals []arrival
	free     chan struct{}
	stop     chan struct{}
}

const (
	beatInterval = 1500 * time.Millisecond
	healthPath   = "/health"
	serverQueue  = 24
)

// start listens, and begins to report to the node on the same machine.
func (s *server) start(control string) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.free, s.stop = make(chan struct{}, s.slots), make(chan struct{})
	for range s.slots {
		s.free <- struct{}{}
	}
	s.state, s.born = "ready", time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go func() {
		for {
			s.report(control)
			select {
			case <-time.After(beatInterval):
			case <-s.stop:
				return
			}
		}
	}()
	return nil
}

// stopReports ends the check-ins.
func (s *server) stopReports() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

// end stops the server at once.
func (s *server) end() {
	s.stopReports()
	_ = s.http.Close()
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	s.mu.Lock()
	id, state := s.id, s.state
	header.Set("Server-Load", s.load())
	s.mu.Unlock()
	if r.URL.Path == healthPath {
		header.Set("Instance-Id", id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	requestID := r.Header.Get("Request-Id")
	header.Set("Request-Id", requestID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != id {
		header.Set("Instance-Id", id)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.takeSlot(r) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.running++
	s.ran++
	n := s.ran
	s.arrivals = append(s.arrivals, arrival{id: requestID, server: id, service: s.service, path: r.URL.Path, at: time.Now()})
	s.mu.Unlock()
	s.rig.note("server %s (%s) runs %s %s for %s", id, s.service, requestID, r.URL.Path, r.Header.Get("Caller-Service"))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running--
	header.Set("Server-Load", s.load())
	if s.state != "ready" {
		header.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	s.free <- struct{}{}
	body := []byte("answer of " + id + " to " + requestID)
	header.Set("Response-Signature", signature(id, requestID))
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", fmt.Sprint(len(body)))
	if s.spoil != nil {
		s.spoil(n, header)
	}
	_, _ = w.Write(body)
}

// signature is what a server signs its answer with.
func signature(server, request string) string { return "sig." + server + "." + request }

// takeSlot waits for a slot; false if the queue is full or the caller has left.
func (s *server) takeSlot(r *http.Request) bool {
	s.mu.Lock()
	full := s.waiting >= serverQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case <-s.free:
		return true
	case <-r.Context().Done():
		return false
	}
}

// checkIn returns the next check-in.
func (s *server) checkIn() string {
	s.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_s":0,"sequence":%d,"born":%d}`,
		s.service, s.addr, s.zone, s.slots, s.state, s.sequence, s.born)
}

// report sends a check-in. It returns whether it was acknowledged.
func (s *server) report(control string) bool {
	s.mu.Lock()
	body := s.checkIn()
	id, state := s.id, s.state
	s.mu.Unlock()
	acked := postCall(control, "instances.heartbeat", id, body)
	if state != "ready" {
		s.rig.note("server %s says %s: acknowledged=%v", id, state, acked)
	}
	return acked
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// postCall makes a call to a node's control address, and reports whether it was acknowledged within a second.
func postCall(control, call, of, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s/tarragonford/rpc?call=%s&of=%s", control, call, of), "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}
