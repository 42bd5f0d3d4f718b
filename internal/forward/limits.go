package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// BodyError returns the coded error of a request body that could not be read
// whole. Nothing of such a request has run.
func BodyError(err error) *codes.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return codes.BodyTooLarge.New("the body exceeds %d bytes", tooLarge.Limit)
	}
	var coded *codes.Error
	if errors.As(err, &coded) {
		return coded
	}
	return codes.BadRequest.Wrap(err, "the body did not arrive whole")
}

// LimitAnswer lets the writing of an answer fail from grace after the deadline
// on, so that a receiver that does not read holds no request, slot or memory
// for longer. An answer that is ready only after the deadline gets the grace
// from now on.
func LimitAnswer(w http.ResponseWriter, deadline time.Time, grace time.Duration) {
	end := time.Now()
	if deadline.After(end) {
		end = deadline
	}
	// Recorders of tests have no deadline. A closed connection shows when the
	// answer is written.
	_ = http.NewResponseController(w).SetWriteDeadline(end.Add(grace))
}
