package cornelwall

import (
	"context"
	"time"
)

// Pair is one key of the platform's service with its value.
type Pair struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change of this key; 0 if the key does not exist
}

// Change is one message of a watch.
type Change struct {
	Pair
	Deleted bool
}

// Store is the platform's key-value service. Every method may fail with an error
// of kind [ErrStore] although the write took effect.
type Store interface {
	// Get reads one key. A missing key has revision 0 and no error.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all keys with the prefix, and the store's revision.
	List(ctx context.Context, prefix string) (pairs []Pair, revision uint64, err error)
	// Swap writes the value if the key still has the revision old; 0 means that the
	// key must not exist. If lease is not 0 the key vanishes with the lease.
	CompareAndSwap(ctx context.Context, key string, old uint64, value []byte, lease int64) (swapped bool, err error)
	// Grant makes a lease of so many seconds and returns its identity.
	GrantLease(ctx context.Context, seconds int64) (lease int64, err error)
	// Watch calls f for each change of a key with the prefix after the revision. It
	// returns when ctx ends or the stream breaks.
	Watch(ctx context.Context, prefix string, after uint64, f func(Change)) error
}

// VMList is the platform's list of machines. It lags.
type VMList interface {
	// List returns all machines that are live or leaving.
	List(ctx context.Context) ([]VM, error)
}

// BackEnd starts tasks on one kind of endpoint.
type BackEnd interface {
	// Run starts the task on the machine once and waits for its result. It never
	// sends the start again. Result.Outcome is NotRun only if the task provably did
	// not start. Ending ctx gives up waiting; the task may go on.
	Run(ctx context.Context, vm VM, start Start) Result
}

// UsageReader is a [BackEnd] whose machines report what all their tasks take up.
type UsageReader interface {
	// ReadUsage returns what the tasks took up, and how long ago that was measured. The
	// error tells that the machine did not answer, or not with a usage.
	ReadUsage(ctx context.Context, vm VM) (used Need, lag time.Duration, err error)
}
