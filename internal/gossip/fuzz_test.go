package gossip

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against a message from a peer that crashes the node, or to which the response
// cannot be encoded.
func FuzzMessages(f *testing.F) {
	f.Add(0, []byte(`{"from":"p","hash":1,"cfg":1,"quiet":1,"heads":[{"n":"p","i":1,"s":1,"b":1}],"buckets":[1,2],"want":["n"]}`))
	f.Add(1, []byte(`{"from":"p","records":[{"r":{"id":"p","v":{"i":1,"s":1},"servers":[]},"b":1},{"r":null}]}`))
	f.Add(2, []byte(`{"from":"p"}`))
	f.Fuzz(func(t *testing.T, method int, raw []byte) {
		s, err := New(Options{Self: fleet.NodeRecord{ID: "n", ControlAddr: "127.0.0.1:1"}, Secret: "s", Listener: noListener{}})
		if err != nil {
			t.Fatal(err)
		}
		methods := []string{methodExchange, methodPush, methodProbe}
		result, err := s.handlers[methods[uint(method)%3]](context.Background(), json.RawMessage(raw))
		if err == nil {
			if _, err := json.Marshal(result); err != nil {
				t.Fatalf("the response cannot be encoded: %v", err)
			}
		}
	})
}

// noListener is a listener for a service that is not started.
type noListener struct{ net.Listener }
