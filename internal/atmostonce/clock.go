package atmostonce

import "time"

// Clock is a wall clock that never goes backwards: the wall time at its start plus the monotonic
// time since then. With the system clock, setting the clock back could make an expired key valid
// again after its record was removed, and its request could run twice.
type Clock struct {
	start time.Time
	now   func() time.Time
}

// NewClock returns a clock that starts now.
func NewClock() *Clock { return &Clock{start: time.Now(), now: time.Now} }

// NewClockAt returns a clock driven by now, for tests.
func NewClockAt(now func() time.Time) *Clock { return &Clock{start: now(), now: now} }

// Elapsed returns the monotonic time since the start of the clock.
func (c *Clock) Elapsed() time.Duration { return c.now().Sub(c.start) }

// ElapsedAt returns the value of Elapsed at the given wall time.
func (c *Clock) ElapsedAt(t time.Time) time.Duration { return t.Round(0).Sub(c.start.Round(0)) }

// Now returns the wall time of the clock.
func (c *Clock) Now() time.Time { return c.start.Round(0).Add(c.Elapsed()) }
