package backend

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// RunRecord is one line of the server's own record: the start or the end of a run of a request.
type RunRecord struct {
	Server    string    `json:"server"`
	Service   string    `json:"service"`
	Token     string    `json:"token"`
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"request_id"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
	// Outcome is "started", "ran", "failed" or "abandoned". A started line without a later line
	// belongs to a request that was running when the server was killed.
	Outcome string `json:"outcome"`
}

// recorder appends run records to a file as JSON lines. One line is written when a request starts to
// run, so that the run is recorded even if the server is killed, and another when it ends.
type recorder struct {
	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecorder(name string) (*recorder, error) {
	if name == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &recorder{file: file, buf: bufio.NewWriter(file)}, nil
}

func (r *recorder) write(run RunRecord) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(err) // cannot happen: the struct has only strings and times
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf.Write(append(line, '\n'))
	if err := r.buf.Flush(); err != nil {
		panic(err) // checks that rely on an incomplete record would be meaningless
	}
}
