package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// dialTimeout bounds connecting and the handshake.
	dialTimeout = 2 * time.Second
	// idleOutbound closes an outgoing connection that carried no call for this
	// long. It is below Limits.IdleTime, so that the caller closes first.
	idleOutbound = 90 * time.Second
	// halfOpenAfter is the silence of a connection after which an unanswered call
	// replaces it. With a shorter time, nodes that are merely slow make each
	// other reconnect, which makes them slower: 250 nodes on a busy machine did
	// not recover from this.
	halfOpenAfter = 3 * time.Second
)

// Errors of calls. An error answered by the peer's handler is a *jsonrpc2.Error.
var (
	// ErrUnknownNode says that no control address of the node is known.
	ErrUnknownNode = errors.New("no control address of the node is known")
	// ErrWrongNode says that another node answers at the address.
	ErrWrongNode = errors.New("another node answers at the control address")
	// ErrWrongSecret says that the peer did not prove knowledge of the secret.
	ErrWrongSecret = errors.New("the peer did not prove knowledge of the secret")
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// outbound is a kept connection to one address. Calls go only from the dialling
// side to the accepting side, so that each node judges its own path.
type outbound struct {
	rpc      *jsonrpc2.Conn
	stream   *stream
	peerID   string
	lastUsed time.Time
}

// pool keeps one connection for each address.
type pool struct {
	service *Service
	dial    DialFunc

	mu      sync.Mutex
	entries map[string]*outbound
	dialing map[string]chan struct{}
}

func newPool(service *Service, dial DialFunc) *pool {
	return &pool{service: service, dial: dial, entries: map[string]*outbound{}, dialing: map[string]chan struct{}{}}
}

// Call calls a method of a node and decodes its answer into result. ctx should
// have a deadline. An error says nothing about whether the method ran.
func (s *Service) Call(ctx context.Context, nodeID, method string, params, result any) error {
	addr, ok := s.store.addr(nodeID)
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownNode, nodeID)
	}
	_, err := s.callAddr(ctx, addr, nodeID, method, params, result)
	return err
}

// CallAddr calls a method of whichever node answers at a control address, and
// returns the node's ID.
func (s *Service) CallAddr(ctx context.Context, addr, method string, params, result any) (string, error) {
	return s.callAddr(ctx, addr, "", method, params, result)
}

func (s *Service) callAddr(ctx context.Context, addr, nodeID, method string, params, result any) (string, error) {
	out, err := s.pool.get(ctx, addr)
	if err != nil {
		return "", err
	}
	if nodeID != "" && out.peerID != nodeID {
		s.pool.drop(addr, out)
		return out.peerID, fmt.Errorf("%w: want %s, got %s", ErrWrongNode, nodeID, out.peerID)
	}
	err = out.rpc.Call(ctx, method, params, result)
	if err != nil && !isAnswer(err) && out.stream.silentFor() >= halfOpenAfter {
		// The connection may be half open.
		s.pool.drop(addr, out)
	}
	if err == nil {
		s.heardFrom(out.peerID)
	}
	return out.peerID, err
}

// isAnswer reports whether err was sent by the peer.
func isAnswer(err error) bool {
	var coded *jsonrpc2.Error
	return errors.As(err, &coded)
}

// get returns the kept connection to addr or opens one. Concurrent callers
// wait for the same dial.
func (p *pool) get(ctx context.Context, addr string) (*outbound, error) {
	for {
		p.mu.Lock()
		if out, ok := p.entries[addr]; ok {
			out.lastUsed = time.Now()
			p.mu.Unlock()
			return out, nil
		}
		waiting, busy := p.dialing[addr]
		if !busy {
			p.dialing[addr] = make(chan struct{})
			p.mu.Unlock()
			return p.open(ctx, addr)
		}
		p.mu.Unlock()
		select {
		case <-waiting:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *pool) open(ctx context.Context, addr string) (*outbound, error) {
	out, err := p.connect(ctx, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing[addr])
	delete(p.dialing, addr)
	if err != nil {
		return nil, err
	}
	p.entries[addr] = out
	go func() {
		<-out.rpc.DisconnectNotify()
		p.drop(addr, out)
	}()
	return out, nil
}

func (p *pool) connect(ctx context.Context, addr string) (*outbound, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stream := newStream(conn, &p.service.Traffic, p.service.limits)
	// The dialler bounds the handshake by its context. A deadline of the stream
	// would stay armed on the read that is pending when the handshake ends.
	stream.proven.Store(true)
	rpc := jsonrpc2.NewConn(p.service.lifetime, stream, refuseCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	out := &outbound{rpc: rpc, stream: stream, lastUsed: time.Now()}
	if err := p.handshake(ctx, out); err != nil {
		rpc.Close()
		return nil, err
	}
	return out, nil
}

func (p *pool) handshake(ctx context.Context, out *outbound) error {
	self, secret := p.service.id, p.service.secret
	hello := helloParams{From: self, Nonce: newNonce()}
	var answer helloResult
	if err := out.rpc.Call(ctx, methodHello, hello, &answer); err != nil {
		return err
	}
	if !proofMatches(proof(secret, "acceptor", self, answer.ID, hello.Nonce, answer.Nonce), answer.Proof) {
		return ErrWrongSecret
	}
	own := proof(secret, "dialler", self, answer.ID, hello.Nonce, answer.Nonce)
	if err := out.rpc.Call(ctx, methodProve, proveParams{Proof: own}, nil); err != nil {
		return err
	}
	out.peerID = answer.ID
	return nil
}

func (p *pool) drop(addr string, out *outbound) {
	p.mu.Lock()
	if p.entries[addr] == out {
		delete(p.entries, addr)
	}
	p.mu.Unlock()
	out.rpc.Close()
}

// closeIdle closes connections that carried no call lately.
func (p *pool) closeIdle(now time.Time) {
	idle := map[string]*outbound{}
	p.mu.Lock()
	for addr, out := range p.entries {
		if now.Sub(out.lastUsed) > idleOutbound {
			idle[addr] = out
		}
	}
	p.mu.Unlock()
	for addr, out := range idle {
		p.drop(addr, out)
	}
}

// refuseCalls answers calls that come against the direction of a connection.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { conn.Close() }
