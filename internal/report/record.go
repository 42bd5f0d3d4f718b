package report

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// OutcomeStarted is the outcome in the line that a server writes when a request starts to run. The line
// written when the run ends has another outcome.
const OutcomeStarted = "started"

// Record is one line of a server's own record (JSON lines).
type Record struct {
	Server    string    `json:"server"`
	Service   string    `json:"service"`
	Token     string    `json:"token"`
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
	Outcome   string    `json:"outcome"`
}

// ReadRecords calls visit for each line of a server's record and reports
// whether the last line is torn, as a kill of the server leaves it. Other
// malformed lines are errors that name the line.
func ReadRecords(r io.Reader, visit func(Record)) (torn bool, err error) {
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return false, trace.Wrap(readErr)
		}
		last := readErr != nil
		if last && len(line) == 0 {
			return false, nil
		}
		var record Record
		if err := json.Unmarshal(line, &record); err != nil {
			if last {
				return true, nil
			}
			return false, trace.BadParameter("line %d: %v", number, err)
		}
		visit(record)
		if last {
			return false, nil
		}
	}
}
