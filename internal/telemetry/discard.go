package telemetry

import (
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
)

// Discard returns telemetry that counts but writes and exports nothing, for
// tests and tools.
func Discard() *Telemetry {
	metrics, err := newMetrics(noop.NewMeterProvider().Meter(scopeName))
	if err != nil {
		panic(err) // the no-op meter does not fail
	}
	return &Telemetry{Log: zap.NewNop(), Metrics: metrics}
}
