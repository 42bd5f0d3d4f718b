package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// ServiceName is the service name in the logs, metrics and traces of a node.
const ServiceName = "tarragond"

// scopeName is the instrumentation scope of metrics and spans.
const scopeName = "github.com/tarragonford/tarragonford"

// Telemetry holds the logger, metrics and tracer of one node. Its methods are safe
// for concurrent use.
type Telemetry struct {
	// Log is the logger; it writes to the Log of the Process.
	Log *zap.Logger
	// Level changes the level of Log at run time.
	Level zap.AtomicLevel
	// Metrics holds the counters and histograms.
	Metrics *Metrics
	// Tracer starts spans; nil if no collector is configured.
	Tracer *Tracer

	meters   *metric.MeterProvider
	registry *prometheus.Registry
	limiter  *lineLimiter
}

// New returns the telemetry of the node described by node, logging to standard
// error. It fails on an unknown log level or format, or if an exporter cannot be
// created. An unreachable collector is not an error.
func New(ctx context.Context, node settings.Node, version string) (*Telemetry, error) {
	return NewForProcess(ctx, Process{Name: ServiceName, Version: version, Log: os.Stderr}, node)
}

// Process identifies the process that emits the telemetry.
type Process struct {
	// Name is the program name, Version its build version.
	Name, Version string
	// Log is the destination of the log lines.
	Log io.Writer
	// LinesPerSecond limits the lines of each message and level; 0 means no limit.
	LinesPerSecond int
}

// NewForProcess is like New, but for the given program name and log destination.
func NewForProcess(ctx context.Context, process Process, node settings.Node) (*Telemetry, error) {
	limiter := &lineLimiter{counts: map[string]int{}}
	log, level, err := newLogger(node, process, limiter)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t := &Telemetry{Log: log, Level: level, registry: prometheus.NewRegistry(), limiter: limiter}
	// The collectors read the runtime only when the metrics endpoint is scraped.
	t.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	res := nodeResource(node, process)
	if err := t.startMetrics(res); err != nil {
		return nil, trace.Wrap(err)
	}
	t.Tracer, err = newTracer(ctx, node.Telemetry, res, t.Metrics)
	if err != nil {
		return nil, trace.NewAggregate(err, t.meters.Shutdown(ctx))
	}
	return t, nil
}

func (t *Telemetry) startMetrics(res *resource.Resource) error {
	exporter, err := otelprom.New(otelprom.WithRegisterer(t.registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return trace.Wrap(err)
	}
	t.meters = metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(res))
	t.Metrics, err = newMetrics(t.meters.Meter(scopeName))
	return trace.Wrap(err)
}

func nodeResource(node settings.Node, process Process) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", process.Name),
		attribute.String("service.version", process.Version),
		attribute.String("service.instance.id", node.ID),
		attribute.String("cloud.region", node.Region),
		attribute.String("cloud.availability_zone", node.DataCentre),
	)
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (t *Telemetry) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// Shutdown exports the queued spans until ctx is done and stops the exporters. Spans
// still queued after that are counted as dropped. It also flushes the log; errors
// from that are ignored because standard error often cannot be synced.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := errors.Join(t.Tracer.shutdown(ctx), t.meters.Shutdown(ctx))
	_ = t.Log.Sync()
	return trace.Wrap(err)
}

// StateChange logs that subject changed from one state to another. The line carries
// every non-zero counter, to show what led to the change.
func (t *Telemetry) StateChange(subject, from, to string, fields ...zap.Field) {
	entry := t.Log.Check(zap.InfoLevel, "state changed")
	if entry == nil {
		return
	}
	line := []zap.Field{zap.String("subject", subject), zap.String("from", from), zap.String("to", to)}
	line = append(line, fields...)
	entry.Write(append(line, zap.Object("counters", t.Metrics))...)
}
