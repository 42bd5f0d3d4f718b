package telemetry

import (
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

// Discard returns a Telemetry for tests and tools that counts, but writes and
// exports nothing.
func Discard() *Telemetry {
	metrics, err := newMetrics(noop.NewMeterProvider().Meter(scopeName))
	if err != nil {
		panic(err) // the no-op meter never fails
	}
	return &Telemetry{Log: zap.NewNop(), Metrics: metrics}
}
