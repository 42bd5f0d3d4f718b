package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/metric"
)

// reading is the exported value of one counter or gauge. suffix holds its labels in
// text form, for logs.
type reading struct {
	value  int64
	suffix string
	labels metric.ObserveOption
}

// series describes one exported counter, counter family or gauge.
type series struct {
	name, description, unit string
	gauge                   bool
	each                    func(func(reading))
}

func (m *Metrics) series() []series {
	return []series{
		counterVecSeries("tarragon_requests", "Requests from callers by result code and outcome.", m.Requests),
		counterVecSeries("tarragon_host_requests", "Requests forwarded by other nodes, by result code and outcome.", m.HostRequests),
		counterSeries("tarragon_attempts", "Attempts made by the entry node, including the first.", "", &m.Attempts),
		counterSeries("tarragon_retries", "Attempts after the first, excluding hedges.", "", &m.Retries),
		counterSeries("tarragon_busy_hops", "Hops of this entry node that a full server refused.", "", &m.BusyHops),
		counterSeries("tarragon_far_hops", "Hops of this entry node to another data centre.", "", &m.FarHops),
		counterSeries("tarragon_hops_withdrawn", "Hops of this entry node that ended before the host was permitted to run the request.", "", &m.HopsWithdrawn),
		counterSeries("tarragon_permits_missed", "Requests that this host did not run because it got no permit.", "", &m.PermitsMissed),
		counterSeries("tarragon_retries_refused", "Retries denied by the retry budget.", "", &m.RetriesRefused),
		counterSeries("tarragon_hedges", "Hedged attempts.", "", &m.Hedges),
		counterSeries("tarragon_hedge_wins", "Hedged attempts whose response was used.", "", &m.HedgeWins),
		counterSeries("tarragon_dispatches", "Requests sent to a backend server.", "", &m.Dispatches),
		counterSeries("tarragon_rate_limited", "Requests refused because of the rates that backend servers accept.", "", &m.RateLimited),
		counterSeries("tarragon_calls", "Requests at the host that running requests of other servers wait for.", "", &m.Calls),
		counterSeries("tarragon_returns_suggested", "Refused requests whose callers were told when to return.", "", &m.ReturnsSuggested),
		gaugeSeries("tarragon_server_rate_limit", "Requests that the local backend server accepts, per 1000 s; 0 for no limit.", "", &m.ServerRateLimit),
		counterVecSeries("tarragon_quota_calls", "Calls to homes of accounts by result.", m.QuotaCalls),
		counterSeries("tarragon_quota_credits", "Credits granted as a home of accounts.", "", &m.QuotaCredits),
		counterSeries("tarragon_quota_returned", "Credits given back because their requests did not run.", "", &m.QuotaReturned),
		counterVecSeries("tarragon_quota_refused", "Requests refused because of the limit of their account, by reason.", m.QuotaRefused),
		counterSeries("tarragon_quota_own_part", "Requests admitted although no home of their account replied.", "", &m.QuotaOwnPart),
		gaugeSeries("tarragon_client_memory", "Memory that requests and answers take.", "By", &m.ClientMemory),
		counterSeries("tarragon_door_refused", "Connections, heads and bodies refused because of the limits of the process.", "", &m.DoorRefused),
		counterSeries("tarragon_door_evicted", "Connections and requests of stalled clients that had to give way.", "", &m.DoorEvicted),
		counterSeries("tarragon_late_answers_dropped", "Responses dropped because nothing was waiting for them any more.", "", &m.LateAnswers),
		counterSeries("tarragon_wrong_answers_dropped", "Responses dropped because they carried the ID of another request.", "", &m.WrongAnswers),
		counterVecSeries("tarragon_fences", "Fence calls by result.", m.Fences),
		gaugeSeries("tarragon_ledger_entries", "Requests in the ledger.", "", &m.LedgerEntries),
		gaugeSeries("tarragon_ledger_size", "Total size of the recorded responses.", "By", &m.LedgerBytes),
		gaugeSeries("tarragon_running", "Requests being executed by the attached backend servers.", "", &m.Running),
		gaugeSeries("tarragon_queued", "Requests in the admission queues.", "", &m.Queued),
		counterSeries("tarragon_observations_dropped", "Observations dropped because the queue of the control goroutine was full.", "", &m.ObservationsDropped),
		counterSeries("tarragon_spans_dropped", "Spans that were not exported.", "", &m.SpansDropped),
		counterVecSeries("tarragon_invariant_violations", "Failed assertions by invariant name.", m.InvariantViolations),
		counterVecSeries("tarragon_transitions", "Health changes of backend servers by new state.", m.Transitions),
		counterSeries("tarragon_gossip_sent", "Gossip bytes sent.", "By", &m.GossipSent),
		counterSeries("tarragon_gossip_received", "Gossip bytes received.", "By", &m.GossipReceived),
		gaugeSeries("tarragon_config_version", "Version of the configuration in force.", "", &m.ConfigVersion),
		gaugeSeries("tarragon_config_confirmation_age", "Time since the configuration in force was last proved to be the newest.", "ms", &m.ConfirmationAge),
		counterVecSeries("tarragon_config_confirmations", "Proofs that the configuration is the newest, by source.", m.Confirmations),
		counterVecSeries("tarragon_platform_calls", "Calls to the platform by operation and result.", m.PlatformCalls),
		gaugeSeries("tarragon_store_era", "Times that the store has been restored from a copy.", "", &m.StoreEra),
		counterVecSeries("tarragon_table_reads", "Reads of whole tables of the store by reason.", m.TableReads),
		counterSeries("tarragon_member_rows_ignored", "Rows of whole reads of the members that differ from newer ones.", "", &m.MemberRowsIgnored),
		counterSeries("tarragon_cut_off", "Requests interrupted by a node shutdown or a broken connection.", "", &m.CutOff),
	}
}

// registerSeries registers every series with the meter. The values are read when the
// metrics endpoint is scraped.
func (m *Metrics) registerSeries(meter metric.Meter) error {
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

func counterVecSeries[K comparable](name, description string, v *CounterVec[K]) series {
	return series{name: name, description: description, each: func(visit func(reading)) {
		v.each(func(c *labelledCounter) {
			visit(reading{value: c.Value(), suffix: "{" + c.name + "}", labels: c.labels})
		})
	}}
}
