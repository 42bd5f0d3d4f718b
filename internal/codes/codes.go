package codes

import (
	"errors"
	"fmt"
	"sort"
)

// Outcome tells what is known about the execution of a request.
type Outcome string

// The outcomes. NotRun is sent only when the request can never run afterwards
// either.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Code is one numbered result.
type Code struct {
	// Number is unique and never reused.
	Number int
	// Name is the short name, in lower case with hyphens.
	Name string
	// Status is the HTTP status that goes with the code; 0 if none does.
	Status int
	// Outcome is what the code promises about the request.
	Outcome Outcome
	// Meaning says what happened.
	Meaning string
	// Action says what the reader should do.
	Action string
}

// Error is a Code with the detail of one occurrence.
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

// Of returns the Error in the chain of err, or one of code Internal.
func Of(err error) *Error {
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

func define(number int, name string, status int, outcome Outcome, meaning, action string) Code {
	if _, taken := byNumber[number]; taken {
		panic(fmt.Sprintf("result code %d defined twice", number))
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
		"No backend server of the service can take the request.", "Try again after a short pause.")
	AccountLimit = define(1005, "account-limit", statusTooManyRequests, NotRun,
		"The client account exceeds its share.", "Slow down and try again.")
	Overloaded = define(1006, "overloaded", statusServiceUnavailable, NotRun,
		"The backend servers have no slot within the deadline.", "Try again after a short pause, or allow more time.")
	Leaving = define(1007, "leaving", statusServiceUnavailable, NotRun,
		"The node or backend server is leaving and takes no new work.", "Use another entry address.")
	NotReady = define(1008, "not-ready", statusServiceUnavailable, NotRun,
		"The node has no current view of the fleet.", "Use another entry address.")
	BodyTooLarge = define(1009, "body-too-large", statusRequestEntityTooLarge, NotRun,
		"The request body exceeds the configured limit.", "Send a smaller body.")
	DeadlinePassed = define(1010, "deadline-passed", statusGatewayTimeout, NotRun,
		"The deadline passed before the request was dispatched.", "Allow more time or try again.")
	RetryBudget = define(1011, "retry-budget", statusServiceUnavailable, NotRun,
		"The attempt was refused and the retry budget of the service is spent.", "Try again after a short pause.")
	ServerMoved = define(1012, "server-moved", statusServiceUnavailable, NotRun,
		"The host no longer has the addressed backend server or its incarnation.", "Try again.")
	ServerUnreachable = define(1013, "server-unreachable", statusServiceUnavailable, NotRun,
		"No connection to the backend server could be made.", "Try again after a short pause.")
	LedgerFull = define(1014, "ledger-full", statusServiceUnavailable, NotRun,
		"The host cannot record more non-idempotent requests.", "Try again after a short pause.")
	Fenced = define(1015, "fenced", statusServiceUnavailable, NotRun,
		"The request was fenced before it was dispatched.", "Send the request again with a new key.")
	ServerShed = define(1016, "server-shed", statusServiceUnavailable, NotRun,
		"The backend server shed the request before running it.", "Try again after a short pause.")
	Stale = define(1017, "stale", statusServiceUnavailable, NotRun,
		"The node was paused and refreshes its view first.", "Use another entry address.")
	HostUnreachable = define(1018, "host-unreachable", statusServiceUnavailable, NotRun,
		"No connection to the host node could be made.", "Try again after a short pause.")
	BodyMemory = define(1019, "body-memory", statusServiceUnavailable, NotRun,
		"The node holds as many request bodies as its memory limit allows.", "Try again after a short pause, or use another entry address.")
)

// Requests whose outcome is unknown or whose answer was lost.
var (
	AnswerLost = define(2001, "answer-lost", statusBadGateway, Unknown,
		"The request was dispatched and its answer was lost.", "Check whether it took effect before sending it again; with a key, repeat it with the same key.")
	DeadlineExceeded = define(2002, "deadline-exceeded", statusGatewayTimeout, Unknown,
		"The deadline passed while the request was running.", "As for answer-lost.")
	AnswerCut = define(2003, "answer-cut", statusBadGateway, Ran,
		"The backend server ran the request and its answer was cut or could not be kept.", "Read the result through the service.")
	WrongAnswer = define(2004, "wrong-answer", statusBadGateway, Unknown,
		"An answer carried the ID of another request and was dropped.", "As for answer-lost.")
	Internal = define(2999, "internal", statusInternalServerError, Unknown,
		"An unexpected error occurred.", "Report it with the request ID.")
)

// Idempotency keys.
var (
	KeyInvalid = define(3001, "key-invalid", statusBadRequest, NotRun,
		"The idempotency key is malformed or its MAC is wrong.", "Ask a node for a new key.")
	KeyExpired = define(3002, "key-expired", statusGone, Unknown,
		"The idempotency key has expired; a first use may have run.", "Check whether it took effect before using a new key.")
	KeyRunning = define(3003, "key-running", statusConflict, Unknown,
		"A request with this key is still running.", "Repeat it with the same key.")
	KeyReused = define(3004, "key-reused", statusUnprocessableEntity, NotRun,
		"The key was used for a different request.", "Use a new key for a new request.")
	KeyStoreDown = define(3005, "key-store-down", statusServiceUnavailable, NotRun,
		"A key chosen by the caller cannot be claimed while the platform's table is down.", "Ask a node for a key with POST /.well-known/tarragon/keys and use that.")
	KeyHostLost = define(3006, "key-host-lost", statusConflict, Unknown,
		"The host incarnation that the key is bound to is gone.", "Check whether it took effect before using a new key.")
)

// Peers and backend servers.
var (
	BadAnnouncement = define(6201, "bad-announcement", statusBadRequest, NotRun,
		"The announcement of a backend server is malformed.", "Correct the announcement; docs/backend-servers.md lists its fields.")
)
