package telemetry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	otelcodes "go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// exportTimeout bounds one call to the collector.
const exportTimeout = 5 * time.Second

// headerTraceParent is the W3C header "traceparent" in canonical form.
const headerTraceParent = "Traceparent"

// Tracer starts one span per hop of a sampled request. A nil Tracer traces
// nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   oteltrace.Tracer
	queue    *spanQueue
	ratio    float64
}

// Span is the span of one hop. The zero Span records nothing.
type Span struct {
	span oteltrace.Span
}

var propagator = propagation.TraceContext{}

func newTracer(ctx context.Context, config settings.Telemetry, res *resource.Resource, metrics *Metrics) (*Tracer, error) {
	if config.OTLPEndpoint == "" {
		return nil, nil
	}
	// Retries are off: they would block the queue while the collector is down.
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpoint(config.OTLPEndpoint),
		otlptracehttp.WithInsecure(),
		otlptracehttp.WithTimeout(exportTimeout),
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newTracerWithExporter(exporter, config.SampleRatio, res, metrics), nil
}

// newTracerWithExporter returns a Tracer that exports to exporter. The provider
// samples every span, because StartRequest and StartHop make the sampling decision
// before they create one.
func newTracerWithExporter(exporter sdktrace.SpanExporter, ratio float64, res *resource.Resource, metrics *Metrics) *Tracer {
	queue := newSpanQueue(exporter, &metrics.SpansDropped)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithSpanProcessor(queue))
	return &Tracer{provider: provider, tracer: provider.Tracer(scopeName), queue: queue, ratio: ratio}
}

// StartRequest starts the first span of a request at the entry node. It honours the
// sampling decision of the caller's trace context if ctx holds one, and otherwise
// samples at the configured ratio. The returned Span must be ended.
func (t *Tracer) StartRequest(ctx context.Context, name string) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		return t.StartHop(ctx, name, oteltrace.SpanKindServer)
	}
	if t.ratio <= 0 || rand.Float64() >= t.ratio {
		return ctx, Span{}
	}
	return t.start(ctx, name, oteltrace.SpanKindServer)
}

// StartHop starts the span of one hop if the request is sampled. For other
// requests it returns ctx unchanged and does not allocate. The returned Span must
// be ended.
func (t *Tracer) StartHop(ctx context.Context, name string, kind oteltrace.SpanKind) (context.Context, Span) {
	if t == nil || !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, Span{}
	}
	return t.start(ctx, name, kind)
}

func (t *Tracer) start(ctx context.Context, name string, kind oteltrace.SpanKind) (context.Context, Span) {
	ctx, span := t.tracer.Start(ctx, name, oteltrace.WithSpanKind(kind))
	return ctx, Span{span: span}
}

// shutdown stops the queue directly: the provider skips its processors if ctx is
// already done, and the queued spans would not be counted as dropped.
func (t *Tracer) shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.queue.Shutdown(ctx)
}

// Recording reports whether the span is sampled. Callers check it to avoid building
// attributes for nothing.
func (s Span) Recording() bool { return s.span != nil }

// Set adds attributes.
func (s Span) Set(attributes ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attributes...)
	}
}

// Fail marks the span as failed with a description.
func (s Span) Fail(description string) {
	if s.span != nil {
		s.span.SetStatus(otelcodes.Error, description)
	}
}

// End ends the span and queues it for export.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// Inject writes the W3C trace context of ctx into the header of the next hop.
// A caller's unsampled context is propagated as well.
func Inject(ctx context.Context, header http.Header) {
	if oteltrace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(header))
	}
}

// Extract returns ctx with the W3C trace context of the header. A missing or
// malformed context leaves ctx unchanged.
func Extract(ctx context.Context, header http.Header) context.Context {
	if len(header[headerTraceParent]) == 0 {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}
