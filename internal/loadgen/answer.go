package loadgen

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

// parseResult reads the result code and the outcome from the headers of a response. A response without
// a code comes from the backend server, which ran the request. The outcome is unknown if the code or
// the outcome is invalid.
func parseResult(header http.Header) (int, codes.Outcome) {
	text := header.Get(api.HeaderCode)
	outcome := codes.Outcome(header.Get(api.HeaderOutcome))
	known := outcome == codes.NotRun || outcome == codes.Ran || outcome == codes.Unknown
	if text == "" {
		if outcome == "" {
			return 0, codes.Ran
		}
		if known {
			return 0, outcome
		}
		return 0, codes.Unknown
	}
	code, err := strconv.Atoi(text)
	if err != nil || code < 0 || !known {
		return max(code, 0), codes.Unknown
	}
	return code, outcome
}

// responseBody is the JSON body that backend servers return.
type responseBody struct {
	Token   *string `json:"token"`
	Padding string  `json:"padding"`
}

// checkResponse checks a body that was read to its end. Refusals carry no token. An error response of
// the server may lack the token, but must not carry the token of another request.
func checkResponse(status, code int, body []byte, p plannedRequest) report.Check {
	if code != 0 {
		return report.CheckOK
	}
	success := status/100 == 2
	var answer responseBody
	if err := json.Unmarshal(body, &answer); err != nil {
		if success {
			return report.CheckTruncated
		}
		return report.CheckOK
	}
	switch {
	case answer.Token == nil && !success:
		return report.CheckOK
	case answer.Token == nil || *answer.Token != p.token:
		return report.CheckWrong
	case success && len(answer.Padding) < p.target.Padding:
		return report.CheckTruncated
	}
	return report.CheckOK
}
