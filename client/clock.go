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
