package telemetry

import (
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap/zapcore"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Result labels one finished request.
type Result struct {
	// Code is the number of the result code; 0 for an answer of the backend server.
	Code int
	// Outcome is what is known about the execution.
	Outcome codes.Outcome
}

// PlatformCall labels one call of the platform.
type PlatformCall struct {
	// Operation is "get", "scan", "transact", "object-get" or "object-put".
	Operation string
	// Result is "ok", "conflict", "error" or "ambiguous".
	Result string
}

// Metrics holds the counters and histograms of one node. Counters cost one
// atomic addition and can be read back.
type Metrics struct {
	// Requests counts requests of callers by code and outcome.
	Requests *Vec[Result]
	// HostRequests counts requests that other nodes sent, by code and outcome.
	HostRequests *Vec[Result]
	// Attempts counts the attempts that the entry made, the first included.
	Attempts Counter
	// Retries counts attempts after the first, hedges not included.
	Retries Counter
	// RetriesRefused counts retries that the retry budget did not allow.
	RetriesRefused Counter
	// Hedges counts hedged attempts, HedgeWins those whose answer was used.
	Hedges, HedgeWins Counter
	// Dispatches counts requests that the host sent to a backend server.
	Dispatches Counter
	// LateAnswers counts answers that were dropped because nobody waited for them.
	LateAnswers Counter
	// WrongAnswers counts answers that were dropped because of another request's ID.
	WrongAnswers Counter
	// Fences counts fence calls by their result.
	Fences *Vec[string]
	// LedgerEntries is the number of requests in the ledger.
	LedgerEntries Gauge
	// LedgerBytes is the size of the recorded answers in bytes.
	LedgerBytes Gauge
	// Running is the number of requests at the attached backend servers.
	Running Gauge
	// Queued is the number of requests in the admission queues.
	Queued Gauge
	// ObservationsDropped counts observations that control had no room for.
	ObservationsDropped Counter
	// SpansDropped counts spans that were not delivered.
	SpansDropped Counter
	// InvariantViolations counts failed assertions by the name of the invariant.
	InvariantViolations *Vec[string]
	// Transitions counts changes of the health of backend servers by new state.
	Transitions *Vec[string]
	// GossipSent and GossipReceived count bytes of gossip.
	GossipSent, GossipReceived Counter
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion Gauge
	// PlatformCalls counts calls of the platform by operation and result.
	PlatformCalls *Vec[PlatformCall]
	// CutOff counts requests that a stop or a crash of a connection cut off.
	CutOff Counter

	// RequestTime is the time from the arrival of a caller's request to the end
	// of its answer.
	RequestTime *Histogram
	// ServerTime is the time from dispatch to the end of the server's answer.
	ServerTime *Histogram
	// AdmissionTime is the time that a request waits for a slot.
	AdmissionTime *Histogram
	// TickTime is the time of one control tick.
	TickTime *Histogram
	// PlatformTime is the time of one call of the platform.
	PlatformTime *Histogram
}

func newMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{
		Requests:            newVec(resultLabels, knownResults()...),
		HostRequests:        newVec(resultLabels, knownResults()...),
		Fences:              newVec(oneLabel("result")),
		InvariantViolations: newVec(oneLabel("invariant")),
		Transitions:         newVec(oneLabel("state")),
		PlatformCalls:       newVec(platformLabels),
	}
	if err := m.addHistograms(meter); err != nil {
		return nil, trace.Wrap(err)
	}
	return m, trace.Wrap(m.export(meter))
}

func (m *Metrics) addHistograms(meter metric.Meter) error {
	for _, h := range []struct {
		target            **Histogram
		name, description string
	}{
		{&m.RequestTime, "tarragon_request_duration", "Time from the arrival of a caller's request to the end of its answer."},
		{&m.ServerTime, "tarragon_server_duration", "Time from dispatch to the end of the server's answer."},
		{&m.AdmissionTime, "tarragon_admission_wait", "Time that a request waits for a slot."},
		{&m.TickTime, "tarragon_control_tick", "Time of one control tick."},
		{&m.PlatformTime, "tarragon_platform_call", "Time of one call of the platform."},
	} {
		histogram, err := newHistogram(meter, h.name, h.description)
		if err != nil {
			return trace.Wrap(err)
		}
		*h.target = histogram
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler: it adds every counter
// and gauge that is not zero.
func (m *Metrics) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for _, s := range m.series() {
		s.each(func(c reading) {
			if c.value != 0 {
				e.AddInt64(s.name+c.suffix, c.value)
			}
		})
	}
	return nil
}

func knownResults() []Result {
	results := []Result{{Outcome: codes.Ran}}
	for _, code := range codes.All() {
		results = append(results, Result{Code: code.Number, Outcome: code.Outcome})
	}
	return results
}

func resultLabels(r Result) attribute.Set {
	return attribute.NewSet(attribute.Int("code", r.Code), attribute.String("outcome", string(r.Outcome)))
}

func platformLabels(c PlatformCall) attribute.Set {
	return attribute.NewSet(attribute.String("operation", c.Operation), attribute.String("result", c.Result))
}

func oneLabel(name string) func(string) attribute.Set {
	return func(value string) attribute.Set { return attribute.NewSet(attribute.String(name, value)) }
}
