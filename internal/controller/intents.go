package controller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
)

const (
	// stopCheckInterval is the mean time between two checks of the stops in the configuration
	// against the floor. A check makes no call to the platform unless a stop needs a step.
	stopCheckInterval = 2 * time.Second
	// minScanInterval is the smallest mean time between two reads of the list of open intents
	// by one node.
	minScanInterval = 5 * time.Second
	// scanIntervalPerNode scales that time with the number of nodes, so that the whole fleet
	// reads the list about once a second whatever its size.
	scanIntervalPerNode = time.Second
	// driversPerCheck is the mean number of nodes that drive a due stop in one check interval.
	// Several nodes tolerate the failure of some of them; calls from all 500 nodes at once
	// would come near the rate limit of the platform.
	driversPerCheck = 8
	// driveTimeout is the time limit of one round.
	driveTimeout = 30 * time.Second
)

// IntentsOptions configures Intents. The zero value gives the defaults.
type IntentsOptions struct {
	// OnStep is called after each step that this node took, for metrics.
	OnStep func(intent.Action)
	// OnError is called with each error of a round, for metrics.
	OnError func(error)
	// Random returns values from 0 to 1 for jitter. The default is math/rand.
	Random func() float64
}

// Intents drives approved intents: it begins, holds, resumes, finishes and expires them. Every
// node runs it, with jitter. Version checks on the writes to the platform's table ensure that
// only one node takes each step. The calls to the platform run on a separate goroutine, at most
// one round at a time.
type Intents struct {
	ctx     context.Context
	engine  *intentstore.Engine
	view    func() *fleet.View
	options IntentsOptions

	roundRunning atomic.Bool
	// terminal holds the IDs of intents known to be in a terminal state, because a withdrawal
	// stays in the configuration after its intent is done. Only the round uses it.
	terminal  map[string]bool
	nextCheck time.Time
	nextScan  time.Time
}

var _ blackboard.Controller = (*Intents)(nil)

// NewIntents returns a controller that reads the current view with the given function. Rounds
// are cancelled when ctx ends.
func NewIntents(ctx context.Context, engine *intentstore.Engine, view func() *fleet.View, options IntentsOptions) *Intents {
	if options.OnStep == nil {
		options.OnStep = func(intent.Action) {}
	}
	if options.OnError == nil {
		options.OnError = func(error) {}
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Intents{ctx: ctx, engine: engine, view: view, options: options, terminal: map[string]bool{}}
}

// Name implements blackboard.Controller.
func (c *Intents) Name() string { return "intents" }

// Step implements blackboard.Controller. It starts a round if one is due, the node is ready, and
// no other round is running.
func (c *Intents) Step(now time.Time, e *blackboard.Entries) {
	if c.nextScan.IsZero() {
		c.nextScan = now.Add(c.jittered(minScanInterval))
	}
	if now.Before(c.nextCheck) || !e.Ready() || !c.roundRunning.CompareAndSwap(false, true) {
		return
	}
	c.nextCheck = now.Add(c.jittered(stopCheckInterval))
	scan := !now.Before(c.nextScan)
	if scan {
		interval := time.Duration(len(e.Nodes())) * scanIntervalPerNode
		c.nextScan = now.Add(c.jittered(max(interval, minScanInterval)))
	}
	node := e.Self().ID
	go func() {
		defer c.roundRunning.Store(false)
		c.runRound(node, now, scan)
	}()
}

// jittered returns a random duration from 0.5 d to 1.5 d.
func (c *Intents) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.options.Random()))
}

// runRound drives the stops that need a step according to this node's view and, if scan is set,
// every open intent.
func (c *Intents) runRound(node string, now time.Time, scan bool) {
	ctx, cancel := context.WithTimeout(c.ctx, driveTimeout)
	defer cancel()
	ids := c.dueStops(now)
	if scan {
		open, err := c.engine.ListOpen(ctx)
		if err != nil {
			c.options.OnError(err)
		}
		ids = append(ids, open...)
	}
	for _, id := range ids {
		c.drive(ctx, node, id)
	}
}

// dueStops returns the due stops that this node drives in this round. Each node picks a random
// share of them, see driversPerCheck.
func (c *Intents) dueStops(now time.Time) []string {
	view := c.view()
	share := float64(driversPerCheck) / float64(max(1, len(view.Nodes)))
	var ids []string
	for _, id := range intent.DueStops(view, now) {
		if !c.terminal[id] && c.options.Random() < share {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Intents) drive(ctx context.Context, node, id string) {
	in, action, err := c.engine.Drive(ctx, node, id, c.situation)
	switch {
	case err != nil:
		c.options.OnError(err)
	case action != "":
		c.options.OnStep(action)
	}
	if err == nil && in.State.IsTerminal() {
		c.terminal[id] = true
	}
}

func (c *Intents) situation() intentstore.Snapshot { return intentstore.Snapshot{View: c.view()} }
