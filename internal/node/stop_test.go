package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/settings"
)

// blockingServer is a backend server that responds once release is closed or the
// request is cancelled.
type blockingServer struct {
	arrived chan struct{}
	release chan struct{}
}

func newBlockingServer() *blockingServer {
	return &blockingServer{arrived: make(chan struct{}, 8), release: make(chan struct{})}
}

const blockingServerBody = "complete response"

func (s *blockingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived <- struct{}{}
	select {
	case <-s.release:
	case <-r.Context().Done():
	}
	io.WriteString(w, blockingServerBody)
}

// callResult is the response or error that a caller received.
type callResult struct {
	status int
	header http.Header
	body   string
	closed bool
	err    error
}

func call(n *testNode, method string) callResult {
	request, err := http.NewRequest(method, "http://"+n.listeners.caller.Addr().String()+"/s/x", strings.NewReader(""))
	if err != nil {
		return callResult{err: err}
	}
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(body), response.Close, err}
}

// startRequest sends a request through entry and returns once the server has
// received it.
func startRequest(t *testing.T, entry *testNode, server *blockingServer, method string) <-chan callResult {
	t.Helper()
	result := make(chan callResult, 1)
	go func() { result <- call(entry, method) }()
	select {
	case <-server.arrived:
	case got := <-result:
		t.Fatalf("the request did not reach the server: %+v", got)
	}
	return result
}

// Guards against a stop that cuts off a request in progress at the entry node
// or at the host node, against a leaving node that accepts new requests, and
// against a refusal that leaves the caller's connection open.
func TestStopFinishesRequestsInProgress(t *testing.T) {
	for _, c := range []struct {
		name, method string
		leaving      int
	}{
		{"entry leaves during a read", http.MethodGet, 0},
		{"host leaves during a booking", http.MethodPost, 1},
		{"only node leaves during a booking", http.MethodPost, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, server := newTestFleet(t), newBlockingServer()
			nodes := []*testNode{f.start("n1", nil)}
			if c.leaving >= 0 {
				nodes = append(nodes, f.start("n2", nil))
			}
			entry, leaving := nodes[0], nodes[max(c.leaving, 0)]
			f.attach(nodes[len(nodes)-1], entry, server.serve)
			first := startRequest(t, entry, server, c.method)
			close(leaving.stop)
			f.wait("the node leaves", func() bool { return leaving.board.View().Self.Leaving })
			checkRefused(t, call(leaving, c.method))
			// The request takes longer than all fixed delays of a stop together, so
			// that only the wait for running requests keeps it from being cut off.
			time.Sleep(minLeavingTime + leftGossipTime + 2*closeTimeout)
			close(server.release)
			if got := <-first; got.err != nil || got.status != http.StatusOK || got.body != blockingServerBody {
				t.Errorf("the request in progress returned %+v", got)
			}
			<-leaving.ended
			if cut := leaving.telemetry.Metrics.CutOff.Value(); cut != 0 {
				t.Errorf("%d requests were cut off, want 0", cut)
			}
		})
	}
}

func checkRefused(t *testing.T, got callResult) {
	t.Helper()
	if got.err != nil || got.header.Get(api.HeaderCode) != strconv.Itoa(codes.Leaving.Number) ||
		got.header.Get(api.HeaderOutcome) != string(codes.NotRun) || !got.closed {
		t.Errorf("a new request at the leaving node returned %+v", got)
	}
}

// Guards against a stop that waits forever for a stuck request, and against
// counting a request once for each role of the node that tracks it.
func TestStopLimitReportsCutRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			f, server := newTestFleet(t), newBlockingServer()
			n := f.start("n1", func(s *settings.Node) { s.Timing.StopLimit = 300 * time.Millisecond })
			f.attach(n, n, server.serve)
			t.Cleanup(func() { close(server.release) })
			results := []<-chan callResult{startRequest(t, n, server, method), startRequest(t, n, server, method)}
			close(n.stop)
			select {
			case <-n.ended:
			case <-time.After(testTimeout):
				t.Fatal("the stop did not end")
			}
			if cut := n.telemetry.Metrics.CutOff.Value(); cut != 2 {
				t.Errorf("%d requests were reported as cut off, want 2", cut)
			}
			for _, result := range results {
				if got := <-result; got.err == nil && got.status == http.StatusOK {
					t.Errorf("a request that was cut off returned %+v", got)
				}
			}
		})
	}
}
