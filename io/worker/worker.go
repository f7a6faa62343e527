// Package worker starts tasks on workers over HTTP, under leases.
//
// # Usage
//
//	b := worker.New(worker.Config{})
//	result := b.Run(ctx, vm, start)
//	used, err := b.Usage(ctx, vm)
//
// POST /leases starts a task and returns a lease. POST /leases/ID/renew renews the lease and is
// a long poll: it waits up to a third of the lease's TTL for the task to end. The worker stops a
// task when its lease expires or on DELETE /leases/ID.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"cornelwall"
	"cornelwall/io/executor"
	"cornelwall/io/http1"
)

const (
	defaultTTL       = 10 * time.Second
	stopTimeout      = time.Second
	lateGrantTimeout = time.Second           // wait for the answer to a start request after the end of its context
	renewPause       = 50 * time.Millisecond // minimum interval of renewals, and delay after a failed one
)

// State is the state of a task under a lease.
type State int

//go:generate go tool enumer -type=State -text -transform=lower -output=state_gen.go

const (
	// Running means that the task has not ended.
	Running State = iota
	// Done means that the task succeeded.
	Done
	// Failed means that the task ran and failed.
	Failed
)

// LeaseRequest is the request that starts a task under a lease.
type LeaseRequest struct {
	Ticket cornelwall.Ticket   `json:"ticket"`
	Index  int                 `json:"index"` // of the task in its job
	Need   cornelwall.Need     `json:"need,omitzero"`
	TTL    cornelwall.Duration `json:"ttl"`
	Body   []byte              `json:"body"`
}

// Check returns an error that joins all problems of the request.
func (r *LeaseRequest) Check() error {
	errs := []error{r.Ticket.Check(), r.Need.Check()}
	if r.TTL <= 0 {
		errs = append(errs, fmt.Errorf("ttl %s is not positive; use more than 0s", r.TTL))
	}
	if r.Index < 0 {
		errs = append(errs, fmt.Errorf("index %d is negative; use 0 or more", r.Index))
	}
	return errors.Join(errs...)
}

// LeaseReply is the answer to a LeaseRequest.
type LeaseReply struct {
	Lease string `json:"lease"` // ID of the lease
}

// LeaseStatus is the answer to a renewal of a lease.
type LeaseStatus struct {
	State State  `json:"state"`
	Body  []byte `json:"body,omitempty"` // result of a task that is done
}

// Usage is the last measured resource usage of a worker's tasks.
type Usage struct {
	Used cornelwall.Need `json:"used"`
	At   time.Time       `json:"at"` // when it was measured
}

// Config configures a BackEnd. The zero value is usable.
type Config struct {
	DialTimeout time.Duration    // connect timeout; 0 is 1 s
	TTL         time.Duration    // of a lease; 0 is 10 s
	Clock       cornelwall.Clock // nil is the system clock
}

// BackEnd implements [cornelwall.BackEnd] for workers.
type BackEnd struct {
	client *http1.Client
	ttl    time.Duration
	clock  cornelwall.Clock
}

var _ cornelwall.BackEnd = (*BackEnd)(nil)

// New returns a back end for workers.
func New(cfg Config) *BackEnd {
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	client := http1.New(http1.Config{DialTimeout: cfg.DialTimeout, Clock: cfg.Clock})
	return &BackEnd{client: client, ttl: cfg.TTL, clock: cfg.Clock}
}

// Close closes the idle connections.
func (b *BackEnd) Close() { b.client.Close() }

// Run starts the task and waits for its result. It never sends the start a second time. When ctx
// ends it asks the worker to stop the task.
func (b *BackEnd) Run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	startedAt := b.clock.Now()
	result := b.run(ctx, vm, start)
	result.Took = b.clock.Now().Sub(startedAt)
	return result
}

func (b *BackEnd) run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	req := LeaseRequest{Ticket: start.Ticket, Index: start.Index, Need: start.Need,
		TTL: cornelwall.Duration(b.ttl), Body: start.Body}
	body, err := json.Marshal(req)
	if err != nil {
		return cornelwall.Result{Outcome: cornelwall.NotRun, Reason: cornelwall.ReasonConnect}
	}
	startCtx, cancel := b.startContext(ctx)
	defer cancel()
	resp, sent, err := b.client.Do(startCtx, vm.Addr, vm.Conns, post("/leases", body))
	result := executor.Classify(resp, http.StatusCreated, sent, err, ctx.Err() != nil)
	if result.Outcome != cornelwall.Done {
		return result
	}
	var reply LeaseReply
	if json.Unmarshal(resp.Body, &reply) != nil || reply.Lease == "" {
		return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost, Draining: result.Draining}
	}
	end := b.renewUntilEnd(ctx, vm, reply.Lease)
	end.Draining = end.Draining || result.Draining
	return end
}

// startContext returns the context for the start request. It ends after the TTL of the lease, or
// lateGrantTimeout after ctx if that is earlier. The extra time lets the ID of a lease that is
// granted around the end of ctx still arrive, so that its task can be stopped. If the answer is
// lost, nobody renews the lease and the task ends when it expires.
func (b *BackEnd) startContext(ctx context.Context) (context.Context, context.CancelFunc) {
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.ttl)
	stopWatch := context.AfterFunc(ctx, func() { time.AfterFunc(lateGrantTimeout, cancel) })
	return startCtx, func() {
		stopWatch()
		cancel()
	}
}

// renewUntilEnd renews the lease until the task ends, the worker no longer knows the lease, the
// lease may have expired or ctx ends.
func (b *BackEnd) renewUntilEnd(ctx context.Context, vm cornelwall.VM, id string) cornelwall.Result {
	path := "/leases/" + url.PathEscape(id)
	renewedAt := b.clock.Now()
	draining := false
	for {
		sentAt := b.clock.Now()
		status, nowDraining, err := b.renew(ctx, vm, path+"/renew")
		draining = draining || nowDraining
		switch {
		case err == nil && status.State != Running:
			return endResult(status, draining)
		case ctx.Err() != nil:
			b.stop(ctx, vm, path)
			return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonDeadline, Draining: draining}
		case errors.Is(err, cornelwall.ErrMissing) || err != nil && b.clock.Now().Sub(renewedAt) > b.ttl:
			return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost, Draining: draining}
		case err != nil:
			_ = cornelwall.Wait(ctx, renewPause) // the next iteration handles the end of ctx
		default:
			renewedAt = sentAt
			if b.clock.Now().Sub(sentAt) < renewPause {
				_ = cornelwall.Wait(ctx, renewPause) // the next iteration handles the end of ctx
			}
		}
	}
}

func endResult(status LeaseStatus, draining bool) cornelwall.Result {
	if status.State == Failed {
		return cornelwall.Result{Outcome: cornelwall.Failed, Reason: cornelwall.ReasonTask, Draining: draining}
	}
	return cornelwall.Result{Outcome: cornelwall.Done, Body: status.Body, Draining: draining}
}

func (b *BackEnd) renew(ctx context.Context, vm cornelwall.VM, path string) (status LeaseStatus, draining bool, err error) {
	// The worker answers within a third of the TTL. A timeout of half the TTL leaves time to
	// renew again before the lease expires.
	ctx, cancel := context.WithTimeout(ctx, b.ttl/2)
	defer cancel()
	resp, _, err := b.client.Do(ctx, vm.Addr, vm.Conns, post(path, nil))
	if err != nil {
		return LeaseStatus{}, false, err
	}
	draining = resp.Header.Get(executor.HeaderDraining) == "true"
	switch resp.Status {
	case http.StatusOK:
		return status, draining, json.Unmarshal(resp.Body, &status)
	case http.StatusNotFound:
		return LeaseStatus{}, draining, cornelwall.ErrMissing
	}
	return LeaseStatus{}, draining, fmt.Errorf("worker answered status %d to a renewal", resp.Status)
}

// stop asks the worker to stop a task. If the request is lost, the task ends when its lease
// expires.
func (b *BackEnd) stop(ctx context.Context, vm cornelwall.VM, path string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_, _, _ = b.client.Do(ctx, vm.Addr, vm.Conns, http1.Request{Method: http.MethodDelete, Path: path})
}

var _ cornelwall.UsageReader = (*BackEnd)(nil)

// Usage returns the last measured resource usage of the worker's tasks.
func (b *BackEnd) Usage(ctx context.Context, vm cornelwall.VM) (cornelwall.Need, error) {
	used, _, err := b.ReadUsage(ctx, vm)
	return used, err
}

// ReadUsage returns the last measured resource usage of the worker's tasks and how long ago it was
// measured, by the worker's timestamp.
func (b *BackEnd) ReadUsage(ctx context.Context, vm cornelwall.VM) (cornelwall.Need, time.Duration, error) {
	resp, _, err := b.client.Do(ctx, vm.Addr, vm.Conns, http1.Request{Method: http.MethodGet, Path: "/usage"})
	if err != nil {
		return cornelwall.Need{}, 0, err
	}
	var usage Usage
	if resp.Status != http.StatusOK {
		return cornelwall.Need{}, 0, merry.Errorf("worker %q answered status %d to a usage request; check the worker", vm.Name, resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &usage); err != nil {
		return cornelwall.Need{}, 0, merry.Errorf("usage of worker %q is not valid: %w", vm.Name, err)
	}
	return usage.Used, max(0, b.clock.Now().Sub(usage.At)), usage.Used.Check()
}

func post(path string, body []byte) http1.Request {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	return http1.Request{Method: http.MethodPost, Path: path, Header: h, Body: body}
}
