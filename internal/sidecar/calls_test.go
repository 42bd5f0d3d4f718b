package sidecar

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
)

// callPair connects two nodes; lose reports whether a datagram is lost.
func callPair(lose func(toServer bool) bool) (client, server *calls) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	client = newCalls(Member{ID: "client"}, zap.NewNop(), func(data []byte, _ netip.AddrPort) error {
		if !lose(true) {
			server.receive(time.Now(), data, addr)
		}
		return nil
	})
	server = newCalls(Member{ID: "server"}, zap.NewNop(), func(data []byte, _ netip.AddrPort) error {
		if !lose(false) {
			client.receive(time.Now(), data, addr)
		}
		return nil
	})
	return client, server
}

// Guards against a call that takes effect twice because its reply was lost.
func TestACallWhoseReplyWasLostIsProcessedOnce(t *testing.T) {
	g := NewWithT(t)
	replies := 0
	client, server := callPair(func(toServer bool) bool {
		if !toServer {
			replies++
		}
		return !toServer && replies == 1
	})
	processed := 0
	server.handlers[1] = func(_ time.Time, from beacon.NodeHash, payload []byte) []byte {
		processed++
		return append([]byte("re:"), payload...)
	}
	answer, err := client.do(context.Background(), 1, netip.AddrPort{}, []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(Equal("re:x"))
	g.Expect(processed).To(Equal(1))
}

// Guards against a call that waits forever for a node that does not answer.
func TestACallWithoutReplyEnds(t *testing.T) {
	g := NewWithT(t)
	client, _ := callPair(func(bool) bool { return true })
	_, err := client.do(context.Background(), 1, netip.AddrPort{}, nil)
	g.Expect(err).To(MatchError(errNoReply))
}

// Guards against replies that pile up in a node that many others call.
func TestRememberedRepliesAreBounded(t *testing.T) {
	g := NewWithT(t)
	_, server := callPair(func(bool) bool { return true })
	server.handlers[1] = func(time.Time, beacon.NodeHash, []byte) []byte { return nil }
	now := time.Now()
	for i := range 3 * maxRememberedReplies {
		server.receive(now, beacon.Call{Kind: 1, Nonce: uint64(i)}.Encode(), netip.AddrPort{})
	}
	g.Expect(len(server.replies)).To(BeNumerically("<=", maxRememberedReplies))
	g.Expect(server.replyOrder).To(HaveLen(len(server.replies)))
	server.receive(now.Add(replyMemory), beacon.Call{Kind: 1, Nonce: 1 << 40}.Encode(), netip.AddrPort{})
	g.Expect(server.replies).To(HaveLen(1))
}

// Datagrams from anywhere must not crash the node.
func FuzzCall(f *testing.F) {
	f.Add(beacon.Call{Kind: 1, Reply: true, Sender: 3, Nonce: 4, Payload: []byte("x")}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		call, ok := beacon.DecodeCall(data)
		if ok && string(call.Encode()) != string(data) {
			t.Fatalf("%x decodes to %+v, which encodes to %x", data, call, call.Encode())
		}
	})
}
