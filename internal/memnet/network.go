package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Errors returned by dial and Write.
var (
	errRefused = errors.New("memnet: connection refused")
	errReset   = errors.New("memnet: connection reset")
)

// backlog is the maximum number of connections that are waiting to be accepted.
const backlog = 128

// direction is an ordered pair of hosts.
type direction struct{ from, to string }

// Network connects hosts by name. All methods are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	delay     func(from, to string) time.Duration
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[direction]bool
	stalled   map[direction]bool
	frozen    map[string]bool
}

// New returns a network in which delay is the one-way latency between two hosts. A nil
// delay means no latency.
func New(delay func(from, to string) time.Duration) *Network {
	if delay == nil {
		delay = func(string, string) time.Duration { return 0 }
	}
	return &Network{
		delay:     delay,
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		cut:       map[direction]bool{},
		stalled:   map[direction]bool{},
		frozen:    map[string]bool{},
	}
}

// Cut blocks or restores the delivery of bytes from one host to another.
func (n *Network) Cut(from, to string, cut bool) {
	n.applyChange(func() { n.cut[direction{from, to}] = cut })
}

// Stall blocks or restores delivery, in both directions, on the connections that dialler
// opened to acceptor. Connections that acceptor opened to dialler are not affected.
func (n *Network) Stall(dialler, acceptor string, stalled bool) {
	n.applyChange(func() { n.stalled[direction{dialler, acceptor}] = stalled })
}

// Partition cuts or restores both directions between two groups of hosts.
func (n *Network) Partition(left, right []string, cut bool) {
	n.applyChange(func() {
		for _, a := range left {
			for _, b := range right {
				n.cut[direction{a, b}] = cut
				n.cut[direction{b, a}] = cut
			}
		}
	})
}

// Freeze blocks or restores all delivery from and to a host, as if its process were
// paused.
func (n *Network) Freeze(host string, frozen bool) {
	n.applyChange(func() { n.frozen[host] = frozen })
}

// Reset closes every connection of a host and its listener.
func (n *Network) Reset(host string) {
	n.closeConns(func(c *conn) bool { return c.local == host || c.remote == host })
	n.mu.Lock()
	l := n.listeners[host]
	n.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

// Break closes every connection between two hosts. Bytes in flight are lost.
func (n *Network) Break(a, b string) {
	n.closeConns(func(c *conn) bool {
		return c.local == a && c.remote == b || c.local == b && c.remote == a
	})
}

func (n *Network) closeConns(matches func(*conn) bool) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if matches(c) {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// applyChange applies a change under the lock and wakes every waiting reader.
func (n *Network) applyChange(apply func()) {
	n.mu.Lock()
	apply()
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.in.wake()
	}
}

// blocked reports whether delivery from one host to another is blocked on a connection
// that dialler opened to acceptor.
func (n *Network) blocked(dialler, acceptor, from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}] || n.stalled[direction{dialler, acceptor}] ||
		n.frozen[from] || n.frozen[to]
}

// Listen returns a listener for connections to a host.
func (n *Network) Listen(host string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[host] != nil {
		return nil, errors.New("memnet: host already has a listener: " + host)
	}
	l := &listener{network: n, host: host, incoming: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[host] = l
	return l, nil
}

// Dialer returns a dial function for connections from a host. It ignores its network
// argument.
func (n *Network) Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, host, addr)
	}
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	if n.blocked(from, to, from, to) || n.blocked(from, to, to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	roundTrip := n.delay(from, to) + n.delay(to, from)
	n.mu.Unlock()
	if roundTrip > 0 {
		select {
		case <-time.After(roundTrip):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return nil, errRefused
	}
	dialled, accepted := n.newConnPair(from, to)
	select {
	case l.incoming <- accepted:
		return dialled, nil
	case <-l.closed:
		dialled.Close()
		return nil, errRefused
	case <-ctx.Done():
		dialled.Close()
		return nil, ctx.Err()
	}
}

func (n *Network) newConnPair(from, to string) (dialled, accepted *conn) {
	toAcceptor, toDialler := newPipe(), newPipe()
	toAcceptor.blocked = func() bool { return n.blocked(from, to, from, to) }
	toDialler.blocked = func() bool { return n.blocked(from, to, to, from) }
	toAcceptor.delay, toDialler.delay = n.delay(from, to), n.delay(to, from)
	dialled = &conn{network: n, local: from, remote: to, in: toDialler, out: toAcceptor}
	accepted = &conn{network: n, local: to, remote: from, in: toAcceptor, out: toDialler}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[dialled], n.conns[accepted] = struct{}{}, struct{}{}
	return dialled, accepted
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	host     string
	incoming chan *conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.host] == l {
			delete(l.network.listeners, l.host)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.host) }

// address is a host name. It implements net.Addr.
type address string

// Network implements net.Addr.
func (address) Network() string { return "memnet" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
