package telemetry

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against requests that block on a log whose reader has stalled, and against
// lines that are dropped without a report.
func TestBlockedLogOutputDropsAndReportsLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out, 4)
	started := time.Now()
	for range 100 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("100 lines took %v", took)
	}
	close(out.release)
	w.Close()
	text := out.text.String()
	lines := strings.Count(text, "line\n")
	if lines+int(w.Dropped()) != 100 || w.Dropped() == 0 {
		t.Fatalf("%d lines written, %d dropped", lines, w.Dropped())
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Fatalf("the log does not report the dropped lines: %q", text)
	}
}

// Guards against a process that ends with a panic because a goroutine logs while it stops.
func TestAsyncWriterTakesLinesWhileItCloses(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out, 1000)
	if _, err := w.Write([]byte("before\n")); err != nil {
		t.Fatal(err)
	}
	var late sync.WaitGroup
	late.Go(func() {
		for range 500 {
			_, _ = w.Write([]byte("late\n"))
		}
	})
	w.Close()
	late.Wait()
	if _, err := w.Write([]byte("after\n")); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "before\n") {
		t.Errorf("written %q", out.String())
	}
}
