package cornelwall

import (
	"context"
	"time"
)

// Pair is a key of the platform's store with its value.
type Pair struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change of this key; 0 if the key does not exist
}

// Change is a change of one key that a watch reports.
type Change struct {
	Pair
	Deleted bool
}

// Store is the platform's key-value store. Any method may fail with an error of kind
// [ErrStore] although the write took effect.
type Store interface {
	// Get reads one key. A missing key has revision 0 and no error.
	Get(ctx context.Context, key string) (Pair, error)
	// List reads all keys with the prefix and the store's revision.
	List(ctx context.Context, prefix string) (pairs []Pair, revision uint64, err error)
	// CompareAndSwap writes the value if the key still has the revision old; 0 means that the
	// key must not exist. If lease is not 0 the key is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, old uint64, value []byte, lease int64) (swapped bool, err error)
	// GrantLease creates a lease with a TTL in seconds and returns its ID.
	GrantLease(ctx context.Context, seconds int64) (lease int64, err error)
	// Watch calls f for each change of a key with the prefix after the revision. It
	// returns when ctx ends or the stream breaks.
	Watch(ctx context.Context, prefix string, after uint64, f func(Change)) error
}

// VMList is the platform's list of machines. It lags behind their actual state.
type VMList interface {
	// List returns all machines that are live or leaving.
	List(ctx context.Context) ([]VM, error)
}

// BackEnd starts tasks on one kind of machine.
type BackEnd interface {
	// Run starts the task on the machine and waits for its result. It never retries the
	// start. Result.Outcome is NotRun only if the task provably did not start. If ctx ends,
	// Run stops waiting; the task may continue.
	Run(ctx context.Context, vm VM, start Start) Result
}

// UsageReader is a [BackEnd] whose machines report the resource usage of all their tasks.
type UsageReader interface {
	// ReadUsage returns what the tasks used and how long ago that was measured. It returns an
	// error if the machine did not answer or its answer holds no usage.
	ReadUsage(ctx context.Context, vm VM) (used Need, lag time.Duration, err error)
}
