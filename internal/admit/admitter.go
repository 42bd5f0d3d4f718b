package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Admitter admits the requests of one attached server. It is safe for
// concurrent use.
type Admitter struct {
	now   func() time.Time
	mu    sync.Mutex
	queue *Queue
	// freePermits holds permits for reuse, so that admission to an idle server
	// does not allocate.
	freePermits []*Permit
	drained     chan struct{}
}

// Permit represents the slot held by one running request.
type Permit struct {
	admitter *Admitter
	held     bool
}

// New returns an Admitter for a server with the given slots and the queue
// factor of its service. A nil clock means time.Now.
func New(slots int, queueFactor float64, clock func() time.Time) *Admitter {
	if clock == nil {
		clock = time.Now
	}
	a := &Admitter{now: clock, drained: make(chan struct{})}
	a.queue = NewQueue(slots, queueFactor, func(w *Waiter, err *codes.Error) {
		w.Value.(chan *codes.Error) <- err
	})
	return a
}

// Admit returns a permit once the request may run, and blocks while the request
// is queued. It returns an error of code Overloaded, Leaving or DeadlinePassed if
// the request must not run. A weight of 0 or less means 1.
func (a *Admitter) Admit(ctx context.Context, account string, weight float64, deadline time.Time) (*Permit, error) {
	now := a.now()
	a.mu.Lock()
	started, refusal := a.queue.TryStart(now, deadline)
	if started {
		permit := a.acquirePermitLocked()
		a.mu.Unlock()
		return permit, nil
	}
	if refusal != nil {
		a.mu.Unlock()
		return nil, refusal
	}
	outcome := make(chan *codes.Error, 1)
	w, refusal := a.queue.Enqueue(now, account, weight, deadline, outcome)
	a.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return a.wait(ctx, w, outcome, deadline.Sub(now))
}

func (a *Admitter) wait(ctx context.Context, w *Waiter, outcome <-chan *codes.Error, timeout time.Duration) (*Permit, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var cause error
	select {
	case refusal := <-outcome:
		return a.permitAfterWait(refusal)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.C:
		cause = context.DeadlineExceeded
	}
	a.mu.Lock()
	cancelled := a.queue.Cancel(w)
	a.mu.Unlock()
	if !cancelled {
		a.releaseSlot(<-outcome)
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return nil, codes.DeadlinePassed.Wrap(cause, "the deadline passed while the request was queued")
	}
	return nil, codes.DeadlinePassed.Wrap(cause, "the request was cancelled while it was queued")
}

func (a *Admitter) permitAfterWait(refusal *codes.Error) (*Permit, error) {
	if refusal != nil {
		return nil, refusal
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acquirePermitLocked(), nil
}

// releaseSlot frees the slot of a request that was started while its wait was
// being cancelled. It does nothing if the request was refused.
func (a *Admitter) releaseSlot(refusal *codes.Error) {
	if refusal != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finishLocked(0)
}

func (a *Admitter) acquirePermitLocked() *Permit {
	last := len(a.freePermits) - 1
	if last < 0 {
		return &Permit{admitter: a, held: true}
	}
	permit := a.freePermits[last]
	a.freePermits = a.freePermits[:last]
	permit.held = true
	return permit
}

// Release frees the slot of the request. The latency updates the mean service
// time; 0 leaves it unchanged and is for requests that were cancelled. Release
// must be called exactly once and the permit must not be used afterwards, because
// permits are reused.
func (p *Permit) Release(latency time.Duration) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.held {
		panic("admit: permit released twice")
	}
	p.held = false
	a.freePermits = append(a.freePermits, p)
	a.finishLocked(latency)
}

// finishLocked ends a running request; the caller must hold the lock. Reading the
// clock costs more than the rest, so it is skipped when the queue is empty.
func (a *Admitter) finishLocked(latency time.Duration) {
	var now time.Time
	if a.queue.Queued() > 0 {
		now = a.now()
	}
	a.queue.Finish(now, latency)
	a.closeDrainedIfIdle()
}

// Running returns the number of requests that hold a slot.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running()
}

// Queued returns the number of queued requests.
func (a *Admitter) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Queued()
}

// SetQueueFactor changes the queue factor; 0 or less means DefaultQueueFactor.
func (a *Admitter) SetQueueFactor(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetFactor(factor)
}

// SetSlots changes the number of slots, after the server announced another one.
func (a *Admitter) SetSlots(slots int) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetSlots(now, slots)
}

// Close refuses new and queued requests with code Leaving. Running requests
// continue.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Close()
	a.closeDrainedIfIdle()
}

// Reopen accepts requests again after Close, for a server that returns to
// service.
func (a *Admitter) Reopen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Reopen()
	if isClosed(a.drained) {
		a.drained = make(chan struct{})
	}
}

// Drained returns a channel that is closed once the Admitter is closed and no
// request runs. Reopen replaces a closed channel with a new one.
func (a *Admitter) Drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drained
}

func (a *Admitter) closeDrainedIfIdle() {
	if a.queue.Closed() && a.queue.Running() == 0 && !isClosed(a.drained) {
		close(a.drained)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
