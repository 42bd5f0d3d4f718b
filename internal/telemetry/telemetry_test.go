package telemetry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/settings"
)

func testNode() settings.Node {
	node := settings.Defaults()
	node.ID, node.Region, node.DataCentre = "n1", "western", "colombo"
	return node
}

func newForTest(t *testing.T, node settings.Node) *Telemetry {
	t.Helper()
	tele, err := New(context.Background(), node, "test")
	if err != nil {
		t.Fatal(err)
	}
	return tele
}

// Guards against metrics that are counted but missing from the metrics endpoint.
func TestMetricsPageShowsCounters(t *testing.T) {
	g := NewWithT(t)
	tele := newForTest(t, testNode())
	m := tele.Metrics
	m.Requests.Inc(Result{Code: codes.NoServer.Number, Outcome: codes.NotRun})
	m.InvariantViolations.Inc("floor")
	m.PlatformCalls.Inc(PlatformCall{Operation: "get", Result: "ok"})
	m.Dispatches.Add(3)
	m.ConfigVersion.Set(42)
	m.RequestTime.Record(2 * time.Millisecond)

	recorder := httptest.NewRecorder()
	tele.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := recorder.Body.String()
	for _, line := range []string{
		`tarragon_requests_total{code="1004",outcome="not-run"} 1`,
		`tarragon_invariant_violations_total{invariant="floor"} 1`,
		`tarragon_platform_calls_total{operation="get",result="ok"} 1`,
		`tarragon_dispatches_total 3`,
		`tarragon_config_version 42`,
		`tarragon_request_duration_seconds_count 1`,
	} {
		g.Expect(page).To(ContainSubstring("\n" + line + "\n"))
	}
	g.Expect(tele.Shutdown(context.Background())).To(Succeed())
}

// Guards against allocations on the request path.
func TestRequestPathAllocatesNothing(t *testing.T) {
	tele := newForTest(t, testNode())
	m, ctx, header := tele.Metrics, context.Background(), http.Header{}
	allocations := testing.AllocsPerRun(1000, func() {
		m.Requests.Inc(Result{Outcome: codes.Ran})
		m.Attempts.Inc()
		m.RequestTime.Record(time.Millisecond)
		hop, span := tele.Tracer.StartHop(Extract(ctx, header), "host", oteltrace.SpanKindServer)
		Inject(hop, header)
		span.End()
	})
	if allocations != 0 {
		t.Fatalf("%v allocations per request, want 0", allocations)
	}
}

// Guards against metrics output that grows without limit.
func TestCounterVecIsBounded(t *testing.T) {
	g := NewWithT(t)
	vec := newCounterVec(oneLabel("result"))
	for i := range 2 * maxLabelSets {
		vec.Inc(strings.Repeat("x", i+1))
	}
	g.Expect(*vec.counters.Load()).To(HaveLen(maxLabelSets))
	g.Expect(vec.Total()).To(BeEquivalentTo(2 * maxLabelSets))
}

// Guards against log lines that cannot be attributed to a node and against
// state changes without their counters.
func TestStateChangeLogsCounters(t *testing.T) {
	g := NewWithT(t)
	tele := newForTest(t, testNode())
	var out bytes.Buffer
	log, _, err := newLogger(testNode(), Process{Name: ServiceName, Version: "test", Log: &out}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	tele.Log = log
	tele.Metrics.Retries.Add(7)
	tele.StateChange("server s1", "healthy", "suspect", zap.String("reason", "slow"))
	g.Expect(out.String()).To(And(
		ContainSubstring(`"node":"n1"`), ContainSubstring(`"region":"western"`),
		ContainSubstring(`"data_centre":"colombo"`), ContainSubstring(`"service":"tarragond"`),
		ContainSubstring(`"from":"healthy","to":"suspect","reason":"slow"`),
		ContainSubstring(`"counters":{"tarragon_retries":7}`)))
}

// Guards against invalid log settings that are silently accepted.
func TestLoggerRejectsUnknownSettings(t *testing.T) {
	g := NewWithT(t)
	node := testNode()
	node.Telemetry.LogLevel = "loud"
	_, _, err := newLogger(node, Process{Name: ServiceName, Version: "test", Log: io.Discard}, nil)
	g.Expect(err).To(MatchError(ContainSubstring(`log level "loud"`)))
	node = testNode()
	node.Telemetry.LogFormat = "xml"
	_, _, err = newLogger(node, Process{Name: ServiceName, Version: "test", Log: io.Discard}, nil)
	g.Expect(err).To(MatchError(ContainSubstring(`log format "xml"`)))
}

// Guards against a trace that is broken between two hops.
func TestHopsShareOneTrace(t *testing.T) {
	g := NewWithT(t)
	exporter := tracetest.NewInMemoryExporter()
	tracer := newTracerWithExporter(exporter, 1, resource.Empty(), &Metrics{})
	ctx, entry := tracer.StartRequest(context.Background(), "entry")
	header := http.Header{}
	Inject(ctx, header)
	_, host := tracer.StartHop(Extract(context.Background(), header), "host", oteltrace.SpanKindServer)
	host.Fail("no slot")
	host.End()
	entry.End()
	g.Expect(tracer.provider.ForceFlush(context.Background())).To(Succeed())
	spans := exporter.GetSpans()
	g.Expect(spans).To(HaveLen(2))
	g.Expect(spans[0].SpanContext.TraceID()).To(Equal(spans[1].SpanContext.TraceID()))
	g.Expect(spans[0].Parent.SpanID()).To(Equal(spans[1].SpanContext.SpanID()))
}

// Guards against a sampling ratio that is not respected, and against dropping a
// caller's unsampled trace context.
func TestSampling(t *testing.T) {
	g := NewWithT(t)
	tracer := newTracerWithExporter(tracetest.NewInMemoryExporter(), 0.25, resource.Empty(), &Metrics{})
	sampled := 0
	for range 4000 {
		_, span := tracer.StartRequest(context.Background(), "entry")
		if span.Recording() {
			sampled++
		}
		span.End()
	}
	g.Expect(sampled).To(BeNumerically("~", 1000, 200))

	unsampled := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"}}
	ctx, span := tracer.StartRequest(Extract(context.Background(), unsampled), "entry")
	g.Expect(span.Recording()).To(BeFalse())
	next := http.Header{}
	Inject(ctx, next)
	g.Expect(next).To(Equal(unsampled))
}

// blockedExporter simulates a collector that hangs: exports block until ctx is done.
type blockedExporter struct{ sdktrace.SpanExporter }

func (blockedExporter) ExportSpans(ctx context.Context, _ []sdktrace.ReadOnlySpan) error {
	<-ctx.Done()
	return ctx.Err()
}

func (blockedExporter) Shutdown(context.Context) error { return nil }

// Guards against requests that wait for a hanging collector, and against spans that
// are lost without being counted.
func TestHangingCollectorOnlyDropsSpans(t *testing.T) {
	g := NewWithT(t)
	metrics := &Metrics{}
	tracer := newTracerWithExporter(blockedExporter{}, 1, resource.Empty(), metrics)
	const spans = 3 * spanQueueLength
	for range spans {
		_, span := tracer.StartRequest(context.Background(), "entry")
		span.End()
	}
	g.Expect(metrics.SpansDropped.Value()).To(BeNumerically(">=", spans-spanQueueLength-spanBatch))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(tracer.shutdown(ctx)).To(Succeed())
	g.Expect(metrics.SpansDropped.Value()).To(BeEquivalentTo(spans))
}

// Guards against a constructor that fails while the collector is down.
func TestUnreachableCollector(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	node := testNode()
	node.Telemetry.OTLPEndpoint = listener.Addr().String()
	node.Telemetry.SampleRatio = 1
	g.Expect(listener.Close()).To(Succeed())
	tele := newForTest(t, node)
	_, span := tele.Tracer.StartRequest(context.Background(), "entry")
	span.End()
	g.Expect(tele.Shutdown(context.Background())).To(Succeed())
	g.Expect(tele.Metrics.SpansDropped.Value()).To(BeEquivalentTo(1))
}

// Guards against spans that do not reach a working collector.
func TestCollectorReceivesSpans(t *testing.T) {
	g := NewWithT(t)
	paths := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	defer server.Close()
	node := testNode()
	node.Telemetry.OTLPEndpoint = strings.TrimPrefix(server.URL, "http://")
	node.Telemetry.SampleRatio = 1
	tele := newForTest(t, node)
	_, span := tele.Tracer.StartRequest(context.Background(), "entry")
	span.End()
	g.Expect(tele.Shutdown(context.Background())).To(Succeed())
	g.Expect(paths).To(Receive(Equal("/v1/traces")))
	g.Expect(tele.Metrics.SpansDropped.Value()).To(BeZero())
}

func BenchmarkRequestPath(b *testing.B) {
	tele, err := New(context.Background(), testNode(), "test")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tele.Metrics.Requests.Inc(Result{Outcome: codes.Ran})
			tele.Metrics.RequestTime.Record(time.Millisecond)
			_, span := tele.Tracer.StartHop(context.Background(), "host", oteltrace.SpanKindServer)
			span.End()
		}
	})
}

func FuzzExtract(f *testing.F) {
	f.Add("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "a=b")
	f.Add("00-00000000000000000000000000000000-0000000000000000-00", "")
	f.Fuzz(func(t *testing.T, parent, state string) {
		header := http.Header{"Traceparent": {parent}, "Tracestate": {state}}
		ctx := Extract(context.Background(), header)
		next := http.Header{}
		Inject(ctx, next)
		again := http.Header{}
		Inject(Extract(context.Background(), next), again)
		if next.Get("Traceparent") != again.Get("Traceparent") {
			t.Fatalf("trace context %q became %q", next, again)
		}
	})
}

// BenchmarkSampledHop compares the cost of a sampled hop while the collector
// accepts spans and while it hangs.
func BenchmarkSampledHop(b *testing.B) {
	for name, exporter := range map[string]sdktrace.SpanExporter{"up": tracetest.NewNoopExporter(), "hangs": blockedExporter{}} {
		b.Run(name, func(b *testing.B) {
			metrics := &Metrics{}
			tracer := newTracerWithExporter(exporter, 1, resource.Empty(), metrics)
			b.ReportAllocs()
			for b.Loop() {
				_, span := tracer.StartRequest(context.Background(), "entry")
				span.End()
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = tracer.shutdown(ctx)
		})
	}
}
