package atmostonce

import "time"

// Clock is a wall clock that never goes back: the wall time at its start plus
// the monotonic time since. If the system's clock were set back, an expired
// key would become valid again after its record had gone, and run twice.
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

// At converts a wall time to the scale of Elapsed.
func (c *Clock) At(t time.Time) time.Duration { return t.Round(0).Sub(c.start.Round(0)) }

// Now returns the wall time of the clock.
func (c *Clock) Now() time.Time { return c.start.Round(0).Add(c.Elapsed()) }
