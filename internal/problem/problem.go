package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// Write answers a request with an error. id may be empty.
func Write(w http.ResponseWriter, id string, err *codes.Error) {
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
		RequestID: id,
	})
	if encodeErr != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", api.ProblemContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(api.HeaderCode, strconv.Itoa(err.Code.Number))
	header.Set(api.HeaderOutcome, string(err.Code.Outcome))
	if id != "" {
		header.Set(api.HeaderRequestID, id)
	}
	w.WriteHeader(status)
	// The status line is out already; a broken connection shows at the caller.
	_, _ = w.Write(body)
}
