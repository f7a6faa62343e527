package cornelwall

import (
	"context"
	"time"
)

// Clock tells the time. Implementations return times that carry a monotonic
// reading, so that differences survive a change of the wall clock.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Wait waits for d. If ctx ends first it returns the error of ctx.
func (SystemClock) Wait(ctx context.Context, d time.Duration) error { return Wait(ctx, d) }

// Wait waits for d on the clock of the machine. If ctx ends first it returns the error of
// ctx.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
