package cornelwall

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Differences between the times of one clock are not
// affected by changes of the wall clock.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine, read with time.Now.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Wait waits for d. It returns the error of ctx if ctx ends first.
func (SystemClock) Wait(ctx context.Context, d time.Duration) error { return Wait(ctx, d) }

// Wait waits for d on the clock of the machine. It returns the error of ctx if ctx ends
// first.
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

// BootClock is a clock of the machine that continues while the machine is suspended and
// ignores changes of the wall clock.
type BootClock struct {
	wall time.Time     // when the clock was created
	boot time.Duration // time since boot at the same moment
}

// NewBootClock returns a clock that starts at the current wall clock time.
func NewBootClock() *BootClock {
	return &BootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the current time, without a monotonic reading.
func (c *BootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// Wait waits for d. It returns the error of ctx if ctx ends first.
func (c *BootClock) Wait(ctx context.Context, d time.Duration) error { return Wait(ctx, d) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot clock of the machine cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
