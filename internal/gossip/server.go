package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxConcurrentRequests bounds the requests of one connection that run concurrently.
	// Further requests are not read until one completes.
	maxConcurrentRequests = 32
	// codeUnauthenticated is the error code for a request on a connection that has not
	// completed the handshake, and for a failed handshake.
	codeUnauthenticated = -32001
	// codeFailed is the error code for an error returned by a handler.
	codeFailed = -32000
)

// HandlerFunc handles one call. The text of the error it returns is sent to the caller.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// inbound is one accepted connection.
type inbound struct {
	service   *Service
	stream    *stream
	semaphore chan struct{}

	mu     sync.Mutex
	hello  *helloParams
	nonce  string
	peerID string
}

// Handle registers the handler of a method. It panics if the method already has one.
// Handle must not be called after Run.
func (s *Service) Handle(method string, handler HandlerFunc) {
	if _, taken := s.handlers[method]; taken {
		panic("control method registered twice: " + method)
	}
	s.handlers[method] = handler
}

// accept accepts connections until ctx is cancelled.
func (s *Service) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if !sleepContext(ctx, acceptRetryDelay) {
				return nil
			}
			continue
		}
		s.serveConn(ctx, conn)
	}
}

func (s *Service) serveConn(ctx context.Context, conn net.Conn) {
	if s.inboundCount.Add(1) > int64(s.limits.Connections) {
		s.inboundCount.Add(-1)
		conn.Close()
		return
	}
	in := &inbound{service: s, stream: newStream(conn, &s.Traffic, s.limits), semaphore: make(chan struct{}, maxConcurrentRequests)}
	rpc := jsonrpc2.NewConn(ctx, in.stream, in, jsonrpc2.SetLogger(discardLogger{}))
	go func() {
		<-rpc.DisconnectNotify()
		s.inboundCount.Add(-1)
	}()
}

// Handle implements jsonrpc2.Handler. It runs on the goroutine that reads the connection.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch {
	case request.Method == methodHello:
		in.reply(ctx, conn, request)(in.handleHello(request))
	case request.Method == methodProve:
		in.reply(ctx, conn, request)(in.handleProve(request))
	case !in.stream.authenticated.Load():
		in.reply(ctx, conn, request)(nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "not authenticated"})
		conn.Close()
	default:
		in.dispatch(ctx, conn, request)
	}
}

// dispatch runs the handler in a new goroutine, so that a slow method does not delay
// probes on the same connection.
func (in *inbound) dispatch(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler, ok := in.service.handlers[request.Method]
	if !ok {
		in.reply(ctx, conn, request)(nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
		return
	}
	select {
	case in.semaphore <- struct{}{}:
	case <-ctx.Done():
		return
	}
	in.service.recordContact(in.peer())
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	go func() {
		defer func() { <-in.semaphore }()
		in.reply(ctx, conn, request)(handler(ctx, params))
	}()
}

func (in *inbound) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) func(any, error) {
	return func(result any, err error) {
		if request.Notif {
			return
		}
		if err == nil {
			// A failed reply closes the connection, so the caller's call fails.
			_ = conn.Reply(ctx, request.ID, result)
			return
		}
		var coded *jsonrpc2.Error
		if !errors.As(err, &coded) {
			coded = &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
		}
		_ = conn.ReplyWithError(ctx, request.ID, coded)
	}
}

func (in *inbound) handleHello(request *jsonrpc2.Request) (any, error) {
	var hello helloParams
	if err := decodeParams(request, &hello); err != nil {
		return nil, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.hello != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "duplicate auth.hello on a connection"}
	}
	in.hello, in.nonce = &hello, newNonce()
	id := in.service.id
	return helloResult{
		ID:    id,
		Nonce: in.nonce,
		Proof: proof(in.service.secret, "acceptor", hello.From, id, hello.Nonce, in.nonce),
	}, nil
}

func (in *inbound) handleProve(request *jsonrpc2.Request) (any, error) {
	var prove proveParams
	if err := decodeParams(request, &prove); err != nil {
		return nil, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.hello == nil {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "auth.prove without auth.hello"}
	}
	want := proof(in.service.secret, "dialler", in.hello.From, in.service.id, in.hello.Nonce, in.nonce)
	if !proofMatches(want, prove.Proof) {
		return nil, &jsonrpc2.Error{Code: codeUnauthenticated, Message: "invalid proof of the shared secret"}
	}
	in.peerID = in.hello.From
	in.stream.authenticated.Store(true)
	return struct{}{}, nil
}

func (in *inbound) peer() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.peerID
}

func decodeParams(request *jsonrpc2.Request, into any) error {
	if request.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "missing params"}
	}
	if err := json.Unmarshal(*request.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// discardLogger discards the log output of the library. The failure of a connection is
// handled where the call fails, and peers could cause log lines at any rate.
type discardLogger struct{}

func (discardLogger) Printf(string, ...interface{}) {}
