package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// latencyBounds are the bucket boundaries in seconds. They are dense around
// 2.2 ms, the latency that the design allows the fleet to add, and extend to
// 30 s, the longest default deadline.
var latencyBounds = []float64{
	0.0001, 0.0002, 0.0005, 0.001, 0.0015, 0.0022, 0.003, 0.005, 0.01, 0.025,
	0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
}

// Histogram records durations under a fixed set of labels. Recording does not
// allocate.
type Histogram struct {
	instrument metric.Float64Histogram
	labels     []metric.RecordOption
}

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	h.instrument.Record(context.Background(), d.Seconds(), h.labels...)
}

func (h *Histogram) with(labels ...attribute.KeyValue) *Histogram {
	set := attribute.NewSet(labels...)
	return &Histogram{instrument: h.instrument, labels: []metric.RecordOption{metric.WithAttributeSet(set)}}
}

func newHistogram(meter metric.Meter, name, description string) (*Histogram, error) {
	instrument, err := meter.Float64Histogram(name, metric.WithDescription(description),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, err
	}
	return (&Histogram{instrument: instrument}).with(), nil
}
