package httpconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// keepAliveInterval and keepAliveCount close a connection to a silent peer within about three
	// seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is how long before the peer's own limit an idle connection is no longer reused.
	idleMargin = time.Second
)

// Options configure the connections of a Pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// UserTimeout closes a connection whose sent bytes are not acknowledged within this time.
	UserTimeout time.Duration
	// IdleTimeout limits how long a connection is kept idle; a shorter limit of the peer takes
	// precedence.
	IdleTimeout time.Duration
	// MaxIdlePerAddr limits the idle connections to one address.
	MaxIdlePerAddr int
	// MaxResponseBody limits the body of a response in bytes.
	MaxResponseBody int64
	// IDHeader is the response header that repeats the ID of the request; empty if responses have
	// none.
	IDHeader string
	// OnOpen is called for each new connection; nil for none.
	OnOpen func()
}

// Pool opens connections and keeps idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{options: options, idle: map[string][]*conn{}}
}

// get returns a connection that was idle for at most maxIdle, or nil.
func (p *Pool) get(addr string, now time.Time, maxIdle time.Duration) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= maxIdle && c.reusable() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn, now time.Time, limit time.Duration) {
	if limit <= 0 {
		limit = p.options.IdleTimeout
	} else if limit = limit - idleMargin; limit <= 0 {
		c.Close()
		return
	}
	c.idleSince = now
	c.expires = now.Add(min(limit, p.options.IdleTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.options.MaxIdlePerAddr {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Prune closes connections that were idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         p.setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.options.OnOpen != nil {
		p.options.OnOpen()
	}
	return newConn(raw, addr), nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	if p.options.UserTimeout <= 0 {
		return nil
	}
	return SetUserTimeout(raw, p.options.UserTimeout)
}

// SetUserTimeout makes the kernel close a connection whose sent bytes are not acknowledged in time.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
