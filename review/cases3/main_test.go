//go:build review3

package cases3

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(r *run) error{}

// run is one run of a case.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool
	started time.Time
	fleet   *fleet

	mu     sync.Mutex
	record *os.File
	broken []string
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *run) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *run) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// TestMain runs one case instead of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3.test CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(body func(r *run) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	r.note("trouble %v", r.trouble)
	defer func() {
		if r.fleet != nil {
			r.fleet.close()
		}
	}()
	if err := body(r); err != nil {
		r.note("NOT RUN %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken: %d times, first: %s\n", len(r.broken), r.broken[0])
		return exitBroken
	}
	r.note("HELD")
	fmt.Println("held")
	return exitHeld
}
