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

// impostor responds to every call with a hello result that has an invalid proof.
type impostor struct{}

func (impostor) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	_ = conn.Reply(ctx, request.ID, helloResult{ID: "impostor", Proof: "00"})
}

// Guards against peers that do not know the secret, over real TCP: a caller that skips the
// handshake, a caller with a wrong proof, and an acceptor that accepts any proof. Also
// guards against a message beyond the size limit.
func TestPeerAuthentication(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	good, _ := startService(ctx, t, "good")
	_, addr := startService(ctx, t, "other")
	var result probeResult
	if id, err := good.CallAddr(ctx, addr, methodProbe, probeParams{}, &result); err != nil || id != "other" {
		t.Fatalf("probe with the right secret: %q, %v", id, err)
	}
	for name, handshake := range map[string]func(*jsonrpc2.Conn) error{
		"no handshake": func(*jsonrpc2.Conn) error { return nil },
		"wrong proof": func(rpc *jsonrpc2.Conn) error {
			var response helloResult
			if err := rpc.Call(ctx, methodHello, helloParams{From: "x", Nonce: newNonce()}, &response); err != nil {
				return err
			}
			_ = rpc.Call(ctx, methodProve, proveParams{Proof: response.Proof}, nil)
			return nil
		},
	} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		rpc := jsonrpc2.NewConn(ctx, newStream(conn, &Traffic{}, Limits{}.orDefaults()), rejectCalls{}, jsonrpc2.SetLogger(discardLogger{}))
		if err := handshake(rpc); err != nil {
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
			jsonrpc2.NewConn(ctx, newStream(conn, &Traffic{}, Limits{}.orDefaults()), impostor{}, jsonrpc2.SetLogger(discardLogger{}))
		}
	}()
	if _, err := good.CallAddr(ctx, listener.Addr().String(), methodProbe, probeParams{}, &result); err == nil {
		t.Error("an acceptor without the secret was accepted")
	}
	big := json.RawMessage(`"` + string(make([]byte, maxUnauthenticatedBytes)) + `"`)
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

// Guards against a node that counts as down on the report of a single node, on reports from
// nodes that are down or unreachable themselves, or despite recent contact. Also guards
// against a node that never counts as down because too few nodes are left to report it.
func TestDownRule(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		ownReports, previouslyDown, recentContact []string
		reports                                   map[string][]string
		down                                      bool
	}{
		"nobody reports it":        {reports: map[string][]string{"a": nil, "b": nil, "p": nil}},
		"one reports it":           {reports: map[string][]string{"a": {"p"}, "b": nil, "p": nil}},
		"two report it":            {reports: map[string][]string{"a": {"p"}, "b": {"p"}, "p": nil}, down: true},
		"self and one":             {ownReports: []string{"p"}, reports: map[string][]string{"a": {"p"}, "b": nil, "p": nil}, down: true},
		"self but no other":        {ownReports: []string{"p"}, reports: map[string][]string{"a": nil, "p": nil}},
		"self, nobody else left":   {ownReports: []string{"p"}, reports: map[string][]string{"p": nil}, down: true},
		"one reporter is down":     {previouslyDown: []string{"b"}, reports: map[string][]string{"a": {"p"}, "b": {"p"}, "c": nil, "p": nil}},
		"one reporter unreachable": {ownReports: []string{"b"}, reports: map[string][]string{"a": {"p"}, "b": {"p"}, "c": nil, "p": nil}},
		"recent contact":           {recentContact: []string{"p"}, reports: map[string][]string{"a": {"p"}, "b": {"p"}, "p": nil}},
	} {
		s := &Service{id: "self", paths: newPaths()}
		records := []*fleet.NodeRecord{{ID: "self"}}
		for id, list := range c.reports {
			records = append(records, &fleet.NodeRecord{ID: id, Unreachable: list})
		}
		previous := map[string]bool{}
		for _, id := range c.previouslyDown {
			previous[id] = true
		}
		for _, id := range c.recentContact {
			s.paths.lastContact[id] = now
		}
		if got := s.downNodes(now, records, previous, c.ownReports)["p"]; got != c.down {
			t.Errorf("%s: counts as down: %v", name, got)
		}
	}
}

// Guards against a forgotten record that is restored by nodes that have not forgotten it
// yet, and against one that is not restored after a network partition.
func TestForgottenRecord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, down := range []bool{true, false} {
		s := newStore("self")
		record := fullRecord{Record: &fleet.NodeRecord{ID: "p", Version: fleet.Version{Incarnation: 1}}, Down: down}
		s.applyRecords([]fullRecord{record}, "peer", now)
		s.forget("p", now)
		if applied := s.applyRecords([]fullRecord{record}, "peer", now); (applied == 0) != down {
			t.Errorf("sender counts the node as down: %v; records applied: %d", down, applied)
		}
	}
}
