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

// ServiceName is the name of the node in logs, metrics and traces.
const ServiceName = "tarragond"

// scopeName is the instrumentation scope of metrics and spans.
const scopeName = "github.com/tarragonford/tarragonford"

// Telemetry holds the log, the metrics and the tracer of one node. Its methods
// are safe for concurrent use.
type Telemetry struct {
	// Log writes to standard error.
	Log *zap.Logger
	// Level changes the log level of Log at run time.
	Level zap.AtomicLevel
	// Metrics holds the counters and histograms.
	Metrics *Metrics
	// Tracer starts the spans of hops.
	Tracer *Tracer

	meters   *metric.MeterProvider
	registry *prometheus.Registry
	leftOut  *leftOut
}

// New returns the telemetry of the node that node describes. An unreachable
// collector is no error. It fails on a log level or format that is not known,
// or when the exporters cannot be built.
func New(ctx context.Context, node settings.Node, version string) (*Telemetry, error) {
	return NewForProcess(ctx, Process{Name: ServiceName, Version: version, Log: os.Stderr}, node)
}

// Process describes the process that reports.
type Process struct {
	// Name is that of the program, Version its build.
	Name, Version string
	// Log takes the lines of the log.
	Log io.Writer
	// LinesPerSecond bounds the lines of each message and level; 0 for no bound.
	LinesPerSecond int
}

// NewForProcess is New for another program or another destination of the log.
func NewForProcess(ctx context.Context, process Process, node settings.Node) (*Telemetry, error) {
	left := &leftOut{counts: map[string]int{}}
	log, level, err := newLogger(node, process, left)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t := &Telemetry{Log: log, Level: level, registry: prometheus.NewRegistry(), leftOut: left}
	// The collectors read the runtime only when the page is pulled.
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

// Shutdown sends the queued spans until ctx ends and stops the exporters. Spans
// that are still queued then are counted as dropped. It also flushes the log;
// errors of that are ignored because standard error often cannot be synced.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := errors.Join(t.Tracer.shutdown(ctx), t.meters.Shutdown(ctx))
	_ = t.Log.Sync()
	return trace.Wrap(err)
}

// StateChange logs one line that says that subject went from one state to
// another. The line carries every counter that is not zero, so that the reader
// sees what led to the change.
func (t *Telemetry) StateChange(subject, from, to string, fields ...zap.Field) {
	entry := t.Log.Check(zap.InfoLevel, "state changed")
	if entry == nil {
		return
	}
	line := []zap.Field{zap.String("subject", subject), zap.String("from", from), zap.String("to", to)}
	line = append(line, fields...)
	entry.Write(append(line, zap.Object("counters", t.Metrics))...)
}
