package main

import (
	"context"
	"sync"
	"time"
)

const (
	drainTime   = 2 * time.Second        // drainMs
	busyGap     = 90 * time.Millisecond  // between two jobs, so that every executor is needed
	drainAfter  = 500 * time.Millisecond // from the report without an answer to the drain
	reportLate  = 3600 * time.Millisecond
	drainServes = 6500 * time.Millisecond // for which the draining executor is watched, and serves on
)

// lateReport judges DRAIN. A report of an executor gets no answer of the store, which carries it out later. In between the
// executor reports that it drains.
func lateReport(ctx context.Context, l *lab, trouble bool) (broken bool, err error) {
	if err := l.startAll(ctx); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { l.submitSteadily(ctx, &wg, stop, busyGap) })
	x := l.executors[0]
	if err := x.awaitReport(ctx); err != nil {
		return false, err
	}
	if trouble {
		x.loseNext(reportLate)
	}
	if err := x.awaitReport(ctx); err != nil {
		return false, err
	}
	if err := sleep(ctx, drainAfter); err != nil {
		return false, err
	}
	x.drain()
	if err := x.awaitReport(ctx); err != nil {
		return false, err
	}
	drainsFrom := time.Now()
	l.rec.add("store: %s drains", x.id)
	if err := sleep(ctx, drainServes); err != nil {
		return false, err
	}
	close(stop)
	wg.Wait()
	return l.judgeDrain(x, drainsFrom), nil
}

// awaitReport waits for the next report of an executor.
func (x *executor) awaitReport(ctx context.Context) error {
	select {
	case <-x.reported: // an earlier report
	default:
	}
	select {
	case <-x.reported:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// judgeDrain reports whether a task started at an executor later than drainTime after the store had its report that it drains.
func (l *lab) judgeDrain(x *executor, from time.Time) (broken bool) {
	for _, r := range x.runs() {
		if after := r.startedAt.Sub(from); after > drainTime {
			l.rec.add("broken: %s run %d started on %s %.2f s after it drains", r.task, r.run, x.id, after.Seconds())
			broken = true
		}
	}
	return broken
}
