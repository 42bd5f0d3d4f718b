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
	// Attempt numbers the attempts of the entry node, from 1.
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
	// Key is the idempotency key that a node issued; empty if there is none.
	Key string
	// CallerKey is the key as the caller sent it. It is forwarded to the server.
	CallerKey string
	// Account and Weight determine the fair share of the queue. Requests without an account
	// share by Caller, the IP address of the caller.
	Account string
	Caller  string
	Weight  float64
	// Deadline is the time until which the caller waits for the response.
	Deadline time.Time
}

// AttemptID returns the ID of this attempt in the host's ledger.
func (r *Request) AttemptID() string {
	return "r/" + r.ID + "/" + strconv.Itoa(r.Attempt)
}

// FairShareKey returns the key of the flow that this request belongs to in the fair queue.
func (r *Request) FairShareKey() string {
	if r.Account != "" {
		return "account/" + r.Account
	}
	return "caller/" + r.Caller
}

// Load is the number of running and queued requests of a backend server, as its host counts them.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Response is the response of a backend server.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Remainder reads the bytes that follow Body if the response exceeds the buffer limit; nil
	// if Body is complete. Reply.Close closes it.
	Remainder io.ReadCloser `json:"-"`
	// Replayed marks a stored response that is returned again.
	Replayed bool `json:"replayed,omitempty"`
}

// Reply is the result of one hop: a response or a coded error, and the load.
type Reply struct {
	Response *Response
	Err      *codes.Error
	Load     Load
	// HasLoad reports whether the host sent Load.
	HasLoad bool
	// Fenced reports whether the host guarantees that a refused request with a key never runs
	// under that key.
	Fenced bool
}

// ErrorReply returns a reply with the coded error of err.
func ErrorReply(err error) *Reply { return &Reply{Err: codes.FromError(err)} }

// Size returns the size of the response body and headers in bytes.
func (r *Reply) Size() int64 {
	if r.Response == nil {
		return 0
	}
	size := int64(len(r.Response.Body))
	for name, values := range r.Response.Header {
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return size
}

// Replay returns a copy of the reply whose response is marked as replayed.
func (r *Reply) Replay() *Reply {
	replay := *r
	if r.Response != nil {
		response := *r.Response
		response.Replayed = true
		replay.Response = &response
	}
	return &replay
}

// NotRun reports whether the reply guarantees that this attempt did not run and never will.
func (r *Reply) NotRun() bool {
	return r.Err != nil && r.Err.Code.Outcome == codes.NotRun
}

// Close releases the connection of a response that is not read to its end.
func (r *Reply) Close() {
	if r.Response != nil && r.Response.Remainder != nil {
		r.Response.Remainder.Close()
	}
}
