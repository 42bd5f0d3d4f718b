package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines on to a writer from a goroutine of its own. Write
// never blocks: lines beyond the capacity are dropped, and a line of its own
// tells how many, once there is room again.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// told is the number of dropped lines that the log tells of.
	told int64
	done sync.WaitGroup
}

// NewAsyncWriter starts a writer that holds up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, capacity)}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the lines that wait. Nothing may be written after it.
func (w *AsyncWriter) Close() {
	close(w.lines)
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	for line := range w.lines {
		// There is no other place to tell that the log itself fails.
		_, _ = w.out.Write(line)
		if len(w.lines) == 0 {
			w.tell()
		}
	}
	w.tell()
}

// tell writes the number of lines dropped so far, if it has grown.
func (w *AsyncWriter) tell() {
	dropped := w.dropped.Load()
	if dropped == w.told {
		return
	}
	w.told = dropped
	fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","dropped":%d}`+"\n", dropped)
}
