package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cornelwall"
	"cornelwall/standin/drive"
	"cornelwall/standin/local"
)

const (
	idleWindow        = 2 * time.Second // period for counting the messages of an idle system
	ratioScale        = 1000            // histogram value of the ratio 1
	maxRatio          = 10000 * ratioScale
	significantDigits = 3
)

var profile = cornelwall.Profile{Name: "load", Team: "measuring", Deadline: cornelwall.Duration(time.Minute)}

// loadPlan is the load to apply.
type loadPlan struct {
	clients     int
	rate        float64 // jobs per second; 0 selects the closed loop
	jobs        int
	maxDuration time.Duration
	tasks       int
	taskTime    time.Duration
}

// recorder collects the response times, as ratios to the ideal, and the errors.
type recorder struct {
	mu     sync.Mutex
	ratios *hdrhistogram.Histogram
	errs   []error
}

func (r *recorder) add(ratio float64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errs = append(r.errs, err)
		return
	}
	_ = r.ratios.RecordValue(min(int64(ratio*ratioScale), maxRatio)) // cannot fail: the value is in range
}

// measure applies the load and returns the report.
func measure(ctx context.Context, sys *local.System, p loadPlan) (*report, error) {
	d := drive.New(func() string { return sys.Entries[rand.N(len(sys.Entries))].URL("callers") })
	defer d.Close()
	idle, err := idleMessages(ctx, sys)
	if err != nil {
		return nil, err
	}
	before, err := readCounters(ctx, sys)
	if err != nil {
		return nil, err
	}
	rec := &recorder{ratios: hdrhistogram.New(1, maxRatio, significantDigits)}
	start := time.Now()
	lctx, cancel := context.WithDeadline(ctx, start.Add(p.maxDuration))
	defer cancel()
	runJob := func(n int, due time.Time) {
		j := drive.Job{Name: fmt.Sprintf("job-%d", n), Profile: profile.Name, Tasks: p.tasks, Sleep: p.taskTime}
		_, err := d.Run(ctx, j)
		rec.add(time.Since(due).Seconds()/p.taskTime.Seconds(), err)
	}
	if p.rate > 0 {
		openLoop(lctx, p, runJob)
	} else {
		closedLoop(lctx, p, runJob)
	}
	elapsed := time.Since(start)
	after, err := readCounters(ctx, sys)
	if err := errors.Join(append(rec.errs, err)...); err != nil {
		return nil, err
	}
	starts, err := sys.Starts(ctx)
	if err != nil {
		return nil, err
	}
	return newReport(p, elapsed, rec.ratios, after.since(before), idle, starts, d.Ledger.Audit(starts)), nil
}

// closedLoop runs jobs from p.clients clients, each of which submits its next job after the answer to
// the last one.
func closedLoop(ctx context.Context, p loadPlan, runJob func(n int, due time.Time)) {
	next := make(chan int)
	var g sync.WaitGroup
	for range p.clients {
		g.Go(func() {
			for n := range next {
				runJob(n, time.Now())
			}
		})
	}
	for n := range p.jobs {
		select {
		case next <- n:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	g.Wait()
}

// openLoop submits jobs at fixed times, whether or not earlier jobs have been answered.
func openLoop(ctx context.Context, p loadPlan, runJob func(n int, due time.Time)) {
	start := time.Now()
	var g sync.WaitGroup
	for n := range p.jobs {
		due := start.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			break
		}
		g.Go(func() { runJob(n, due) })
	}
	g.Wait()
}

// idleMessages returns the messages per second between the entries of an idle system.
func idleMessages(ctx context.Context, sys *local.System) (float64, error) {
	before, err := readCounters(ctx, sys)
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(idleWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	after, err := readCounters(ctx, sys)
	if err != nil {
		return 0, err
	}
	return after.since(before)[messagesSent] / idleWindow.Seconds(), nil
}
