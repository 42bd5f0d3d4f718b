package httpconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// keepAlive and keepAliveProbes end a connection that has gone silent
	// within about three seconds.
	keepAlive       = time.Second
	keepAliveProbes = 2
	// keepMargin is the time before the peer's own limit at which an idle
	// connection is no longer used.
	keepMargin = time.Second
)

// Options bound the connections of a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// UserTimeout ends a connection whose sent bytes are not acknowledged.
	UserTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the peer names no limit.
	IdleTimeout time.Duration
	// MaxIdlePerAddr bounds the kept connections to one address.
	MaxIdlePerAddr int
	// MaxResponseBody bounds the body of an answer in bytes.
	MaxResponseBody int64
	// IDHeader is the header that names the request in its answer; empty if
	// answers name none.
	IDHeader string
	// OnOpen is called for each new connection; nil for none.
	OnOpen func()
}

// Pool opens and keeps connections. It is safe for concurrent use.
type Pool struct {
	options Options
	mu      sync.Mutex
	idle    map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{options: options, idle: map[string][]*conn{}}
}

// take returns a kept connection that was idle for at most maxIdle, or nil.
func (p *Pool) take(addr string, now time.Time, maxIdle time.Duration) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= maxIdle && c.quiet() {
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

// keep takes back a connection after a whole answer.
func (p *Pool) keep(c *conn, now time.Time, limit time.Duration) {
	if limit <= 0 {
		limit = p.options.IdleTimeout
	} else if limit = limit - keepMargin; limit <= 0 {
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

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
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

// SetUserTimeout ends a connection whose sent bytes are not acknowledged in time.
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
