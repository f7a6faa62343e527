package cornelwall

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
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

// BootClock is the clock of the machine that goes on while the machine is suspended and
// does not follow changes of the time of day.
type BootClock struct {
	wall time.Time     // at the start of the process
	boot time.Duration // at the same moment
}

// NewBootClock returns a clock that agrees with the time of day as of now.
func NewBootClock() *BootClock {
	return &BootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the current time, without a monotonic reading.
func (c *BootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// Wait waits for d. If ctx ends first it returns the error of ctx.
func (c *BootClock) Wait(ctx context.Context, d time.Duration) error { return Wait(ctx, d) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock of the machine cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
