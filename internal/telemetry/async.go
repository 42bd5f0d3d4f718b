package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines on to a writer from a goroutine of its own. Write
// never blocks: lines beyond the capacity are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
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
	}
}
