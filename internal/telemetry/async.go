package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter writes lines to an underlying writer from a separate goroutine.
// Write never blocks: lines beyond the capacity are dropped, and the number of
// dropped lines is logged once the buffer is empty again.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	dropped atomic.Int64
	// reportedDrops is the number of dropped lines that has been logged.
	reportedDrops int64
	done          sync.WaitGroup
}

// NewAsyncWriter starts a writer that buffers up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, capacity), closing: make(chan struct{})}
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

// Close writes the buffered lines. It must be called once. Goroutines that still log do not fail, but
// lines written from then on may be lost.
func (w *AsyncWriter) Close() {
	close(w.closing)
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			for range len(w.lines) {
				w.writeLine(<-w.lines)
			}
			w.reportDrops()
			return
		}
	}
}

func (w *AsyncWriter) writeLine(line []byte) {
	// The error is ignored: there is nowhere else to report a failure of the log.
	_, _ = w.out.Write(line)
	if len(w.lines) == 0 {
		w.reportDrops()
	}
}

// reportDrops writes the number of lines dropped so far if it has grown since the
// last report.
func (w *AsyncWriter) reportDrops() {
	dropped := w.dropped.Load()
	if dropped == w.reportedDrops {
		return
	}
	w.reportedDrops = dropped
	fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","dropped":%d}`+"\n", dropped)
}
