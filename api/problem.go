package api

// ProblemContentType is the media type of Problem (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is the problem-details body (RFC 9457) of every error response.
type Problem struct {
	// Type is a URI reference to the entry of the code in docs/codes.md.
	Type string `json:"type"`
	// Title is the name of the code.
	Title string `json:"title"`
	// Status repeats the HTTP status.
	Status int `json:"status"`
	// Detail explains this occurrence of the error.
	Detail string `json:"detail,omitempty"`
	// Code is the numeric result code.
	Code int `json:"code"`
	// Outcome is one of "not-run", "ran" and "unknown".
	Outcome string `json:"outcome"`
	// Action says what the caller or operator should do.
	Action string `json:"action"`
	// RequestID identifies the request in logs and traces.
	RequestID string `json:"request_id,omitempty"`
}
