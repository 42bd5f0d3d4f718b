package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// writeProblem sends err as a problem-details response. An error without a
// result code is sent with code Internal.
func writeProblem(w http.ResponseWriter, err error) {
	coded := codes.FromError(err)
	status := coded.Code.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	problem := api.Problem{
		Type:      fmt.Sprintf("docs/codes.md#%d", coded.Code.Number),
		Title:     coded.Code.Name,
		Status:    status,
		Detail:    errorDetail(coded),
		Code:      coded.Code.Number,
		Outcome:   string(coded.Code.Outcome),
		Action:    coded.Code.Action,
		RequestID: uuid.NewString(),
	}
	header := w.Header()
	header.Set("Content-Type", api.ProblemContentType)
	header.Set(api.HeaderCode, strconv.Itoa(problem.Code))
	header.Set(api.HeaderOutcome, problem.Outcome)
	header.Set(api.HeaderRequestID, problem.RequestID)
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem)
}

// errorDetail returns the errorDetail of an error with its cause.
func errorDetail(e *codes.Error) string {
	if e.Cause == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Cause.Error()
}
