package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// reading is the value of one counter or gauge when it is exported.
type reading struct {
	value  int64
	suffix string
	labels metric.ObserveOption
}

// series is one exported family of counters, or one gauge.
type series struct {
	name, description, unit string
	gauge                   bool
	each                    func(func(reading))
}

func (m *Metrics) series() []series {
	return []series{
		vecSeries("tarragon_requests", "Requests of callers by result code and outcome.", m.Requests),
		vecSeries("tarragon_host_requests", "Requests of other nodes by result code and outcome.", m.HostRequests),
		counterSeries("tarragon_attempts", "Attempts of the entry, the first included.", "", &m.Attempts),
		counterSeries("tarragon_retries", "Attempts after the first.", "", &m.Retries),
		counterSeries("tarragon_retries_refused", "Retries that the budget did not allow.", "", &m.RetriesRefused),
		counterSeries("tarragon_hedges", "Hedged attempts.", "", &m.Hedges),
		counterSeries("tarragon_hedge_wins", "Hedged attempts whose answer was used.", "", &m.HedgeWins),
		counterSeries("tarragon_dispatches", "Requests sent to a backend server.", "", &m.Dispatches),
		counterSeries("tarragon_late_answers_dropped", "Answers that nobody waited for.", "", &m.LateAnswers),
		counterSeries("tarragon_wrong_answers_dropped", "Answers with the ID of another request.", "", &m.WrongAnswers),
		vecSeries("tarragon_fences", "Fence calls by result.", m.Fences),
		gaugeSeries("tarragon_ledger_entries", "Requests in the ledger.", "", &m.LedgerEntries),
		gaugeSeries("tarragon_ledger_size", "Size of the recorded answers.", "By", &m.LedgerBytes),
		gaugeSeries("tarragon_running", "Requests at the attached backend servers.", "", &m.Running),
		gaugeSeries("tarragon_queued", "Requests in the admission queues.", "", &m.Queued),
		counterSeries("tarragon_observations_dropped", "Observations that control had no room for.", "", &m.ObservationsDropped),
		counterSeries("tarragon_spans_dropped", "Spans that were not delivered.", "", &m.SpansDropped),
		vecSeries("tarragon_invariant_violations", "Failed assertions by invariant.", m.InvariantViolations),
		vecSeries("tarragon_transitions", "Changes of health by new state.", m.Transitions),
		counterSeries("tarragon_gossip_sent", "Bytes of gossip sent.", "By", &m.GossipSent),
		counterSeries("tarragon_gossip_received", "Bytes of gossip received.", "By", &m.GossipReceived),
		gaugeSeries("tarragon_config_version", "Version of the configuration in force.", "", &m.ConfigVersion),
		vecSeries("tarragon_platform_calls", "Calls of the platform by operation and result.", m.PlatformCalls),
		counterSeries("tarragon_cut_off", "Requests that were cut off.", "", &m.CutOff),
	}
}

// export registers every series with the meter. The values are read when the
// metrics page is pulled.
func (m *Metrics) export(meter metric.Meter) error {
	for _, s := range m.series() {
		if err := s.register(meter); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s series) register(meter metric.Meter) error {
	callback := func(_ context.Context, o metric.Int64Observer) error {
		s.each(func(r reading) { o.Observe(r.value, r.labels) })
		return nil
	}
	var err error
	if s.gauge {
		_, err = meter.Int64ObservableGauge(s.name, metric.WithDescription(s.description),
			metric.WithUnit(s.unit), metric.WithInt64Callback(callback))
	} else {
		_, err = meter.Int64ObservableCounter(s.name, metric.WithDescription(s.description),
			metric.WithUnit(s.unit), metric.WithInt64Callback(callback))
	}
	return trace.Wrap(err)
}

var noLabels metric.ObserveOption = metric.WithAttributes()

func counterSeries(name, description, unit string, c *Counter) series {
	return series{name: name, description: description, unit: unit, each: func(visit func(reading)) {
		visit(reading{value: c.Value(), labels: noLabels})
	}}
}

func gaugeSeries(name, description, unit string, g *Gauge) series {
	return series{name: name, description: description, unit: unit, gauge: true, each: func(visit func(reading)) {
		visit(reading{value: g.Value(), labels: noLabels})
	}}
}

func vecSeries[K comparable](name, description string, v *Vec[K]) series {
	return series{name: name, description: description, each: func(visit func(reading)) {
		v.each(func(c *cell) {
			visit(reading{value: c.Value(), suffix: "{" + c.name + "}", labels: c.labels})
		})
	}}
}
