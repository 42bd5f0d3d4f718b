package blackboard

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// TickInterval is the time between two runs of the controllers.
	TickInterval = 100 * time.Millisecond
	// postQueueLength bounds the functions that wait for the control goroutine. Senders block
	// while the queue is full.
	postQueueLength = 1024
	// maxBatch bounds the posted functions that run before a view is published and a due tick
	// can run.
	maxBatch = 256
)

// gateStart is the readiness gate that stays closed until every controller has run once. Without
// it, a gate that a controller keeps closed would be open before the controller's first step.
const gateStart = "start"

// Controller reads and writes entries. Step runs on the control goroutine and must not block.
type Controller interface {
	// Name identifies the controller in metrics.
	Name() string
	// Step runs the controller once, at the given time.
	Step(now time.Time, e *Entries)
}

// Board owns the control state of one node.
type Board struct {
	// OnTick, if not nil, is called with the duration of each tick. It must be set before Run.
	OnTick func(time.Duration)

	entries     *Entries
	controllers []Controller
	posts       chan func(*Entries)
	view        atomic.Pointer[fleet.View]
	lastTick    atomic.Int64
	now         func() time.Time
	started     time.Time
}

// New returns a board for the node described by self. Controllers are added with Add before Run.
func New(self fleet.NodeRecord) *Board {
	b := &Board{
		entries: newEntries(self),
		posts:   make(chan func(*Entries), postQueueLength),
		now:     time.Now,
		started: time.Now(),
	}
	b.publish(b.now())
	return b
}

// Add appends controllers. They run in the order in which they are added.
func (b *Board) Add(controllers ...Controller) {
	b.controllers = append(b.controllers, controllers...)
}

// View returns the newest snapshot. It never blocks.
func (b *Board) View() *fleet.View { return b.view.Load() }

// Post runs f on the control goroutine. It blocks while the queue is full.
func (b *Board) Post(f func(*Entries)) { b.posts <- f }

// Call runs f on the control goroutine and waits for it to return. If ctx ends first, f may still
// run.
func (b *Board) Call(ctx context.Context, f func(*Entries)) error {
	done := make(chan struct{})
	wrapped := func(e *Entries) {
		defer close(done)
		f(e)
	}
	select {
	case b.posts <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SinceTick returns the time since the last tick ended. With it, a traffic goroutine detects by
// itself that the process was paused, without waiting for the control goroutine to do so.
func (b *Board) SinceTick() time.Duration {
	return time.Since(b.started) - time.Duration(b.lastTick.Load())
}

// Run runs the control loop until ctx ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	b.step()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-b.posts:
			b.runBatch(f)
			b.publish(b.now())
		case <-ticker.C:
			b.step()
		}
	}
}

// runBatch runs first and the posted functions that are queued, up to maxBatch in total.
func (b *Board) runBatch(first func(*Entries)) {
	first(b.entries)
	for i := 1; i < maxBatch; i++ {
		select {
		case f := <-b.posts:
			f(b.entries)
		default:
			return
		}
	}
}

// step runs one tick: it runs every controller once and publishes the result. TickGap is set
// first, so that the controllers can detect a pause of the process.
func (b *Board) step() {
	now := b.now()
	b.entries.TickGap = b.SinceTick()
	for _, controller := range b.controllers {
		controller.Step(now, b.entries)
	}
	b.entries.SetGate(gateStart, true)
	b.publish(now)
	if b.OnTick != nil {
		b.OnTick(time.Since(now))
	}
	b.lastTick.Store(int64(time.Since(b.started)))
}

func (b *Board) publish(now time.Time) {
	if view, changed := b.entries.snapshot(now); changed {
		b.view.Store(view)
	}
}
