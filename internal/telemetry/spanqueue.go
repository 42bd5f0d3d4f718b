package telemetry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

const (
	// spanQueueLength is the maximum number of ended spans waiting for export.
	spanQueueLength = 2048
	// spanBatch is the maximum number of spans in one export.
	spanBatch = 256
	// spanFlushInterval is the maximum time a span waits for its batch to fill.
	spanFlushInterval = time.Second
)

// spanQueue is a span processor with a bounded queue. The batch processor of the
// SDK does not expose the number of spans that it drops.
type spanQueue struct {
	exporter sdktrace.SpanExporter
	dropped  *Counter
	spans    chan sdktrace.ReadOnlySpan
	flushes  chan chan struct{}
	stop     chan struct{}
	done     chan struct{}
	stopped  atomic.Bool
	// ctx bounds the exports; cancel aborts them when a shutdown takes too long.
	ctx    context.Context
	cancel context.CancelFunc
}

func newSpanQueue(exporter sdktrace.SpanExporter, dropped *Counter) *spanQueue {
	q := &spanQueue{
		exporter: exporter,
		dropped:  dropped,
		spans:    make(chan sdktrace.ReadOnlySpan, spanQueueLength),
		flushes:  make(chan chan struct{}),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	go q.run()
	return q
}

// OnStart implements sdktrace.SpanProcessor.
func (q *spanQueue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd implements sdktrace.SpanProcessor. It never blocks.
func (q *spanQueue) OnEnd(span sdktrace.ReadOnlySpan) {
	if q.stopped.Load() {
		q.dropped.Inc()
		return
	}
	select {
	case q.spans <- span:
	default:
		q.dropped.Inc()
	}
}

// ForceFlush implements sdktrace.SpanProcessor. It returns once the spans queued at
// the time of the call are exported or dropped, or when ctx is done.
func (q *spanQueue) ForceFlush(ctx context.Context) error {
	flushed := make(chan struct{})
	select {
	case q.flushes <- flushed:
	case <-q.done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-flushed:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Shutdown implements sdktrace.SpanProcessor. If ctx is done before the queue is
// empty, the remaining spans are dropped and counted.
func (q *spanQueue) Shutdown(ctx context.Context) error {
	if !q.stopped.Swap(true) {
		close(q.stop)
	}
	select {
	case <-q.done:
	case <-ctx.Done():
		q.cancel()
		<-q.done
	}
	q.cancel()
	return trace.Wrap(q.exporter.Shutdown(ctx))
}

func (q *spanQueue) run() {
	defer close(q.done)
	ticker := time.NewTicker(spanFlushInterval)
	defer ticker.Stop()
	batch := make([]sdktrace.ReadOnlySpan, 0, spanBatch)
	for {
		select {
		case span := <-q.spans:
			if batch = append(batch, span); len(batch) == spanBatch {
				batch = q.export(batch)
			}
		case <-ticker.C:
			batch = q.export(batch)
		case flushed := <-q.flushes:
			batch = q.drain(batch)
			close(flushed)
		case <-q.stop:
			q.drain(batch)
			return
		}
	}
}

// drain exports batch and all spans currently queued.
func (q *spanQueue) drain(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	for queued := len(q.spans); queued > 0; queued-- {
		if batch = append(batch, <-q.spans); len(batch) == spanBatch {
			batch = q.export(batch)
		}
	}
	return q.export(batch)
}

// export sends the batch and returns it emptied for reuse. A batch that cannot be
// sent is dropped and counted.
func (q *spanQueue) export(batch []sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	if len(batch) == 0 {
		return batch
	}
	ctx, cancel := context.WithTimeout(q.ctx, exportTimeout)
	defer cancel()
	if err := q.exporter.ExportSpans(ctx, batch); err != nil {
		q.dropped.Add(int64(len(batch)))
	}
	clear(batch)
	return batch[:0]
}
