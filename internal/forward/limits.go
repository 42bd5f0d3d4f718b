package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// BodyError returns the coded error for a request body that could not be read completely. Such a
// request has not run.
func BodyError(err error) *codes.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return codes.BodyTooLarge.New("the body exceeds %d bytes", tooLarge.Limit)
	}
	var coded *codes.Error
	if errors.As(err, &coded) {
		return coded
	}
	return codes.BadRequest.Wrap(err, "the body is incomplete")
}

// LimitResponseWrite sets the write deadline of a response to grace after the request's deadline,
// so that a receiver that does not read cannot hold a request, slot or memory for longer. For a
// response that is ready only after the deadline, grace starts now.
func LimitResponseWrite(w http.ResponseWriter, deadline time.Time, grace time.Duration) {
	end := time.Now()
	if deadline.After(end) {
		end = deadline
	}
	// The error is ignored: test recorders do not support write deadlines, and a closed
	// connection is noticed when the response is written.
	_ = http.NewResponseController(w).SetWriteDeadline(end.Add(grace))
}
