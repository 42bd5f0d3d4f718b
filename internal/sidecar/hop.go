package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Headers of a hop between two nodes. The names are short because bandwidth between data centres
// is expensive.
const (
	// headerHop carries the hopMetadata of the request.
	headerHop = "T-Hop"
	// headerLoad carries the load of the server beside the responding node.
	headerLoad = "T-Load"
	// headerRefused carries the reason why the request did not run and will not run at this node.
	headerRefused = "T-Refused"
	// headerFailed tells that the request was sent to the server but no complete response was
	// received.
	headerFailed = "T-Failed"
	// headerDeparted names the server incarnation beside a node that announced its departure: in a
	// reply, the one that responded; in a hop, the last one that the entry knows of.
	headerDeparted = "T-Departed"
	// headerState marks a request for the state of a node instead of a hop; its value is an
	// encoded stateRequest.
	headerState = "T-State"
)

// hopMetadata is what the host needs to know about a request in addition to the HTTP request
// itself.
type hopMetadata struct {
	remaining  time.Duration
	objective  time.Duration
	priority   int
	idempotent bool
	// queueLimit is how long the request may wait for a slot; 0 if it must not wait.
	queueLimit time.Duration
	caller     string
	service    string
	// version is the version of the configuration in force at the entry node, and inbound the
	// address from which it can be fetched.
	version uint64
	inbound string
	// retry, firstHop and retryShare correspond to the fields Retry, FirstAttempt and RetryShare
	// of gate.Request.
	retry, firstHop bool
	retryShare      float64
	// call is set if a running request of the caller's server waits for this one.
	call bool
	// account is the client account of the request.
	account AccountName
	// kind identifies the route, for the division of a server between kinds of requests.
	kind uint32
}

// A hop has hopMetadataFields fields, and accountFields more if accounts are in use.
const (
	hopMetadataFields = 14
	accountFields     = 1
)

// scaled returns a fraction as a number of steps of 1/shareScale. Truncation would lose a step of
// numbers that a float64 holds only nearly.
func scaled(fraction float64) int64 { return int64(math.Round(fraction * shareScale)) }

// shareScale is the resolution of fractions and probabilities in hop headers.
const shareScale = 1000

func (t hopMetadata) encode() string {
	text := fmt.Sprintf("%d;%d;%d;%d;%d;%d;%d;%d;%d;%s;%s;%d;%s;%x", t.remaining.Milliseconds(), t.objective.Milliseconds(),
		t.queueLimit.Milliseconds(), t.priority, boolToInt(t.idempotent), boolToInt(t.retry), boolToInt(t.firstHop),
		scaled(t.retryShare), boolToInt(t.call), t.caller, t.service, t.version, t.inbound, t.kind)
	if t.account.InUse {
		text += ";" + url.QueryEscape(t.account.Name)
	}
	return text
}

func decodeHopMetadata(text string) (hopMetadata, error) {
	fields := strings.Split(text, ";")
	if len(fields) != hopMetadataFields && len(fields) != hopMetadataFields+accountFields {
		return hopMetadata{}, trace.BadParameter("hop metadata must have %d fields, or %d with an account, got %d",
			hopMetadataFields, hopMetadataFields+accountFields, len(fields))
	}
	var numbers [9]int64
	for i := range numbers {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return hopMetadata{}, trace.BadParameter("hop metadata: field %d is not a number", i)
		}
		numbers[i] = n
	}
	version, err := strconv.ParseUint(fields[11], 10, 64)
	if err != nil {
		return hopMetadata{}, trace.BadParameter("hop metadata: the configuration version is not a number")
	}
	kind, err := strconv.ParseUint(fields[13], 16, 32)
	if err != nil {
		return hopMetadata{}, trace.BadParameter("hop metadata: the kind of the request is not a number")
	}
	var account AccountName
	if len(fields) > hopMetadataFields {
		name, err := url.QueryUnescape(fields[hopMetadataFields])
		if err != nil {
			return hopMetadata{}, trace.BadParameter("hop metadata: the account is not encoded")
		}
		account = AccountName{InUse: true, Name: name}
	}
	return hopMetadata{
		remaining:  time.Duration(numbers[0]) * time.Millisecond,
		objective:  time.Duration(numbers[1]) * time.Millisecond,
		queueLimit: time.Duration(numbers[2]) * time.Millisecond,
		priority:   int(numbers[3]),
		idempotent: numbers[4] == 1,
		retry:      numbers[5] == 1,
		firstHop:   numbers[6] == 1,
		retryShare: float64(numbers[7]) / shareScale,
		call:       numbers[8] == 1,
		caller:     fields[9],
		service:    fields[10],
		version:    version,
		inbound:    fields[12],
		kind:       uint32(kind),
		account:    account,
	}, nil
}

// loadReport is the load of a server and the configuration version of its node.
type loadReport struct {
	gate.Load
	version uint64
}

func (r loadReport) encode() string {
	numbers := []int64{
		int64(boolToInt(r.Open)), int64(r.Running), int64(r.Slots), scaled(r.FailureProbability),
		r.Service.Milliseconds(), int64(boolToInt(r.Cold)), r.TrialIn.Milliseconds(), int64(r.version),
	}
	numbers = append(numbers, int64(r.RetriesLeft), r.StopsIn.Milliseconds(), r.SinceLastUse.Milliseconds(),
		int64(r.CallPercent), r.WorkService.Milliseconds())
	if r.RateLimited() {
		numbers = append(numbers, max(r.RateInterval.Milliseconds(), 1), scaled(max(r.RateTokens, 0)))
	}
	var text []byte
	for i, n := range numbers {
		if i > 0 {
			text = append(text, ';')
		}
		text = strconv.AppendInt(text, n, 10)
	}
	return string(text) + encodeWaiting(r.Load)
}

// encodeWaiting returns the numbers of waiting requests by rank, without the zeros at the end.
func encodeWaiting(load gate.Load) string {
	var text strings.Builder
	for _, n := range load.Waiting[:load.WaitingRanks()] {
		text.WriteString("," + strconv.Itoa(n))
	}
	return text.String()
}

func decodeWaiting(fields []string) (waiting [gate.PriorityLevels]int, ok bool) {
	if len(fields) > len(waiting) {
		return waiting, false
	}
	for i, field := range fields {
		n, err := strconv.Atoi(field)
		if err != nil || n < 0 {
			return waiting, false
		}
		waiting[i] = n
	}
	return waiting, true
}

// A load report has loadReportFields numbers, rateFields more if the server limits the rate, and the
// queue if requests wait.
const (
	loadReportFields = 13
	rateFields       = 2
)

func decodeLoadReport(text string) (loadReport, bool) {
	text, queue, queued := strings.Cut(text, ",")
	fields := strings.Split(text, ";")
	if len(fields) != loadReportFields && len(fields) != loadReportFields+rateFields {
		return loadReport{}, false
	}
	var n [loadReportFields + rateFields]int64
	for i, field := range fields {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil || value < 0 {
			return loadReport{}, false
		}
		n[i] = value
	}
	r := loadReport{
		Load: gate.Load{
			Open:               n[0] == 1,
			Running:            int(n[1]),
			Slots:              int(n[2]),
			FailureProbability: float64(n[3]) / shareScale,
			Service:            time.Duration(n[4]) * time.Millisecond,
			Cold:               n[5] == 1,
			TrialIn:            time.Duration(n[6]) * time.Millisecond,
		},
		version: uint64(n[7]),
	}
	if queued {
		var ok bool
		if r.Waiting, ok = decodeWaiting(strings.Split(queue, ",")); !ok {
			return loadReport{}, false
		}
	}
	last := n[8:]
	r.RetriesLeft = int(last[0])
	r.StopsIn = time.Duration(last[1]) * time.Millisecond
	r.SinceLastUse = time.Duration(last[2]) * time.Millisecond
	r.CallPercent = int(last[3])
	r.WorkService = time.Duration(last[4]) * time.Millisecond
	r.RateInterval = time.Duration(last[5]) * time.Millisecond
	r.RateTokens = float64(last[6]) / shareScale
	return r, true
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// refusal tells why a host did not run a request.
type refusal struct {
	reason gate.Refusal
	// after is the time after which the host may accept the request.
	after time.Duration
}

func (r refusal) encode() string { return fmt.Sprintf("%d;%d", r.reason, r.after.Milliseconds()) }

func decodeRefusal(text string) (refusal, bool) {
	reason, after, _ := strings.Cut(text, ";")
	n, err := strconv.Atoi(reason)
	ms, afterErr := strconv.ParseInt(after, 10, 64)
	if err != nil || afterErr != nil || n < int(gate.Closed) || n > int(gate.RateLimited) {
		return refusal{}, false
	}
	return refusal{reason: gate.Refusal(n), after: time.Duration(ms) * time.Millisecond}, true
}

// stripHopHeaders removes the headers of a hop, so that neither callers nor servers can set them.
func stripHopHeaders(h http.Header) {
	for _, name := range []string{headerHop, headerLoad, headerRefused, headerFailed, headerDeparted, headerState, headerTarget, headerPermit} {
		delete(h, name)
	}
}
