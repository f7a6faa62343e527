package dispatch

import "time"

// runClock measures the time in which this process ran.
type runClock struct {
	ran       time.Duration // up to countedAt
	countedAt time.Time     // last tick
	uncounted time.Duration // that is added at the next tick
	lateAt    time.Time     // last tick that came late
}

// countRunTime adds the time since the last tick. Of the time before a late tick only tickInterval counts, and not before the next
// tick: by then what has come meanwhile has been handled.
func (c *Core) countRunTime() {
	c.countedAt = c.now
	c.ran += c.uncounted
	c.uncounted = 0
	if c.now.Sub(c.Next()) > tickInterval {
		c.uncounted, c.lateAt = tickInterval, c.now
		return
	}
	c.ran += c.now.Sub(c.lastTick)
}

// runTime returns the time in which this process has run until now.
func (c *Core) runTime() time.Duration { return c.ran + c.uncounted + c.now.Sub(c.countedAt) }
