package worker

import (
	"context"
	"sync"
	"time"

	"cornelwall"
	product "cornelwall/io/worker"
	"cornelwall/standin/task"
)

// lease is the lease of one task, which is cancelled when the lease has not been renewed for ttl.
type lease struct {
	task        task.Task
	need        cornelwall.Need
	ttl         time.Duration
	timer       *time.Timer
	cancelled   chan struct{}
	done        chan struct{}
	succeeded   bool          // set before done is closed
	endReported chan struct{} // closed once a renewal has reported the end
	reportOnce  sync.Once
}

func newLease(req product.LeaseRequest) *lease {
	return &lease{
		task:        task.Parse(req.Body),
		need:        req.Need,
		ttl:         time.Duration(req.TTL),
		cancelled:   make(chan struct{}),
		done:        make(chan struct{}),
		endReported: make(chan struct{}),
	}
}

// waitStatus waits for the end of the task, for a third of the TTL at most, and returns the
// status of the lease.
func (l *lease) waitStatus(ctx context.Context) product.LeaseStatus {
	timer := time.NewTimer(l.ttl / 3)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
		return product.LeaseStatus{State: product.Running}
	case <-ctx.Done():
		return product.LeaseStatus{State: product.Running}
	}
	if !l.succeeded {
		return product.LeaseStatus{State: product.Failed}
	}
	return product.LeaseStatus{State: product.Done, Body: []byte(l.task.Echo)}
}
