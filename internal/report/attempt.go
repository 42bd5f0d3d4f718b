package report

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Kind tells whether a request may run more than once.
type Kind string

// The kinds.
const (
	// Read is an idempotent request (GET).
	Read Kind = "read"
	// Write is a non-idempotent request (POST).
	Write Kind = "write"
)

// Check is the result of the caller's check of one response.
type Check string

// The checks.
const (
	// CheckOK is a complete response with the token of its request, or one with a result code.
	CheckOK Check = "ok"
	// CheckWrong is a response with the token of another request, or without one.
	CheckWrong Check = "wrong"
	// CheckTruncated is an incomplete response that HTTP delivered as a complete one.
	CheckTruncated Check = "truncated"
	// CheckCutOff is a response whose connection broke before its end. The caller sees the error, so it
	// does not count as truncated.
	CheckCutOff Check = "cut-off"
	// CheckLost is a request that was sent and got no response.
	CheckLost Check = "lost"
	// CheckNotSent is a request for which there was no connection or no key.
	CheckNotSent Check = "not-sent"
)

// Attempt is one attempt of a caller to send a request. A keyed request that is retried has several
// attempts with the same token and key.
type Attempt struct {
	// ID is the request ID in the response; empty if there was none.
	ID string
	// Token identifies the request and all its attempts.
	Token string
	// Key is the idempotency key; empty for none.
	Key string
	// Target is the name of the target in the mix.
	Target string
	Kind   Kind
	// Number counts the attempts of a request from 1.
	Number int
	// Entry is the address that the attempt was sent to.
	Entry  string
	SentAt time.Time
	// Latency is the time from sending to the end of the response.
	Latency time.Duration
	Outcome codes.Outcome
	// Code is the number of the result code; 0 for a response of the server.
	Code int
	// Status is the HTTP status; 0 if there was no response.
	Status int
	Check  Check
}

// isAnswer reports whether the attempt got a complete response of the server with the token of the
// request.
func (a Attempt) isAnswer() bool {
	return a.Outcome == codes.Ran && a.Code == 0 && a.Check == CheckOK
}

var columns = []string{"id", "token", "key", "target", "kind", "attempt", "entry", "sent_at",
	"latency_ms", "outcome", "code", "status", "check"}

func (a Attempt) row() []string {
	return []string{a.ID, a.Token, a.Key, a.Target, string(a.Kind), strconv.Itoa(a.Number), a.Entry,
		a.SentAt.UTC().Format(time.RFC3339Nano), strconv.FormatFloat(milliseconds(a.Latency), 'f', 3, 64),
		string(a.Outcome), strconv.Itoa(a.Code), strconv.Itoa(a.Status), string(a.Check)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// AttemptWriter writes attempts as CSV. It is not safe for concurrent use.
type AttemptWriter struct {
	csv *csv.Writer
}

// NewAttemptWriter writes the header row and returns the writer.
func NewAttemptWriter(w io.Writer) (*AttemptWriter, error) {
	writer := &AttemptWriter{csv: csv.NewWriter(w)}
	return writer, trace.Wrap(writer.csv.Write(columns))
}

// Write adds one attempt.
func (w *AttemptWriter) Write(a Attempt) error { return trace.Wrap(w.csv.Write(a.row())) }

// Flush writes buffered rows.
func (w *AttemptWriter) Flush() error {
	w.csv.Flush()
	return trace.Wrap(w.csv.Error())
}

// ReadAttempts calls visit for each attempt of a CSV. Errors name the line.
func ReadAttempts(r io.Reader, visit func(Attempt)) error {
	reader := csv.NewReader(r)
	reader.FieldsPerRecord = len(columns)
	reader.ReuseRecord = true
	header, err := reader.Read()
	if err != nil {
		return trace.BadParameter("header row: %v", err)
	}
	if !slices.Equal(header, columns) {
		return trace.BadParameter("the header row is %q, expected %q", header, columns)
	}
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return trace.BadParameter("%v", err)
		}
		attempt, err := parseRow(row)
		if err != nil {
			line, _ := reader.FieldPos(0)
			return trace.BadParameter("line %d: %v", line, err)
		}
		visit(attempt)
	}
}

func parseRow(row []string) (Attempt, error) {
	a := Attempt{ID: row[0], Token: row[1], Key: row[2], Target: row[3], Kind: Kind(row[4]), Entry: row[6],
		Outcome: codes.Outcome(row[9]), Check: Check(row[12])}
	if a.Token == "" {
		return a, errors.New("the token is empty")
	}
	if a.Kind != Read && a.Kind != Write {
		return a, fmt.Errorf("kind %q is neither read nor write", a.Kind)
	}
	if a.Outcome != codes.NotRun && a.Outcome != codes.Ran && a.Outcome != codes.Unknown {
		return a, fmt.Errorf("outcome %q is none of not-run, ran and unknown", a.Outcome)
	}
	var latency float64
	var errs [5]error
	a.Number, errs[0] = strconv.Atoi(row[5])
	a.SentAt, errs[1] = time.Parse(time.RFC3339Nano, row[7])
	latency, errs[2] = strconv.ParseFloat(row[8], 64)
	a.Code, errs[3] = strconv.Atoi(row[10])
	a.Status, errs[4] = strconv.Atoi(row[11])
	a.Latency = time.Duration(latency * float64(time.Millisecond))
	return a, errors.Join(errs[:]...)
}
