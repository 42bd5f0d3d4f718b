//go:build review

package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in for a backend server. It serves one request at a time on a connection.
type Server struct {
	ID    string
	Slots int
	State string
	// Silent stops the check-ins.
	Silent bool
	// Handle answers a request after its header has been read; nil answers 200 after Work.
	Handle func(x *Exchange)
	Work   time.Duration

	rig      *Rig
	addr     string
	mu       sync.Mutex
	sequence int
	born     int64
	runs     []Run
	listener net.Listener
	conns    map[*net.TCPConn]bool
	// notices are header lines of all answers.
	notices string
}

// Run is a request that the server began to work on.
type Run struct {
	ID, Method, Target, Caller string
	At                         time.Time
}

// Exchange is one request at a server.
type Exchange struct {
	Server  *Server
	Conn    *net.TCPConn
	Reader  *bufio.Reader
	Request *http.Request
	ID      string
	// KeepOpen is set if the connection carries further requests.
	KeepOpen bool
}

func newServer(r *Rig, id, addr string) (*Server, error) {
	s := &Server{ID: id, Slots: 6, State: "ready", Work: 20 * time.Millisecond, rig: r, addr: addr, born: time.Now().UnixMilli()}
	return s, s.listen()
}

// Runs returns the requests that the server began to work on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetState changes what the server reports.
func (s *Server) SetState(state string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.State, s.Silent = state, silent
}

func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &Exchange{Server: s, Conn: conn, Reader: reader, Request: request, ID: request.Header.Get("Request-Id"), KeepOpen: true}
		if target := request.Header.Get("Target-Instance"); target != "" && target != s.ID {
			io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID, x.ID)
			continue
		}
		s.mu.Lock()
		s.runs = append(s.runs, Run{ID: x.ID, Method: request.Method, Target: request.RequestURI, Caller: request.Header.Get("Caller-Service"), At: time.Now()})
		s.mu.Unlock()
		s.rig.Note("server %s runs %s %s %s", s.ID, x.ID, request.Method, request.RequestURI)
		if s.Handle != nil {
			s.Handle(x)
		} else {
			x.Answer(200, Body(x.ID, 200))
		}
		if !x.KeepOpen {
			return
		}
	}
}

// Answer reads the request's body, works, and sends a complete response.
func (x *Exchange) Answer(status int, body string) {
	if _, err := io.Copy(io.Discard, x.Request.Body); err != nil {
		x.KeepOpen = false
		return
	}
	time.Sleep(x.Server.Work)
	x.Server.mu.Lock()
	notices := x.Server.notices
	x.Server.mu.Unlock()
	if _, err := fmt.Fprintf(x.Conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), x.ID, x.ID, notices, len(body), body); err != nil {
		x.KeepOpen = false
	}
}

// Body returns the body of the response to a request, which names the request in every line.
func Body(id string, lines int) string {
	var b []byte
	for i := range lines {
		b = fmt.Appendf(b, "answer to %s line %d\n", id, i)
	}
	return string(b)
}

// Crash ends the server: its port is closed and its connections are reset.
func (s *Server) Crash() {
	s.rig.Note("server %s crashes", s.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Silent = true
	s.listener.Close()
	for conn := range s.conns {
		_ = conn.SetLinger(0)
		conn.Close()
	}
}

// Restart starts a server that crashed again under the ID that it had, with nothing of before. ahead
// is how far the clock of its machine is ahead.
func (s *Server) Restart(ahead time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.sequence, s.Silent = time.Now().Add(ahead).UnixMilli(), 0, false
	s.rig.Note("server %s starts, born %d", s.ID, s.born)
	if err := s.listen(); err != nil {
		s.rig.Note("server %s: %v", s.ID, err)
	}
}

// listen accepts connections until the listener is closed.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.listener, s.conns = listener, map[*net.TCPConn]bool{}
	conns := s.conns
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			conns[conn.(*net.TCPConn)] = true
			s.mu.Unlock()
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// Leaving makes the server say in all its answers that it leaves.
func (s *Server) Leaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = "Server-Leaving: 1\r\n"
}
