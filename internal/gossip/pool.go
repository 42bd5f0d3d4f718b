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
	// dialTimeout bounds connecting including the handshake.
	dialTimeout = 2 * time.Second
	// outboundIdleTimeout is the idle time after which an outgoing connection is closed.
	// It is below Limits.IdleTime, so that the caller closes the connection first.
	outboundIdleTimeout = 90 * time.Second
	// halfOpenTimeout is the time without received messages after which a failed call
	// closes the connection, because it may be half-open. With a shorter timeout, nodes
	// that are merely slow make each other reconnect, which slows them down further:
	// 250 nodes on a busy machine did not recover from this.
	halfOpenTimeout = 3 * time.Second
)

// Errors returned by Call and CallAddr. An error response from the peer is returned as a
// *jsonrpc2.Error.
var (
	// ErrUnknownNode means that the control address of the node is unknown.
	ErrUnknownNode = errors.New("control address of the node is unknown")
	// ErrWrongNode means that another node answers at the address.
	ErrWrongNode = errors.New("another node answers at the control address")
	// ErrWrongSecret means that the peer failed to prove knowledge of the shared secret.
	ErrWrongSecret = errors.New("peer failed to prove knowledge of the shared secret")
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// outbound is a persistent connection to one address. Calls go only from the dialling
// side to the accepting side, so that each node tests its own path to a peer.
type outbound struct {
	rpc      *jsonrpc2.Conn
	stream   *stream
	peerID   string
	lastUsed time.Time
}

// pool holds one outgoing connection per address.
type pool struct {
	service *Service
	dial    DialFunc

	mu          sync.Mutex
	connections map[string]*outbound
	dialing     map[string]chan struct{}
}

func newPool(service *Service, dial DialFunc) *pool {
	return &pool{service: service, dial: dial, connections: map[string]*outbound{}, dialing: map[string]chan struct{}{}}
}

// Call calls a method of a node and decodes the response into result. ctx should have a
// deadline. After an error, the method may or may not have run.
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
	if err != nil && !isPeerError(err) && out.stream.sinceLastRead() >= halfOpenTimeout {
		// The connection may be half-open.
		s.pool.drop(addr, out)
	}
	if err == nil {
		s.recordContact(out.peerID)
	}
	return out.peerID, err
}

// isPeerError reports whether err is an error response from the peer.
func isPeerError(err error) bool {
	var coded *jsonrpc2.Error
	return errors.As(err, &coded)
}

// get returns the open connection to addr, or opens one. Concurrent callers share one
// dial attempt.
func (p *pool) get(ctx context.Context, addr string) (*outbound, error) {
	for {
		p.mu.Lock()
		if out, ok := p.connections[addr]; ok {
			out.lastUsed = time.Now()
			p.mu.Unlock()
			return out, nil
		}
		dialDone, dialing := p.dialing[addr]
		if !dialing {
			p.dialing[addr] = make(chan struct{})
			p.mu.Unlock()
			return p.open(ctx, addr)
		}
		p.mu.Unlock()
		select {
		case <-dialDone:
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
	p.connections[addr] = out
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
	// ctx bounds the handshake on this side. A read deadline of the stream would still
	// apply to the read that is pending when the handshake ends.
	stream.authenticated.Store(true)
	rpc := jsonrpc2.NewConn(p.service.lifetime, stream, rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
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
	var response helloResult
	if err := out.rpc.Call(ctx, methodHello, hello, &response); err != nil {
		return err
	}
	if !proofMatches(proof(secret, "acceptor", self, response.ID, hello.Nonce, response.Nonce), response.Proof) {
		return ErrWrongSecret
	}
	ownProof := proof(secret, "dialler", self, response.ID, hello.Nonce, response.Nonce)
	if err := out.rpc.Call(ctx, methodProve, proveParams{Proof: ownProof}, nil); err != nil {
		return err
	}
	out.peerID = response.ID
	return nil
}

func (p *pool) drop(addr string, out *outbound) {
	p.mu.Lock()
	if p.connections[addr] == out {
		delete(p.connections, addr)
	}
	p.mu.Unlock()
	out.rpc.Close()
}

// closeIdle closes the connections that were idle for outboundIdleTimeout.
func (p *pool) closeIdle(now time.Time) {
	idle := map[string]*outbound{}
	p.mu.Lock()
	for addr, out := range p.connections {
		if now.Sub(out.lastUsed) > outboundIdleTimeout {
			idle[addr] = out
		}
	}
	p.mu.Unlock()
	for addr, out := range idle {
		p.drop(addr, out)
	}
}

// rejectCalls closes a connection on which the accepting side makes a call.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { conn.Close() }
