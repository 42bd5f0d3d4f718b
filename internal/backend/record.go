package backend

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Run is one request in the server's own record.
type Run struct {
	Server    string    `json:"server"`
	Service   string    `json:"service"`
	Token     string    `json:"token"`
	Key       string    `json:"key,omitempty"`
	RequestID string    `json:"request_id"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
	// Outcome is "started", "ran", "failed" or "abandoned". A started line
	// without a later line belongs to a request that a kill of the server ended.
	Outcome string `json:"outcome"`
}

// recorder appends runs to a file as JSON lines. A line is written when the
// request starts to run, so that a kill of the server does not lose it, and
// another when it ends.
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

func (r *recorder) write(run Run) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		panic(err) // a struct of strings and times always encodes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf.Write(append(line, '\n'))
	if err := r.buf.Flush(); err != nil {
		panic(err) // a record with gaps would make every check worthless
	}
}
