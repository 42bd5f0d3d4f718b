package api

// Request headers sent by callers.
const (
	// HeaderDeadline is the time the caller is willing to wait, in milliseconds.
	HeaderDeadline = "Tarragon-Deadline"
	// HeaderIdempotencyKey is a key under which a request runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAccount is the ID of the client account on whose behalf the request is made.
	HeaderAccount = "Tarragon-Account"
)

// Response headers sent to callers.
const (
	// HeaderRequestID identifies a request on every hop; the response repeats it.
	HeaderRequestID = "Tarragon-Request-Id"
	// HeaderCode is the number of the result code of a refusal or failure.
	HeaderCode = "Tarragon-Code"
	// HeaderOutcome is one of "not-run", "ran" and "unknown".
	HeaderOutcome = "Tarragon-Outcome"
	// HeaderReplayed is "true" on a stored response that is replayed for a repeated key.
	HeaderReplayed = "Tarragon-Replayed"
)

// Headers between a host node and a backend server.
const (
	// HeaderServerKey carries the idempotency key to the backend server. It is
	// not named Idempotency-Key because net/http retries requests with that
	// header when a keep-alive connection breaks.
	HeaderServerKey = "Tarragon-Key"
	// HeaderNotRun marks the response of a backend server that shed the request
	// before running any part of it. Its value is "1".
	HeaderNotRun = "Tarragon-Not-Run"
	// HeaderServerIncarnation is the incarnation of the backend server that the
	// request is meant for. A server with another incarnation rejects the request
	// with HeaderNotRun.
	HeaderServerIncarnation = "Tarragon-Server-Incarnation"
)
