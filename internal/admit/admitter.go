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
	// free holds permits for reuse, so that an idle server admits without
	// allocation.
	free    []*Permit
	drained chan struct{}
}

// Permit is the right to run one request.
type Permit struct {
	admitter *Admitter
	held     bool
}

// New returns an Admitter for a server with the given slots and the queue
// factor of its service. A clock of nil stands for time.Now.
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

// Admit returns a permit when the request may run. It waits in the queue if it
// must, and returns an error of code Overloaded, Leaving or DeadlinePassed if
// the request is not to run. A weight of 0 or less stands for 1.
func (a *Admitter) Admit(ctx context.Context, account string, weight float64, deadline time.Time) (*Permit, error) {
	now := a.now()
	a.mu.Lock()
	started, refusal := a.queue.TryStart(now, deadline)
	if started {
		permit := a.takePermit()
		a.mu.Unlock()
		return permit, nil
	}
	if refusal != nil {
		a.mu.Unlock()
		return nil, refusal
	}
	ended := make(chan *codes.Error, 1)
	w, refusal := a.queue.Enqueue(now, account, weight, deadline, ended)
	a.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	return a.wait(ctx, w, ended, deadline.Sub(now))
}

func (a *Admitter) wait(ctx context.Context, w *Waiter, ended <-chan *codes.Error, left time.Duration) (*Permit, error) {
	timer := time.NewTimer(left)
	defer timer.Stop()
	var cause error
	select {
	case refusal := <-ended:
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
		a.giveUp(<-ended)
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		return nil, codes.DeadlinePassed.Wrap(cause, "the deadline passed while the request waited")
	}
	return nil, codes.DeadlinePassed.Wrap(cause, "the request was cancelled while it waited")
}

func (a *Admitter) permitAfterWait(refusal *codes.Error) (*Permit, error) {
	if refusal != nil {
		return nil, refusal
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.takePermit(), nil
}

// giveUp returns the slot of a request that was started and cancelled at the
// same time.
func (a *Admitter) giveUp(refusal *codes.Error) {
	if refusal != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finish(0)
}

func (a *Admitter) takePermit() *Permit {
	last := len(a.free) - 1
	if last < 0 {
		return &Permit{admitter: a, held: true}
	}
	permit := a.free[last]
	a.free = a.free[:last]
	permit.held = true
	return permit
}

// Release ends the request. The latency feeds the estimate of the service
// time; 0 leaves it unchanged and is for requests that were cancelled. Release
// must be called exactly once and the permit not used afterwards, because
// permits are reused.
func (p *Permit) Release(latency time.Duration) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.held {
		panic("admit: permit released twice")
	}
	p.held = false
	a.free = append(a.free, p)
	a.finish(latency)
}

// finish is called with the lock held. Reading the clock costs more than the
// rest, so it is left out when nobody waits.
func (a *Admitter) finish(latency time.Duration) {
	var now time.Time
	if a.queue.Queued() > 0 {
		now = a.now()
	}
	a.queue.Finish(now, latency)
	a.closeDrained()
}

// Running returns the number of requests that hold a slot.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Running()
}

// Queued returns the number of waiting requests.
func (a *Admitter) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Queued()
}

// SetQueueFactor changes the queue factor; 0 or less stands for
// DefaultQueueFactor.
func (a *Admitter) SetQueueFactor(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetFactor(factor)
}

// SetSlots changes the number of slots when the server announces another one.
func (a *Admitter) SetSlots(slots int) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetSlots(now, slots)
}

// Close refuses new and waiting requests with code Leaving. Running requests
// go on.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Close()
	a.closeDrained()
}

// Reopen takes new work again after Close, for a server that is returned.
func (a *Admitter) Reopen() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Reopen()
	if isClosed(a.drained) {
		a.drained = make(chan struct{})
	}
}

// Drained returns a channel that is closed when the Admitter is closed and no
// request runs. After Open there is a new channel.
func (a *Admitter) Drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drained
}

func (a *Admitter) closeDrained() {
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
