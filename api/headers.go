package api

// Headers that callers send.
const (
	// HeaderDeadline carries the time the caller is willing to wait, in milliseconds.
	HeaderDeadline = "Tarragon-Deadline"
	// HeaderIdempotencyKey carries a key under which a request runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAccount names the client account on whose behalf the request is made.
	HeaderAccount = "Tarragon-Account"
)

// Headers that answers carry.
const (
	// HeaderRequestID identifies one request on every hop; the answer echoes it.
	HeaderRequestID = "Tarragon-Request-Id"
	// HeaderCode is the number of the result code of a refusal or failure.
	HeaderCode = "Tarragon-Code"
	// HeaderOutcome is one of "not-run", "ran" and "unknown".
	HeaderOutcome = "Tarragon-Outcome"
	// HeaderReplayed is "true" on a recorded answer that is sent again for a repeated key.
	HeaderReplayed = "Tarragon-Replayed"
)

// Headers between a host node and a backend server.
const (
	// HeaderServerKey carries the idempotency key to the backend server. It is
	// not named Idempotency-Key because net/http repeats requests that carry
	// that header when a kept connection breaks.
	HeaderServerKey = "Tarragon-Key"
	// HeaderNotRun marks an answer of a backend server that shed the request
	// before running any of it. Its value is "1".
	HeaderNotRun = "Tarragon-Not-Run"
	// HeaderServerIncarnation is the incarnation the host addresses. A server
	// with another incarnation refuses with HeaderNotRun.
	HeaderServerIncarnation = "Tarragon-Server-Incarnation"
)
