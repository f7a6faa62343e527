package client

import (
	"context"
	"time"

	"cornelwall"
)

// Clock is a time source that can wait.
type Clock interface {
	cornelwall.Clock
	// Wait returns nil after d, or the error of ctx if that ends first.
	Wait(ctx context.Context, d time.Duration) error
}
