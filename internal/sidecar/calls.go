package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
)

const (
	// callRepeatInterval is the time after which a call without a reply is sent again: a few times
	// the round trip between data centres. callSends bounds how often it is sent.
	callRepeatInterval = 40 * time.Millisecond
	callSends          = 3
	// maxRememberedReplies bounds the replies that are kept for repeated calls, and
	// replyMemory the time for which they are kept.
	maxRememberedReplies = 1024
	replyMemory          = time.Second
)

// errNoReply reports a call that the other node did not answer in time. It may have processed it.
var errNoReply = errors.New("the node did not reply to the call")

// callHandler processes a call and returns the payload of the reply. It runs on the goroutine that
// receives datagrams, so it must not block, and must not keep the payload.
type callHandler func(now time.Time, from beacon.NodeHash, payload []byte) []byte

// calls sends small requests to other nodes in datagrams, and answers theirs. A call that arrives
// twice is processed once while its reply is remembered.
type calls struct {
	self beacon.NodeHash
	log  *zap.Logger
	// send sends a datagram.
	send func(data []byte, to netip.AddrPort) error
	// handlers must not change after the first datagram.
	handlers map[beacon.CallKind]callHandler

	mu      sync.Mutex
	pending map[uint64]chan []byte
	replies map[callID]rememberedReply
	// replyOrder lists the remembered replies, oldest first.
	replyOrder []callID
}

type callID struct {
	sender beacon.NodeHash
	nonce  uint64
}

type rememberedReply struct {
	at   time.Time
	data []byte
}

func newCalls(self Member, log *zap.Logger, send func(data []byte, to netip.AddrPort) error) *calls {
	return &calls{
		self: beacon.HashNode(self.ID), log: log, send: send,
		handlers: map[beacon.CallKind]callHandler{},
		pending:  map[uint64]chan []byte{}, replies: map[callID]rememberedReply{},
	}
}

// do sends a call until its reply arrives, ctx ends, or it was sent callSends times.
func (c *calls) do(ctx context.Context, kind beacon.CallKind, to netip.AddrPort, payload []byte) ([]byte, error) {
	call := beacon.Call{Kind: kind, Sender: c.self, Nonce: rand.Uint64(), Payload: payload}
	reply := make(chan []byte, 1)
	c.mu.Lock()
	c.pending[call.Nonce] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, call.Nonce)
		c.mu.Unlock()
	}()
	data := call.Encode()
	for range callSends {
		if err := c.send(data, to); err != nil {
			c.log.Debug("failed to send call", zap.Stringer("to", to), zap.Error(err))
		}
		select {
		case answer := <-reply:
			return answer, nil
		case <-time.After(callRepeatInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errNoReply
}

// receive processes a datagram; it returns false if the datagram is not a call.
func (c *calls) receive(now time.Time, data []byte, from netip.AddrPort) bool {
	call, ok := beacon.DecodeCall(data)
	if !ok {
		return false
	}
	if call.Reply {
		c.mu.Lock()
		waiting := c.pending[call.Nonce]
		c.mu.Unlock()
		if waiting != nil {
			select {
			case waiting <- append([]byte(nil), call.Payload...):
			default:
				// A repeated reply.
			}
		}
		return true
	}
	if answer, ok := c.answer(now, call); ok {
		if err := c.send(answer, from); err != nil {
			c.log.Debug("failed to send reply", zap.Stringer("to", from), zap.Error(err))
		}
	}
	return true
}

// answer returns the encoded reply to a call, or false if its kind has no handler.
func (c *calls) answer(now time.Time, call beacon.Call) ([]byte, bool) {
	handler, ok := c.handlers[call.Kind]
	if !ok {
		return nil, false
	}
	id := callID{call.Sender, call.Nonce}
	c.mu.Lock()
	remembered, again := c.replies[id]
	c.mu.Unlock()
	if again {
		return remembered.data, true
	}
	reply := beacon.Call{Kind: call.Kind, Reply: true, Sender: c.self, Nonce: call.Nonce, Payload: handler(now, call.Sender, call.Payload)}
	data := reply.Encode()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetReplies(now)
	c.replies[id] = rememberedReply{at: now, data: data}
	c.replyOrder = append(c.replyOrder, id)
	return data, true
}

// forgetReplies drops the replies that are old or too many.
func (c *calls) forgetReplies(now time.Time) {
	drop := 0
	for drop < len(c.replyOrder) {
		id := c.replyOrder[drop]
		if len(c.replyOrder)-drop < maxRememberedReplies && now.Sub(c.replies[id].at) < replyMemory {
			break
		}
		delete(c.replies, id)
		drop++
	}
	c.replyOrder = c.replyOrder[drop:]
}
