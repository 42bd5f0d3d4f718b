package experiment

import (
	"container/heap"
	"time"
)

// trafficEvent is a function scheduled at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type trafficEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type trafficEvents []trafficEvent

func (e trafficEvents) Len() int      { return len(e) }
func (e trafficEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *trafficEvents) Push(x any)   { *e = append(*e, x.(trafficEvent)) }

func (e trafficEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e *trafficEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	(*e)[last] = trafficEvent{}
	*e = (*e)[:last]
	return event
}

// trafficClock is a virtual clock with its pending events.
type trafficClock struct {
	elapsed  time.Duration
	sequence uint64
	events   trafficEvents
}

// now returns the virtual time as a time.Time, for the decision code.
func (c *trafficClock) now() time.Time { return time.Unix(0, 0).Add(c.elapsed) }

func (c *trafficClock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, trafficEvent{at: c.elapsed + delay, sequence: c.sequence, run: run})
}

// drain runs events until none is left.
func (c *trafficClock) drain() {
	for len(c.events) > 0 {
		event := heap.Pop(&c.events).(trafficEvent)
		c.elapsed = event.at
		event.run()
	}
}
