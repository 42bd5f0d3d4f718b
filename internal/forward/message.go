package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Request is one attempt to run a caller's request at a backend server.
type Request struct {
	// ID identifies the caller's request on every hop.
	ID string
	// Attempt numbers the tries of the entry node, from 1.
	Attempt int
	// Service, Server and ServerIncarnation name the target.
	Service           string
	Server            string
	ServerIncarnation uint64
	// Method, Path (with query), Header and Body are the caller's.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent requests may run more than once.
	Idempotent bool
	// Key is the bound idempotency key; empty if there is none.
	Key string
	// CallerKey is the key as the caller sent it, passed on to the server.
	CallerKey string
	// Account and Weight decide the share of the queue. Requests without an
	// account share by Caller, the IP address of the caller.
	Account string
	Caller  string
	Weight  float64
	// Deadline is the time until which the caller waits.
	Deadline time.Time
}

// AttemptID returns the ID of this attempt in the ledger of the host.
func (r *Request) AttemptID() string {
	return "r/" + r.ID + "/" + strconv.Itoa(r.Attempt)
}

// ShareKey returns what the fair shares of the queue are divided by.
func (r *Request) ShareKey() string {
	if r.Account != "" {
		return "account/" + r.Account
	}
	return "caller/" + r.Caller
}

// Load is the load of a backend server as its host counts it.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Answer is an answer of a backend server.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Rest holds what follows Body when the answer exceeds the buffer; nil if
	// Body is whole. The reader must close it.
	Rest io.ReadCloser `json:"-"`
	// Replayed marks a kept answer.
	Replayed bool `json:"replayed,omitempty"`
}

// Reply is the result of one hop: an answer or a coded error, and the load.
type Reply struct {
	Answer *Answer
	Err    *codes.Error
	Load   Load
	// HasLoad tells that Load was reported.
	HasLoad bool
	// Fenced tells that the host guarantees that a keyed request that was
	// refused never runs under its key.
	Fenced bool
}

// Refuse returns a reply with an error.
func Refuse(err error) *Reply { return &Reply{Err: codes.Of(err)} }

// Size returns the memory of the reply in bytes.
func (r *Reply) Size() int64 {
	if r.Answer == nil {
		return 0
	}
	size := int64(len(r.Answer.Body))
	for name, values := range r.Answer.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return size
}

// Replay returns the reply marked as a kept one.
func (r *Reply) Replay() *Reply {
	replay := *r
	if r.Answer != nil {
		answer := *r.Answer
		answer.Replayed = true
		replay.Answer = &answer
	}
	return &replay
}

// NotRun reports whether the reply promises that this attempt did not run and
// never will.
func (r *Reply) NotRun() bool {
	return r.Err != nil && r.Err.Code.Outcome == codes.NotRun
}

// Close releases the connection behind an answer that is not read to its end.
func (r *Reply) Close() {
	if r.Answer != nil && r.Answer.Rest != nil {
		r.Answer.Rest.Close()
	}
}
