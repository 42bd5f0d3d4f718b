package telemetry

import (
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap/zapcore"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Result holds the metric labels of a finished request.
type Result struct {
	// Code is the number of the result code; 0 for a response of the backend server.
	Code int
	// Outcome is what is known about whether the request was executed.
	Outcome codes.Outcome
}

// PlatformCall holds the metric labels of a call to the platform.
type PlatformCall struct {
	// Operation is "get", "scan", "transact", "object-get" or "object-put".
	Operation string
	// Result is "ok", "conflict", "error" or "ambiguous".
	Result string
}

// Metrics holds the counters, gauges and histograms of one node. Updating a counter
// costs one atomic addition, and its value can be read back.
type Metrics struct {
	// Requests counts requests from callers by code and outcome.
	Requests *CounterVec[Result]
	// HostRequests counts requests forwarded by other nodes, by code and outcome.
	HostRequests *CounterVec[Result]
	// Attempts counts the attempts made by the entry node, including the first.
	Attempts Counter
	// Retries counts attempts after the first, excluding hedges.
	Retries Counter
	// RetriesRefused counts retries denied by the retry budget.
	RetriesRefused Counter
	// BusyHops counts hops of this entry node that a full server refused, and FarHops those to
	// another data centre.
	BusyHops, FarHops Counter
	// HopsWithdrawn counts hops of this entry node that ended before the host was permitted to run the
	// request, and PermitsMissed requests that this host did not run because it got no permit.
	HopsWithdrawn, PermitsMissed Counter
	// Hedges counts hedged attempts, HedgeWins those whose response was used.
	Hedges, HedgeWins Counter
	// Dispatches counts requests that the host node sent to a backend server.
	Dispatches Counter
	// ServerRateLimit is the rate that the local backend server accepts, in requests per 1000 s;
	// 0 if it names none.
	ServerRateLimit Gauge
	// RateLimited counts requests that were refused because of the rates that backend servers accept,
	// at the node beside the server or at once at the entry node.
	RateLimited Counter
	// QuotaCalls counts calls to homes of accounts by result, QuotaCredits the credits that this node
	// granted as a home, QuotaReturned those that its requests gave back unused.
	QuotaCalls                  *CounterVec[string]
	QuotaCredits, QuotaReturned Counter
	// QuotaRefused counts requests refused because of the limit of their account: over the limit, or
	// undecided because no home replied. QuotaOwnPart counts those admitted without a home.
	QuotaRefused *CounterVec[string]
	QuotaOwnPart Counter
	// Calls counts requests at the host node that running requests of other servers wait for.
	Calls Counter
	// ReturnsSuggested counts refused requests whose callers were told when to return.
	ReturnsSuggested Counter
	// ClientMemory is the memory that requests and answers take, in bytes.
	ClientMemory Gauge
	// DoorRefused counts connections, heads and bodies refused because of the limits of the process,
	// DoorEvicted connections and requests that had to give way.
	DoorRefused, DoorEvicted Counter
	// LateAnswers counts responses dropped because nothing was waiting for them any more.
	LateAnswers Counter
	// WrongAnswers counts responses dropped because they carried the ID of another request.
	WrongAnswers Counter
	// Fences counts fence calls by result.
	Fences *CounterVec[string]
	// LedgerEntries is the number of requests in the ledger.
	LedgerEntries Gauge
	// LedgerBytes is the total size of the recorded responses in bytes.
	LedgerBytes Gauge
	// Running is the number of requests being executed by the attached backend servers.
	Running Gauge
	// Queued is the number of requests in the admission queues.
	Queued Gauge
	// ObservationsDropped counts observations dropped because the queue of the control
	// goroutine was full.
	ObservationsDropped Counter
	// SpansDropped counts spans that were not exported.
	SpansDropped Counter
	// InvariantViolations counts failed assertions by invariant name.
	InvariantViolations *CounterVec[string]
	// Transitions counts health changes of backend servers by new state.
	Transitions *CounterVec[string]
	// GossipSent and GossipReceived count gossip bytes.
	GossipSent, GossipReceived Counter
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion Gauge
	// ConfirmationAge is the time in ms since the configuration in force was last proved to be the
	// newest; Confirmations counts these proofs by source, "store" or "node".
	ConfirmationAge Gauge
	Confirmations   *CounterVec[string]
	// PlatformCalls counts calls to the platform by operation and result.
	PlatformCalls *CounterVec[PlatformCall]
	// StoreEra is the number of times that the store has been restored from a copy, as it tells.
	StoreEra Gauge
	// TableReads counts reads of whole tables of the store by reason: the first one of the process, or
	// why the changes could not be followed.
	TableReads *CounterVec[string]
	// MemberRowsIgnored counts rows of whole reads of the members table that differ from what the node
	// keeps because it takes its own for newer.
	MemberRowsIgnored Counter
	// CutOff counts requests interrupted by a node shutdown or a broken connection.
	CutOff Counter

	// RequestTime is the time from the arrival of a caller's request to the end
	// of its response.
	RequestTime *Histogram
	// ServerTime is the time from dispatch to the end of the server's response.
	ServerTime *Histogram
	// AdmissionTime is the time a request waits for a slot.
	AdmissionTime *Histogram
	// TickTime is the duration of one control tick.
	TickTime *Histogram
	// PlatformTime is the duration of one call to the platform.
	PlatformTime *Histogram
}

func newMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{
		Requests:            newCounterVec(resultLabels, knownResults()...),
		HostRequests:        newCounterVec(resultLabels, knownResults()...),
		Fences:              newCounterVec(oneLabel("result")),
		QuotaCalls:          newCounterVec(oneLabel("result")),
		QuotaRefused:        newCounterVec(oneLabel("reason")),
		InvariantViolations: newCounterVec(oneLabel("invariant")),
		Transitions:         newCounterVec(oneLabel("state")),
		Confirmations:       newCounterVec(oneLabel("source")),
		TableReads:          newCounterVec(oneLabel("reason")),
		PlatformCalls:       newCounterVec(platformLabels),
	}
	if err := m.addHistograms(meter); err != nil {
		return nil, trace.Wrap(err)
	}
	return m, trace.Wrap(m.registerSeries(meter))
}

func (m *Metrics) addHistograms(meter metric.Meter) error {
	for _, h := range []struct {
		target            **Histogram
		name, description string
	}{
		{&m.RequestTime, "tarragon_request_duration", "Time from the arrival of a caller's request to the end of its response."},
		{&m.ServerTime, "tarragon_server_duration", "Time from dispatch to the end of the server's response."},
		{&m.AdmissionTime, "tarragon_admission_wait", "Time a request waits for a slot."},
		{&m.TickTime, "tarragon_control_tick", "Duration of one control tick."},
		{&m.PlatformTime, "tarragon_platform_call", "Duration of one call to the platform."},
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
