package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	cancelTime   = 3 * time.Second // cancel_ms
	stopBound    = 50 * time.Millisecond
	ackBound     = 6 * time.Second         // for which the client waits for the answer to its DELETE
	leaveAfter   = 300 * time.Millisecond  // of the client that submits the job
	rollGap      = 2 * time.Second         // between two SIGTERM
	graceTime    = 6 * time.Second         // graceS
	restartDelay = 500 * time.Millisecond  // from the end of a process to its next start
	longWork     = 8 * time.Second         // of a job that is under way at the first entry to stop
	powerDown    = 1100 * time.Millisecond // for which the entries are off
	calmTime     = 5 * time.Second         // after the last start, before the request arrives again; above stableWindowMs
)

// forgottenCancel judges UNASKED. A client submits a job, leaves without an answer and cancels the job, which is
// acknowledged. All entries are then stopped and started in turn. After that the request that submits the job arrives
// again.
//
// The first entry to stop has a longer job under way, and the second one is the one that acknowledged the cancellation.
func forgottenCancel(ctx context.Context, l *lab, trouble bool) (broken bool, err error) {
	return l.playCancel(ctx, trouble, func(ctx context.Context) error {
		c, err := l.open(ctx, l.entries[0].name, l.entries[0].frontend)
		if err != nil {
			return err
		}
		defer c.close()
		if err := l.submit(c, &job{id: "1a2b3c4d5e6f7a8b", tasks: 1, cores: 2000, work: longWork, patience: 2 * longWork}); err != nil {
			return err
		}
		if err := sleep(ctx, leaveAfter); err != nil {
			return err
		}
		return l.roll(ctx)
	})
}

// lostCancel judges UNASKED as forgottenCancel does, but all entries lose power right after the acknowledgement.
func lostCancel(ctx context.Context, l *lab, trouble bool) (broken bool, err error) {
	return l.playCancel(ctx, trouble, l.losePower)
}

// playCancel plays a case of a cancelled job with a disturbance after the acknowledgement, and judges it.
func (l *lab) playCancel(ctx context.Context, trouble bool, disturb func(context.Context) error) (broken bool, err error) {
	if err := l.startAll(ctx); err != nil {
		return false, err
	}
	j := &job{id: "5c0e7a21d94b36f8", tasks: 1, cores: 2000, work: 2 * time.Second, patience: 8 * time.Second}
	ackedAt, err := l.submitAndCancel(ctx, j)
	if err != nil {
		return false, err
	}
	if trouble {
		if err := disturb(ctx); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, calmTime); err != nil {
		return false, err
	}
	c, err := l.open(ctx, l.entries[1].name, l.entries[1].frontend)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := l.submit(c, j); err != nil {
		return false, err
	}
	if _, _, err := c.await(time.Now().Add(j.patience)); err != nil {
		return false, err
	}
	return l.judgeCancel(j, ackedAt), nil
}

// submitAndCancel submits a job to one entry, leaves, and cancels it at another. It returns when that was acknowledged.
func (l *lab) submitAndCancel(ctx context.Context, j *job) (ackedAt time.Time, err error) {
	c, err := l.open(ctx, l.entries[2].name, l.entries[2].frontend)
	if err != nil {
		return time.Time{}, err
	}
	defer c.close()
	if err := l.submit(c, j); err != nil {
		return time.Time{}, err
	}
	if err := sleep(ctx, leaveAfter); err != nil {
		return time.Time{}, err
	}
	l.rec.add("client closes its channel to %s", c.to)
	c.close()
	return l.cancelJob(ctx, l.entries[1], j)
}

// cancelJob cancels a job, and returns when that was acknowledged.
func (l *lab) cancelJob(ctx context.Context, e *entry, j *job) (ackedAt time.Time, err error) {
	c, err := l.open(ctx, e.name, e.frontend)
	if err != nil {
		return time.Time{}, err
	}
	defer c.close()
	if err := c.send(http.MethodDelete, queuePrefix+j.id, nil, ackBound); err != nil {
		return time.Time{}, err
	}
	status, _, err := c.await(time.Now().Add(ackBound))
	if err != nil {
		return time.Time{}, err
	}
	if status/100 != 2 && status != http.StatusGone {
		return time.Time{}, fmt.Errorf("the cancellation was not acknowledged: status %d", status)
	}
	return time.Now(), nil
}

// roll stops and starts all entries in turn, a rollGap apart, and waits until all are ready.
func (l *lab) roll(ctx context.Context) error {
	errs := make(chan error, len(l.entries))
	for i, e := range l.entries {
		go func() {
			if err := sleep(ctx, time.Duration(i)*rollGap); err != nil {
				errs <- err
				return
			}
			errs <- e.restart(ctx)
		}()
	}
	var all []error
	for range l.entries {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// losePower ends all entries at once, starts them again and waits until all are ready.
func (l *lab) losePower(ctx context.Context) error {
	for _, e := range l.entries {
		if err := e.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	if err := sleep(ctx, powerDown); err != nil {
		return err
	}
	for _, e := range l.entries {
		<-e.ended
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range l.entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// restart makes a planned stop of an entry and starts it again, and waits until it is ready.
func (e *entry) restart(ctx context.Context) error {
	if err := e.signal(syscall.SIGTERM); err != nil {
		return err
	}
	t := time.NewTimer(graceTime)
	defer t.Stop()
	select {
	case <-e.ended:
		e.rec.add("entry %s has ended", e.name)
	case <-t.C:
		if err := e.kill(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, restartDelay); err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	return e.awaitReady(ctx)
}

// judgeCancel reports whether a task of the job started later than cancelTime after the acknowledgement, or ran on
// stopBound after that. All entries have been in touch for longer than stableWindowMs when the request arrives again.
func (l *lab) judgeCancel(j *job, ackedAt time.Time) (broken bool) {
	limit := ackedAt.Add(cancelTime)
	runs := l.runsOf(j.id)
	for _, r := range runs {
		if r.startedAt.After(limit) {
			l.rec.add("broken: %s run %d on %s started %.2f s after the acknowledgement", r.task, r.run, r.executor, r.startedAt.Sub(ackedAt).Seconds())
		} else if r.endedAt.IsZero() || r.endedAt.After(limit.Add(stopBound)) {
			l.rec.add("broken: %s run %d on %s ran on after the acknowledgement", r.task, r.run, r.executor)
		}
	}
	return slices.ContainsFunc(runs, func(r taskRun) bool {
		return r.startedAt.After(limit) || r.endedAt.IsZero() || r.endedAt.After(limit.Add(stopBound))
	})
}
