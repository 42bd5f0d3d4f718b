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
	// maxConcurrent bounds the requests of one connection that run at a time.
	// Further requests wait unread.
	maxConcurrent = 32
	// codeNotProven answers a method that came before the proof of the secret.
	codeNotProven = -32001
	// codeFailed answers a handler's error.
	codeFailed = -32000
)

// HandlerFunc answers one call. Its error text is sent to the caller.
type HandlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// inbound is one accepted connection.
type inbound struct {
	service *Service
	stream  *stream
	slots   chan struct{}

	mu     sync.Mutex
	hello  *helloParams
	nonce  string
	peerID string
}

// Handle registers the handler of a method. It panics if the method is taken.
// All methods are registered before Run.
func (s *Service) Handle(method string, handler HandlerFunc) {
	if _, taken := s.handlers[method]; taken {
		panic("control method registered twice: " + method)
	}
	s.handlers[method] = handler
}

// accept serves the listener until ctx ends.
func (s *Service) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if !pause(ctx, acceptRetryPause) {
				return nil
			}
			continue
		}
		s.admit(ctx, conn)
	}
}

func (s *Service) admit(ctx context.Context, conn net.Conn) {
	if s.inboundCount.Add(1) > int64(s.limits.Connections) {
		s.inboundCount.Add(-1)
		conn.Close()
		return
	}
	in := &inbound{service: s, stream: newStream(conn, &s.Traffic, s.limits), slots: make(chan struct{}, maxConcurrent)}
	rpc := jsonrpc2.NewConn(ctx, in.stream, in, jsonrpc2.SetLogger(discardLogger{}))
	go func() {
		<-rpc.DisconnectNotify()
		s.inboundCount.Add(-1)
	}()
}

// Handle implements jsonrpc2.Handler. It runs on the connection's reader.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch {
	case request.Method == methodHello:
		in.reply(ctx, conn, request)(in.answerHello(request))
	case request.Method == methodProve:
		in.reply(ctx, conn, request)(in.answerProve(request))
	case !in.stream.proven.Load():
		in.reply(ctx, conn, request)(nil, &jsonrpc2.Error{Code: codeNotProven, Message: "the secret has not been proved"})
		conn.Close()
	default:
		in.dispatch(ctx, conn, request)
	}
}

// dispatch runs the handler on its own goroutine, so that a slow method does
// not delay probes on the same connection.
func (in *inbound) dispatch(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	handler, ok := in.service.handlers[request.Method]
	if !ok {
		in.reply(ctx, conn, request)(nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
		return
	}
	select {
	case in.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	in.service.heardFrom(in.peer())
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	go func() {
		defer func() { <-in.slots }()
		in.reply(ctx, conn, request)(handler(ctx, params))
	}()
}

func (in *inbound) reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) func(any, error) {
	return func(result any, err error) {
		if request.Notif {
			return
		}
		if err == nil {
			// A failed reply breaks the connection, which the caller notices.
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

func (in *inbound) answerHello(request *jsonrpc2.Request) (any, error) {
	var hello helloParams
	if err := decodeParams(request, &hello); err != nil {
		return nil, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.hello != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "second hello on a connection"}
	}
	in.hello, in.nonce = &hello, newNonce()
	id := in.service.id
	return helloResult{
		ID:    id,
		Nonce: in.nonce,
		Proof: proof(in.service.secret, "acceptor", hello.From, id, hello.Nonce, in.nonce),
	}, nil
}

func (in *inbound) answerProve(request *jsonrpc2.Request) (any, error) {
	var prove proveParams
	if err := decodeParams(request, &prove); err != nil {
		return nil, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.hello == nil {
		return nil, &jsonrpc2.Error{Code: codeNotProven, Message: "proof without hello"}
	}
	want := proof(in.service.secret, "dialler", in.hello.From, in.service.id, in.hello.Nonce, in.nonce)
	if !proofMatches(want, prove.Proof) {
		return nil, &jsonrpc2.Error{Code: codeNotProven, Message: "wrong proof of the secret"}
	}
	in.peerID = in.hello.From
	in.stream.proven.Store(true)
	return struct{}{}, nil
}

func (in *inbound) peer() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.peerID
}

func decodeParams(request *jsonrpc2.Request, into any) error {
	if request.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params missing"}
	}
	if err := json.Unmarshal(*request.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// discardLogger drops the library's log lines: a broken connection is counted
// where the call fails, and peers can cause them at any rate.
type discardLogger struct{}

func (discardLogger) Printf(string, ...interface{}) {}
