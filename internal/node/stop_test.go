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

// gate is a backend server whose answers wait until open is closed.
type gate struct {
	arrived chan struct{}
	open    chan struct{}
}

func newGate() *gate { return &gate{arrived: make(chan struct{}, 8), open: make(chan struct{})} }

const gateAnswer = "a whole answer"

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	g.arrived <- struct{}{}
	select {
	case <-g.open:
	case <-r.Context().Done():
	}
	io.WriteString(w, gateAnswer)
}

// answered is what a caller got.
type answered struct {
	status int
	header http.Header
	body   string
	closed bool
	err    error
}

func call(n *testNode, method string) answered {
	request, err := http.NewRequest(method, "http://"+n.listeners.caller.Addr().String()+"/s/x", strings.NewReader(""))
	if err != nil {
		return answered{err: err}
	}
	response, err := (&http.Transport{}).RoundTrip(request)
	if err != nil {
		return answered{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answered{response.StatusCode, response.Header, string(body), response.Close, err}
}

// inProgress sends a request through entry and returns once it runs.
func inProgress(t *testing.T, entry *testNode, g *gate, method string) <-chan answered {
	t.Helper()
	result := make(chan answered, 1)
	go func() { result <- call(entry, method) }()
	select {
	case <-g.arrived:
	case got := <-result:
		t.Fatalf("the request did not reach the server: %+v", got)
	}
	return result
}

// Guards against a stop that cuts off a request in progress at the entry node
// or at the host node, against new work at a leaving node, and against a
// refusal that lets the caller keep its connection.
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
			f, g := newTestFleet(t), newGate()
			nodes := []*testNode{f.start("n1", nil)}
			if c.leaving >= 0 {
				nodes = append(nodes, f.start("n2", nil))
			}
			entry, leaving := nodes[0], nodes[max(c.leaving, 0)]
			f.attach(nodes[len(nodes)-1], entry, g.serve)
			first := inProgress(t, entry, g, c.method)
			close(leaving.stop)
			f.wait("the node leaves", func() bool { return leaving.board.View().Self.Leaving })
			checkRefused(t, call(leaving, c.method))
			// The request outlasts every fixed pause of a stop, so that only the
			// wait for running requests keeps it from being cut.
			time.Sleep(leavingTime + leftTime + 2*closeTime)
			close(g.open)
			if got := <-first; got.err != nil || got.status != http.StatusOK || got.body != gateAnswer {
				t.Errorf("the request in progress got %+v", got)
			}
			<-leaving.ended
			if cut := leaving.telemetry.Metrics.CutOff.Value(); cut != 0 {
				t.Errorf("%d requests were cut", cut)
			}
		})
	}
}

func checkRefused(t *testing.T, got answered) {
	t.Helper()
	if got.err != nil || got.header.Get(api.HeaderCode) != strconv.Itoa(codes.Leaving.Number) ||
		got.header.Get(api.HeaderOutcome) != string(codes.NotRun) || !got.closed {
		t.Errorf("a new request at the leaving node got %+v", got)
	}
}

// Guards against a stop that waits for ever for a stuck request, and against a
// count that holds a request once for each role of the node that has it.
func TestStopLimitReportsCutRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			f, g := newTestFleet(t), newGate()
			n := f.start("n1", func(s *settings.Node) { s.Timing.StopLimit = 300 * time.Millisecond })
			f.attach(n, n, g.serve)
			t.Cleanup(func() { close(g.open) })
			results := []<-chan answered{inProgress(t, n, g, method), inProgress(t, n, g, method)}
			close(n.stop)
			select {
			case <-n.ended:
			case <-time.After(patience):
				t.Fatal("the stop did not end")
			}
			if cut := n.telemetry.Metrics.CutOff.Value(); cut != 2 {
				t.Errorf("%d requests were reported as cut, want 2", cut)
			}
			for _, result := range results {
				if got := <-result; got.err == nil && got.status == http.StatusOK {
					t.Errorf("a cut request got %+v", got)
				}
			}
		})
	}
}
