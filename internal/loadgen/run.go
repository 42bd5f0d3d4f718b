package loadgen

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

// retryPause is the pause before the first retry of a keyed request. Each further pause is longer by
// the same amount.
const retryPause = 50 * time.Millisecond

// flushInterval is about how long attempts stay in memory, where they are lost if the process is
// killed.
const flushInterval = time.Second

// Options are the settings of a run that are not part of its mix.
type Options struct {
	// Entries are the entry addresses, host:port.
	Entries []string
	// RunID is the prefix of every token. It must differ between runs whose records are compared
	// together. By default it is random.
	RunID string
	// CSV receives every attempt as a CSV row; nil for none.
	CSV io.Writer
}

// runner is the state of one run.
type runner struct {
	mix      *Mix
	client   *client
	started  time.Time
	inFlight chan struct{}
	requests sync.WaitGroup

	mu        sync.Mutex
	collector *report.Collector
	csv       *report.AttemptWriter
	csvErr    error
	flushed   time.Time
}

// Run sends the load and returns its summary after the last response. When ctx ends, no more requests
// are started and those in flight are abandoned.
func Run(ctx context.Context, mix Mix, options Options) (report.Summary, error) {
	if err := mix.Check(); err != nil {
		return report.Summary{}, trace.Wrap(err)
	}
	if len(options.Entries) == 0 {
		return report.Summary{}, trace.BadParameter("there is no entry address")
	}
	if options.RunID == "" {
		options.RunID = uuid.NewString()[:8]
	}
	r, err := newRunner(&mix, options)
	if err != nil {
		return report.Summary{}, trace.Wrap(err)
	}
	arrivals := r.generate(ctx, newSchedule(&mix, options.RunID, len(options.Entries)))
	r.requests.Wait()
	r.client.http.CloseIdleConnections()
	return r.finish(arrivals)
}

func newRunner(mix *Mix, options Options) (*runner, error) {
	r := &runner{mix: mix, client: newClient(mix, options.Entries), started: time.Now(),
		inFlight: make(chan struct{}, mix.InFlight)}
	r.collector = report.NewCollector(report.Summary{RunID: options.RunID, Seed: mix.Seed,
		Entries: options.Entries, StartedAt: r.started})
	if options.CSV == nil {
		return r, nil
	}
	var err error
	r.csv, err = report.NewAttemptWriter(options.CSV)
	return r, trace.Wrap(err)
}

// generate starts each request at its planned time and returns how long requests arrived.
func (r *runner) generate(ctx context.Context, s *schedule) time.Duration {
	for {
		p, more := s.next()
		if !more {
			return r.mix.Duration
		}
		if !sleep(ctx, time.Until(r.started.Add(p.at))) {
			return time.Since(r.started)
		}
		select {
		case r.inFlight <- struct{}{}:
			r.requests.Add(1)
			go r.perform(ctx, p)
		default:
			r.skip()
		}
	}
}

// perform sends one request with its retries and records the result.
func (r *runner) perform(ctx context.Context, p plannedRequest) {
	defer r.requests.Done()
	defer func() { <-r.inFlight }()
	attempts := r.sendWithRetries(ctx, p)
	r.add(attempts, time.Since(r.started.Add(p.at)))
}

func (r *runner) sendWithRetries(ctx context.Context, p plannedRequest) []report.Attempt {
	key, err := r.idempotencyKey(ctx, p)
	if err != nil {
		return []report.Attempt{{Token: p.token, Target: p.target.name(), Kind: p.kind, Number: 1,
			SentAt: time.Now(), Outcome: codes.NotRun, Check: report.CheckNotSent}}
	}
	var attempts []report.Attempt
	for number := 1; ; number++ {
		entry := r.client.entries[(p.entry+number-1)%len(r.client.entries)]
		attempt := r.client.send(ctx, p, key, number, entry)
		attempts = append(attempts, attempt)
		if number > r.mix.MaxRetries || !shouldRetry(attempt) || !sleep(ctx, time.Duration(number)*retryPause) {
			return attempts
		}
	}
}

// idempotencyKey returns the idempotency key of a request, empty if it has none. A key chosen by the
// caller is a random UUID. For a key issued by a node, the entries are asked in turn until one issues
// it; the request cannot have run before that.
func (r *runner) idempotencyKey(ctx context.Context, p plannedRequest) (string, error) {
	switch p.keySource {
	case callerKey:
		return uuid.NewString(), nil
	case nodeKey:
		return r.issuedKey(ctx, p)
	}
	return "", nil
}

func (r *runner) issuedKey(ctx context.Context, p plannedRequest) (string, error) {
	var last error
	for i := range r.client.entries {
		key, err := r.client.issueKey(ctx, p, r.client.entries[(p.entry+i)%len(r.client.entries)])
		if err == nil {
			return key, nil
		}
		last = err
	}
	return "", trace.Wrap(last)
}

// shouldRetry reports whether the caller sends the request again with the same key. A request without
// a key is never retried. A retry is of no use once the key has expired or its host is lost.
func shouldRetry(a report.Attempt) bool {
	if a.Key == "" {
		return false
	}
	switch a.Code {
	case codes.KeyExpired.Number, codes.KeyHostLost.Number:
		return false
	}
	return a.Outcome == codes.Unknown || a.Check == report.CheckNotSent
}

func (r *runner) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Skip()
}

func (r *runner) add(attempts []report.Attempt, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector.Add(attempts, latency)
	if r.csv == nil || r.csvErr != nil {
		return
	}
	for _, attempt := range attempts {
		if err := r.csv.Write(attempt); err != nil {
			r.csvErr = err
		}
	}
	if time.Since(r.flushed) > flushInterval {
		r.csvErr = errors.Join(r.csvErr, r.csv.Flush())
		r.flushed = time.Now()
	}
}

func (r *runner) finish(arrivals time.Duration) (report.Summary, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := r.collector.Summary(time.Since(r.started), arrivals)
	if r.csv == nil {
		return summary, nil
	}
	if r.csvErr != nil {
		return summary, trace.Wrap(r.csvErr)
	}
	return summary, trace.Wrap(r.csv.Flush())
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
