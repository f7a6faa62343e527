package client

import (
	"context"
	"time"

	"cornelwall"
)

// Clock tells the time and waits.
type Clock interface {
	cornelwall.Clock
	// Wait returns nil after d, or the error of ctx if that ends first.
	Wait(ctx context.Context, d time.Duration) error
}

type systemClock struct{ cornelwall.SystemClock }

// Wait waits on the clock of the machine.
func (systemClock) Wait(ctx context.Context, d time.Duration) error {
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
