package node

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// spanCollector is a fake OTLP/HTTP collector that records the spans of one trace.
type spanCollector struct {
	mu sync.Mutex
	// ids and parents map the name of each span of the trace to its span ID and to
	// the ID of its parent span.
	ids, parents map[string]string
	trace        string
}

func (c *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request collector.ExportTraceServiceRequest
	body, err := io.ReadAll(r.Body)
	if err != nil || proto.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resource := range request.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, span := range scope.Spans {
				if hex.EncodeToString(span.TraceId) == c.trace {
					c.ids[span.Name] = hex.EncodeToString(span.SpanId)
					c.parents[span.Name] = hex.EncodeToString(span.ParentSpanId)
				}
			}
		}
	}
}

// isChain reports whether every named span has arrived and is a child of the one
// before it, the first a child of root.
func (c *spanCollector) isChain(root string, names []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	parent := root
	for _, name := range names {
		if c.ids[name] == "" || c.parents[name] != parent {
			return false
		}
		parent = c.ids[name]
	}
	return true
}

// Guards against a hop that records no span, and against a trace context that is
// not propagated from the caller to the backend server.
func TestEachHopHasASpan(t *testing.T) {
	const trace, root = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	spans := &spanCollector{ids: map[string]string{}, parents: map[string]string{}, trace: trace}
	server := httptest.NewServer(spans)
	defer server.Close()
	traced := func(config *settings.Node) {
		config.Telemetry.OTLPEndpoint = strings.TrimPrefix(server.URL, "http://")
		config.Telemetry.SampleRatio = 1
	}
	f := newTestFleet(t)
	entry, host := f.start("entry", traced), f.start("host", traced)
	seen := make(chan string, 8)
	f.attach(host, entry, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
		io.WriteString(w, "answer")
	})
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.listeners.caller.Addr().String()+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Traceparent", "00-"+trace+"-"+root+"-01")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
	hops := []string{"entry", "forward", "host", "dispatch"}
	f.wait("every span has arrived as a child of the previous one", func() bool { return spans.isChain(root, hops) })
	if context := <-seen; !strings.Contains(context, trace+"-"+spans.ids["dispatch"]) {
		t.Errorf("the server received the trace context %q", context)
	}
}
