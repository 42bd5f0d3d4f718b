//go:build review2

package cases2

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a target. Open ones can go silent for good: their bytes are dropped from then on,
// and nothing is closed.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	mu     sync.Mutex
	silent bool
	ends   [2]net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) forward(conn net.Conn) {
	other, err := net.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	l := &link{ends: [2]net.Conn{conn, other}}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(other, conn) })
	group.Go(func() { l.copy(conn, other) })
	group.Wait()
	conn.Close()
	other.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// copy forwards the bytes of one direction. The end of a connection that has gone silent is not forwarded.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !silent {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}
			if err != io.EOF {
				to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.ends[0].Close()
		l.ends[1].Close()
	}
}
