package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	foreignWrites = 8                      // of the other writer
	foreignGap    = 2 * time.Second        // between two of them
	afterReport   = 200 * time.Millisecond // from the executor's own report to the write
	submitGap     = 150 * time.Millisecond // between two jobs
	lastTasksTime = 3 * time.Second        // for the last jobs to end
)

// foreignEntry judges TWICE. Another writer puts an entry of a service that no configuration names under the key of an
// executor, with the address of another executor. The executor's next report replaces it.
func foreignEntry(ctx context.Context, l *lab, trouble bool) (broken bool, err error) {
	if err := l.startAll(ctx); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var jobs []*job
	wg.Go(func() { jobs = l.submitSteadily(ctx, &wg, stop, submitGap) })
	for n := range foreignWrites {
		x, other := l.executors[n%len(l.executors)], l.executors[(n+1)%len(l.executors)]
		if err := sleep(ctx, foreignGap); err != nil {
			return false, err
		}
		if !trouble {
			continue
		}
		if err := l.writeForeign(ctx, x, other.addr); err != nil {
			return false, err
		}
	}
	close(stop)
	if err := sleep(ctx, lastTasksTime); err != nil {
		return false, err
	}
	wg.Wait()
	for _, j := range jobs {
		broken = l.judgeTwice(j) || broken
	}
	l.rec.add("jobs submitted: %d", len(jobs))
	return broken, nil
}

// writeForeign writes the entry of another writer under the key of an executor, shortly after that has reported.
func (l *lab) writeForeign(ctx context.Context, x *executor, addr string) error {
	if err := x.awaitReport(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, afterReport); err != nil {
		return err
	}
	entry := x.entry("zone-x", 1)
	entry["service"], entry["address"], entry["born"] = "another-service", addr, time.Now().Add(-time.Hour).UnixMilli()
	l.rec.add("another writer writes servers/%s: %v", x.id, entry)
	return l.store.put("servers/"+x.id, entry)
}

// submitSteadily submits a job to each entry in turn, a gap apart, until stop is closed, and returns them.
func (l *lab) submitSteadily(ctx context.Context, wg *sync.WaitGroup, stop <-chan struct{}, gap time.Duration) (jobs []*job) {
	t := time.NewTicker(gap)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-stop:
			return jobs
		}
		j := &job{id: fmt.Sprintf("f0%014x", n), tasks: 4, cores: 2000, work: 900 * time.Millisecond, patience: requestPatience}
		jobs = append(jobs, j)
		e := l.entries[n%len(l.entries)]
		wg.Go(func() { l.submitOnce(ctx, e, j) })
	}
}

// submitOnce submits a job and waits for the answer.
func (l *lab) submitOnce(ctx context.Context, e *entry, j *job) {
	c, err := l.open(ctx, e.name, e.frontend)
	if err != nil {
		l.rec.add("client cannot connect: %v", err)
		return
	}
	defer c.close()
	if err := l.submit(c, j); err != nil {
		l.rec.add("client cannot send: %v", err)
		return
	}
	_, _, _ = c.await(time.Now().Add(j.patience)) // recorded there
}
