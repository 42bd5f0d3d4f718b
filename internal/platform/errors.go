package platform

import "errors"

var (
	// ErrNotSent means that the call was not sent or was refused by the rate
	// limit, so that it had no effect. It also matches ErrUnavailable.
	ErrNotSent error = notSentError{}
	// ErrRateLimited means that the store refused the call by its rate limit,
	// before it took effect.
	ErrRateLimited = errors.New("platform store refused the call: rate limit exceeded")
	// ErrRejected means that the call is malformed. A retry cannot succeed.
	ErrRejected = errors.New("platform store rejected the call")
)

// notSentError makes ErrNotSent match ErrUnavailable.
type notSentError struct{}

// Error implements error.
func (notSentError) Error() string { return "platform store is unavailable, the call was not sent" }

// Unwrap returns ErrUnavailable.
func (notSentError) Unwrap() error { return ErrUnavailable }
