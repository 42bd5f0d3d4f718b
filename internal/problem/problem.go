package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// Write sends err as the response to a request. requestID may be empty.
func Write(w http.ResponseWriter, requestID string, err *codes.Error) {
	status := err.Code.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	body, encodeErr := json.Marshal(api.Problem{
		Type:      "codes.md#" + strconv.Itoa(err.Code.Number),
		Title:     err.Code.Name,
		Status:    status,
		Detail:    err.Detail,
		Code:      err.Code.Number,
		Outcome:   string(err.Code.Outcome),
		Action:    err.Code.Action,
		RequestID: requestID,
	})
	if encodeErr != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", api.ProblemContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(api.HeaderCode, strconv.Itoa(err.Code.Number))
	header.Set(api.HeaderOutcome, string(err.Code.Outcome))
	if requestID != "" {
		header.Set(api.HeaderRequestID, requestID)
	}
	w.WriteHeader(status)
	// The status line has been sent, so a write error cannot be reported; the caller sees the broken connection.
	_, _ = w.Write(body)
}
