package platform

import "errors"

var (
	// ErrNotSent says that the call did not reach the store, so that nothing
	// took effect. It also matches ErrUnavailable.
	ErrNotSent error = notSentError{}
	// ErrRateLimited says that the store refused the call for its rate, before
	// anything took effect.
	ErrRateLimited = errors.New("platform store refuses calls above its rate")
	// ErrRejected says that the store found the call malformed. A repeat
	// cannot succeed.
	ErrRejected = errors.New("platform store rejected the call")
)

// notSentError makes ErrNotSent match ErrUnavailable.
type notSentError struct{}

// Error implements error.
func (notSentError) Error() string { return "platform store is unavailable, the call was not sent" }

// Unwrap returns ErrUnavailable.
func (notSentError) Unwrap() error { return ErrUnavailable }
