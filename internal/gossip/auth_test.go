package gossip

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

func startService(ctx context.Context, t *testing.T, id string) (*Service, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	s, err := New(Options{Self: fleet.NodeRecord{ID: id, ControlAddr: addr}, Secret: "right", Listener: listener})
	if err != nil {
		t.Fatal(err)
	}
	go s.Run(ctx)
	return s, addr
}

// accepting answers every call, with a made-up proof to a hello.
type accepting struct{}

func (accepting) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	_ = conn.Reply(ctx, request.ID, helloResult{ID: "impostor", Proof: "00"})
}

// Guards against peers that do not know the secret, over real TCP: a caller
// that skips the handshake, one with a wrong proof, and an acceptor that takes
// any proof. Also against a message beyond the limit.
func TestSecret(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	good, _ := startService(ctx, t, "good")
	_, addr := startService(ctx, t, "other")
	var result probeResult
	if id, err := good.CallAddr(ctx, addr, methodProbe, probeParams{}, &result); err != nil || id != "other" {
		t.Fatalf("probe with the right secret: %q, %v", id, err)
	}
	for name, before := range map[string]func(*jsonrpc2.Conn) error{
		"no handshake": func(*jsonrpc2.Conn) error { return nil },
		"wrong proof": func(rpc *jsonrpc2.Conn) error {
			var answer helloResult
			if err := rpc.Call(ctx, methodHello, helloParams{From: "x", Nonce: newNonce()}, &answer); err != nil {
				return err
			}
			_ = rpc.Call(ctx, methodProve, proveParams{Proof: answer.Proof}, nil)
			return nil
		},
	} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		rpc := jsonrpc2.NewConn(ctx, newStream(conn, &Traffic{}, Limits{}.orDefaults()), refuseCalls{}, jsonrpc2.SetLogger(discardLogger{}))
		if err := before(rpc); err != nil {
			t.Fatal(err)
		}
		if err := rpc.Call(ctx, methodProbe, probeParams{}, &result); err == nil {
			t.Errorf("%s: a caller without the secret was served", name)
		}
		rpc.Close()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			jsonrpc2.NewConn(ctx, newStream(conn, &Traffic{}, Limits{}.orDefaults()), accepting{}, jsonrpc2.SetLogger(discardLogger{}))
		}
	}()
	if _, err := good.CallAddr(ctx, listener.Addr().String(), methodProbe, probeParams{}, &result); err == nil {
		t.Error("an acceptor without the secret was believed")
	}
	big := json.RawMessage(`"` + string(make([]byte, maxUnprovenBytes)) + `"`)
	conn, _ := net.Dial("tcp", addr)
	if _, err := conn.Write(append([]byte{0, 0, 0xff, 0xff}, big...)); err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("a message beyond the limit did not close the connection: %v", err)
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Guards against a node that counts as down on the word of one node, of nodes
// that are down or unreachable themselves, or although it was just heard; and
// against one that never does because few are left to list it.
func TestDownRule(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		own, previous, heard []string
		lists                map[string][]string
		down                 bool
	}{
		"nobody lists it":        {lists: map[string][]string{"a": nil, "b": nil, "p": nil}},
		"one lists it":           {lists: map[string][]string{"a": {"p"}, "b": nil, "p": nil}},
		"two list it":            {lists: map[string][]string{"a": {"p"}, "b": {"p"}, "p": nil}, down: true},
		"self and one":           {own: []string{"p"}, lists: map[string][]string{"a": {"p"}, "b": nil, "p": nil}, down: true},
		"self alone, others not": {own: []string{"p"}, lists: map[string][]string{"a": nil, "p": nil}},
		"self, nobody else left": {own: []string{"p"}, lists: map[string][]string{"p": nil}, down: true},
		"one lister is down":     {previous: []string{"b"}, lists: map[string][]string{"a": {"p"}, "b": {"p"}, "c": nil, "p": nil}},
		"a lister not reached":   {own: []string{"b"}, lists: map[string][]string{"a": {"p"}, "b": {"p"}, "c": nil, "p": nil}},
		"just heard":             {heard: []string{"p"}, lists: map[string][]string{"a": {"p"}, "b": {"p"}, "p": nil}},
	} {
		s := &Service{id: "self", paths: newPaths()}
		records := []*fleet.NodeRecord{{ID: "self"}}
		for id, list := range c.lists {
			records = append(records, &fleet.NodeRecord{ID: id, Unreachable: list})
		}
		previous := map[string]bool{}
		for _, id := range c.previous {
			previous[id] = true
		}
		for _, id := range c.heard {
			s.paths.heard[id] = now
		}
		if got := s.downNodes(now, records, previous, c.own)["p"]; got != c.down {
			t.Errorf("%s: down is %v", name, got)
		}
	}
}

// Guards against a forgotten record that is brought back by nodes that have not
// forgotten it yet, and against one that does not come back after a split.
func TestForgottenRecord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, down := range []bool{true, false} {
		s := newStore("self")
		record := full{Record: &fleet.NodeRecord{ID: "p", Version: fleet.Version{Incarnation: 1}}, Down: down}
		s.applyRecords([]full{record}, "peer", now)
		s.forget("p", now)
		if applied := s.applyRecords([]full{record}, "peer", now); (applied == 0) != down {
			t.Errorf("sender counts the node as down: %v; copies taken: %d", down, applied)
		}
	}
}
