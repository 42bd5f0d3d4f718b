package sidecar

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Headers of a hop between two nodes. Their names are short, because bytes
// between data centres are dear.
const (
	// headerHop carries the terms of the request.
	headerHop = "T-Hop"
	// headerLoad carries the load of the server beside the answering node.
	headerLoad = "T-Load"
	// headerRefused says why the request did not run and never will.
	headerRefused = "T-Refused"
	// headerFailed says that the request was sent to the server and no whole
	// answer came.
	headerFailed = "T-Failed"
	// headerState asks for the state of the node instead of a hop, and says for
	// how much of it.
	headerState = "T-State"
)

// terms are what the host must know of a request beside the request itself.
type terms struct {
	left       time.Duration
	objective  time.Duration
	priority   int
	idempotent bool
	// patience is how long the request may wait for a slot; 0 for not at all.
	patience time.Duration
	caller   string
	service  string
	// version is that of the configuration in force at the entry, and inbound
	// the address at which it can be asked for.
	version uint64
	inbound string
	// repeat, first and repeatShare are those of gate.Work.
	repeat, first bool
	repeatShare   float64
}

const termFields = 12

// shareScale is the resolution of the shares and probabilities in a hop.
const shareScale = 1000

func (t terms) encode() string {
	return fmt.Sprintf("%d;%d;%d;%d;%d;%d;%d;%d;%s;%s;%d;%s", t.left.Milliseconds(), t.objective.Milliseconds(),
		t.patience.Milliseconds(), t.priority, bit(t.idempotent), bit(t.repeat), bit(t.first),
		int(t.repeatShare*shareScale), t.caller, t.service, t.version, t.inbound)
}

func decodeTerms(text string) (terms, error) {
	fields := strings.Split(text, ";")
	if len(fields) != termFields {
		return terms{}, trace.BadParameter("a hop has %d fields, not %d", termFields, len(fields))
	}
	var numbers [8]int64
	for i := range numbers {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return terms{}, trace.BadParameter("field %d of a hop is no number", i)
		}
		numbers[i] = n
	}
	version, err := strconv.ParseUint(fields[10], 10, 64)
	if err != nil {
		return terms{}, trace.BadParameter("the configuration version of a hop is no number")
	}
	return terms{
		left:        time.Duration(numbers[0]) * time.Millisecond,
		objective:   time.Duration(numbers[1]) * time.Millisecond,
		patience:    time.Duration(numbers[2]) * time.Millisecond,
		priority:    int(numbers[3]),
		idempotent:  numbers[4] == 1,
		repeat:      numbers[5] == 1,
		first:       numbers[6] == 1,
		repeatShare: float64(numbers[7]) / shareScale,
		caller:      fields[8],
		service:     fields[9],
		version:     version,
		inbound:     fields[11],
	}, nil
}

// report is the load of a server and the configuration version of its node.
type report struct {
	gate.Load
	version uint64
}

func (r report) encode() string {
	numbers := []int64{
		int64(bit(r.Open)), int64(r.Running), int64(r.Slots), int64(r.FailureProbability * shareScale),
		r.Service.Milliseconds(), int64(bit(r.Cold)), r.TrialIn.Milliseconds(), int64(r.version),
	}
	for _, waiting := range r.Waiting {
		numbers = append(numbers, int64(waiting))
	}
	numbers = append(numbers, int64(r.RetriesLeft), r.StopsIn.Milliseconds(), r.SinceLastResult.Milliseconds())
	var text []byte
	for i, n := range numbers {
		if i > 0 {
			text = append(text, ';')
		}
		text = strconv.AppendInt(text, n, 10)
	}
	return string(text)
}

const reportFields = 11 + gate.PriorityLevels

func decodeReport(text string) (report, bool) {
	fields := strings.Split(text, ";")
	if len(fields) != reportFields {
		return report{}, false
	}
	var n [reportFields]int64
	for i, field := range fields {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil || value < 0 {
			return report{}, false
		}
		n[i] = value
	}
	r := report{
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
	for i := range r.Waiting {
		r.Waiting[i] = int(n[8+i])
	}
	r.RetriesLeft = int(n[reportFields-3])
	r.StopsIn = time.Duration(n[reportFields-2]) * time.Millisecond
	r.SinceLastResult = time.Duration(n[reportFields-1]) * time.Millisecond
	return r, true
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// refusal is why a host did not run a request.
type refusal struct {
	reason gate.Refusal
	// after is the time after which the host may take the request.
	after time.Duration
}

func (r refusal) encode() string { return fmt.Sprintf("%d;%d", r.reason, r.after.Milliseconds()) }

func decodeRefusal(text string) (refusal, bool) {
	reason, after, _ := strings.Cut(text, ";")
	n, err := strconv.Atoi(reason)
	ms, err2 := strconv.ParseInt(after, 10, 64)
	if err != nil || err2 != nil || n < int(gate.Closed) || n > int(gate.RetryBudgetExhausted) {
		return refusal{}, false
	}
	return refusal{reason: gate.Refusal(n), after: time.Duration(ms) * time.Millisecond}, true
}

// stripHop removes the headers of a hop, so that neither callers nor servers
// can send them.
func stripHop(h http.Header) {
	for _, name := range []string{headerHop, headerLoad, headerRefused, headerFailed, headerState, headerTarget} {
		delete(h, name)
	}
}
