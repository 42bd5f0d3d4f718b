package codes

import (
	"errors"
	"fmt"
	"sort"
)

// Outcome says whether a request was executed, as far as the system knows.
type Outcome string

// The outcomes. NotRun also guarantees that the request will not run later.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Code is a numbered result code.
type Code struct {
	// Number is unique. The number of a removed code is never reused.
	Number int
	// Name is the short name, in lower case with hyphens.
	Name string
	// Status is the HTTP status sent with the code, or 0 for codes that are not sent over HTTP.
	Status int
	// Outcome is the guarantee that the code gives about the request.
	Outcome Outcome
	// Meaning says what happened.
	Meaning string
	// Action says what the caller or operator should do.
	Action string
}

// Error is one occurrence of a Code.
type Error struct {
	Code   Code
	Detail string
	Cause  error
}

// New returns an Error for one occurrence of c.
func (c Code) New(format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error for one occurrence of c caused by err.
func (c Code) Wrap(err error, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...), Cause: err}
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code.Number, e.Code.Name, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an Error with the same code.
func (e *Error) Is(target error) bool {
	var other *Error
	return errors.As(target, &other) && other.Code.Number == e.Code.Number
}

// FromError returns the first Error in the chain of err. It wraps an error without a
// code in an Error of code Internal.
func FromError(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return Internal.Wrap(err, "unexpected error")
}

// ByNumber returns the code with the given number.
func ByNumber(number int) (Code, bool) {
	code, ok := byNumber[number]
	return code, ok
}

// All returns every code in ascending order of number.
func All() []Code {
	list := make([]Code, 0, len(byNumber))
	for _, code := range byNumber {
		list = append(list, code)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

var byNumber = map[int]Code{}

// define registers a code. It panics if the number is already in use.
func define(number int, name string, status int, outcome Outcome, meaning, action string) Code {
	if _, taken := byNumber[number]; taken {
		panic(fmt.Sprintf("result code %d is defined twice", number))
	}
	code := Code{Number: number, Name: name, Status: status, Outcome: outcome, Meaning: meaning, Action: action}
	byNumber[number] = code
	return code
}

// Requests that were not run.
var (
	BadRequest = define(1001, "bad-request", statusBadRequest, NotRun,
		"A header or the request line is malformed.", "Correct the request; docs/callers.md lists the headers.")
	NoRoute = define(1002, "no-route", statusNotFound, NotRun,
		"No route matches the host and path.", "Check the address, or ask the operators for a route.")
	UnknownAccount = define(1003, "unknown-account", statusForbidden, NotRun,
		"The client account is not configured.", "Use a configured account.")
	NoServer = define(1004, "no-server", statusServiceUnavailable, NotRun,
		"No backend server of the service can accept the request.", "Try again after a short pause.")
	AccountLimit = define(1005, "account-limit", statusTooManyRequests, NotRun,
		"The client account exceeds its request rate, at the entry node or over all nodes.", "Send the request again after the time in Retry-After; reduce the request rate.")
	Overloaded = define(1006, "overloaded", statusServiceUnavailable, NotRun,
		"No slot on a backend server became free within the deadline.", "Try again after a short pause, or set a longer deadline.")
	Leaving = define(1007, "leaving", statusServiceUnavailable, NotRun,
		"The node or backend server is leaving the fleet and accepts no new requests.", "Use another entry address.")
	NotReady = define(1008, "not-ready", statusServiceUnavailable, NotRun,
		"The node has no current view of the fleet.", "Use another entry address.")
	BodyTooLarge = define(1009, "body-too-large", statusRequestEntityTooLarge, NotRun,
		"The request body exceeds the configured limit.", "Send a smaller body.")
	HeadTooLarge = define(1030, "head-too-large", statusHeaderTooLarge, NotRun,
		"The request has too many header fields to be forwarded.", "Send fewer header fields.")
	DeadlinePassed = define(1010, "deadline-passed", statusGatewayTimeout, NotRun,
		"The deadline passed before the request was dispatched.", "Set a longer deadline or try again.")
	RetryBudget = define(1011, "retry-budget", statusServiceUnavailable, NotRun,
		"The attempt was refused and the retry budget of the service is exhausted.", "Try again after a short pause.")
	ServerMoved = define(1012, "server-moved", statusServiceUnavailable, NotRun,
		"The host no longer has the addressed backend server or its incarnation.", "Try again.")
	ServerUnreachable = define(1013, "server-unreachable", statusServiceUnavailable, NotRun,
		"No connection to the backend server could be opened.", "Try again after a short pause.")
	LedgerFull = define(1014, "ledger-full", statusServiceUnavailable, NotRun,
		"The host node's ledger has no room to record another non-idempotent request.", "Try again after a short pause.")
	Fenced = define(1015, "fenced", statusServiceUnavailable, NotRun,
		"The request was fenced before it was dispatched.", "Send the request again with a new key.")
	ServerShed = define(1016, "server-shed", statusServiceUnavailable, NotRun,
		"The backend server shed the request before running it.", "Try again after a short pause.")
	Stale = define(1017, "stale", statusServiceUnavailable, NotRun,
		"The node was paused and is refreshing its view of the fleet.", "Use another entry address.")
	HostUnreachable = define(1018, "host-unreachable", statusServiceUnavailable, NotRun,
		"No connection to the host node could be opened.", "Try again after a short pause.")
	BodyMemory = define(1019, "body-memory", statusServiceUnavailable, NotRun,
		"The request bodies held by the node have reached its memory limit.", "Try again after a short pause, or use another entry address.")
	UnknownKey = define(1020, "unknown-key", statusUnauthorized, NotRun,
		"The route needs an account key, and the configuration in force does not contain the one that was sent.", "Send a current key of the client account.")
	KeysUnconfirmed = define(1021, "keys-unconfirmed", statusServiceUnavailable, NotRun,
		"The node has not heard for too long whether account keys were withdrawn.", "Use another entry address, or try again after a short pause.")
	AccountUndecided = define(1024, "account-undecided", statusServiceUnavailable, NotRun,
		"The node does not reach the nodes that hold the credit of the client account.", "Use another entry address, or try again after a short pause.")
)

// Requests whose outcome is unknown or whose answer was lost.
var (
	AnswerLost = define(2001, "answer-lost", statusBadGateway, Unknown,
		"The request was dispatched, but its answer was lost.", "Check whether it took effect before sending it again; with a key, repeat it with the same key.")
	DeadlineExceeded = define(2002, "deadline-exceeded", statusGatewayTimeout, Unknown,
		"The deadline passed while the request was running.", "Proceed as for answer-lost (2001).")
	AnswerCut = define(2003, "answer-cut", statusBadGateway, Ran,
		"The backend server ran the request, but its answer was truncated or could not be stored.", "Read the result through the service.")
	WrongAnswer = define(2004, "wrong-answer", statusBadGateway, Unknown,
		"An answer carried the ID of another request and was discarded.", "Proceed as for answer-lost (2001).")
	Internal = define(2999, "internal", statusInternalServerError, Unknown,
		"An unexpected error occurred.", "Report it with the request ID.")
)

// Idempotency keys.
var (
	KeyInvalid = define(3001, "key-invalid", statusBadRequest, NotRun,
		"The idempotency key is malformed or its MAC is wrong.", "Ask a node for a new key.")
	KeyExpired = define(3002, "key-expired", statusGone, Unknown,
		"The idempotency key has expired; an earlier request with it may have run.", "Check whether it took effect before using a new key.")
	KeyRunning = define(3003, "key-running", statusConflict, Unknown,
		"A request with this key is still running.", "Repeat it with the same key.")
	KeyReused = define(3004, "key-reused", statusUnprocessableEntity, NotRun,
		"The key was used for a different request.", "Use a new key for a new request.")
	KeyStoreDown = define(3005, "key-store-down", statusServiceUnavailable, NotRun,
		"A key chosen by the caller cannot be claimed while the platform's table is unavailable.", "Ask a node for a key with POST /.well-known/tarragon/keys and use that.")
	KeyHostLost = define(3006, "key-host-lost", statusConflict, Unknown,
		"The host process that the key is bound to no longer exists.", "Check whether it took effect before using a new key.")
)

// Peers and backend servers.
var (
	BadAnnouncement = define(6201, "bad-announcement", statusBadRequest, NotRun,
		"The announcement of a backend server is malformed.", "Correct the announcement; docs/backend-servers.md lists its fields.")
)
