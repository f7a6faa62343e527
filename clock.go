package cornelwall

import "time"

// Clock tells the time. Implementations return times that carry a monotonic
// reading, so that differences survive a change of the wall clock.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
