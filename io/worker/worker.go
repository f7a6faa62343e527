// Package worker starts tasks on workers over HTTP, under leases.
//
// # Usage
//
//	b := worker.New(worker.Config{})
//	result := b.Run(ctx, vm, start)
//	used, err := b.Usage(ctx, vm)
//
// POST /leases starts a task and answers with a lease. POST /leases/ID/renew renews
// it and waits for the end of the task for a third of the lease's life. The worker
// stops a task whose lease lapses, and on DELETE /leases/ID.
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
	lateGrantTimeout = time.Second // for the answer to a start that was given up
	renewPause       = 50 * time.Millisecond
)

// State is the state of a task under a lease.
type State int

//go:generate go tool enumer -type=State -text -transform=lower -output=state_gen.go

const (
	// Running means that the task has not ended.
	Running State = iota
	// Done means that the task ended well.
	Done
	// Failed means that the task ran and failed.
	Failed
)

// LeaseRequest is the request that starts a task.
type LeaseRequest struct {
	Ticket cornelwall.Ticket   `json:"ticket"`
	Index  int                 `json:"index"`
	Need   cornelwall.Need     `json:"need,omitzero"`
	TTL    cornelwall.Duration `json:"ttl"`
	Body   []byte              `json:"body"`
}

// Check reports all that is wrong with the lease.
func (l *LeaseRequest) Check() error {
	errs := []error{l.Ticket.Check(), l.Need.Check()}
	if l.TTL <= 0 {
		errs = append(errs, fmt.Errorf("ttl %s is not positive; use more than 0s", l.TTL))
	}
	if l.Index < 0 {
		errs = append(errs, fmt.Errorf("index %d is negative; use 0 or more", l.Index))
	}
	return errors.Join(errs...)
}

// LeaseReply is the answer to a Lease.
type LeaseReply struct {
	Lease string `json:"lease"`
}

// LeaseStatus is the answer to a renewal.
type LeaseStatus struct {
	State State  `json:"state"`
	Body  []byte `json:"body,omitempty"`
}

// Usage is what the tasks of a worker take up. It lags.
type Usage struct {
	Used cornelwall.Need `json:"used"`
	At   time.Time       `json:"at"` // when it was measured
}

// Config is the settings of a BackEnd. The zero value is usable.
type Config struct {
	Dial  time.Duration    // limit for making a connection; 0 is 1 s
	TTL   time.Duration    // life of a lease; 0 is 10 s
	Clock cornelwall.Clock // nil is the clock of the machine
}

// BackEnd implements [cornelwall.BackEnd] for workers.
type BackEnd struct {
	client *http1.Client
	ttl    time.Duration
	clock  cornelwall.Clock
}

var _ cornelwall.BackEnd = (*BackEnd)(nil)

// New returns a back end.
func New(cfg Config) *BackEnd {
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	client := http1.New(http1.Config{DialTimeout: cfg.Dial, Clock: cfg.Clock})
	return &BackEnd{client: client, ttl: cfg.TTL, clock: cfg.Clock}
}

// Close closes the idle connections.
func (b *BackEnd) Close() { b.client.Close() }

// Run starts the task once and waits for its result. When ctx ends it asks the
// worker to stop the task.
func (b *BackEnd) Run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	began := b.clock.Now()
	result := b.run(ctx, vm, start)
	result.Took = b.clock.Now().Sub(began)
	return result
}

func (b *BackEnd) run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	lease := LeaseRequest{Ticket: start.Ticket, Index: start.Index, Need: start.Need,
		TTL: cornelwall.Duration(b.ttl), Body: start.Body}
	body, err := json.Marshal(lease)
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
	var granted LeaseReply
	if json.Unmarshal(resp.Body, &granted) != nil || granted.Lease == "" {
		return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost, Draining: result.Draining}
	}
	ended := b.renewUntilEnd(ctx, vm, granted.Lease)
	ended.Draining = ended.Draining || result.Draining
	return ended
}

// startContext bounds the wait for the answer to a start. It outlives ctx by a little: a
// lease that is granted just then must be known to be stopped. A start whose answer is
// lost ends when its lease lapses, without an owner.
func (b *BackEnd) startContext(ctx context.Context) (context.Context, context.CancelFunc) {
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.ttl)
	unwatch := context.AfterFunc(ctx, func() { time.AfterFunc(lateGrantTimeout, cancel) })
	return startCtx, func() {
		unwatch()
		cancel()
	}
}

// renewUntilEnd renews the lease until the task ends, the lease may have lapsed or ctx ends.
func (b *BackEnd) renewUntilEnd(ctx context.Context, vm cornelwall.VM, id string) cornelwall.Result {
	path := "/leases/" + url.PathEscape(id)
	renewed := b.clock.Now()
	draining := false
	for {
		sentAt := b.clock.Now()
		status, drains, err := b.renew(ctx, vm, path+"/renew")
		draining = draining || drains
		switch {
		case err == nil && status.State != Running:
			return endResult(status, draining)
		case ctx.Err() != nil:
			b.stop(ctx, vm, path)
			return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonDeadline, Draining: draining}
		case errors.Is(err, cornelwall.ErrMissing) || err != nil && b.clock.Now().Sub(renewed) > b.ttl:
			return cornelwall.Result{Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonLost, Draining: draining}
		case err != nil:
			_ = cornelwall.Wait(ctx, renewPause) // the next round sees the end of ctx
		default:
			renewed = sentAt
			if b.clock.Now().Sub(sentAt) < renewPause {
				_ = cornelwall.Wait(ctx, renewPause) // the next round sees the end of ctx
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
	// The worker answers after a third of the life at the latest; half leaves time
	// to renew again before the lease lapses.
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
	return LeaseStatus{}, draining, fmt.Errorf("renew answered status %d", resp.Status)
}

// stop asks for the end of a task. If it gets lost the lease lapses.
func (b *BackEnd) stop(ctx context.Context, vm cornelwall.VM, path string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_, _, _ = b.client.Do(ctx, vm.Addr, vm.Conns, http1.Request{Method: http.MethodDelete, Path: path})
}

var _ cornelwall.UsageReader = (*BackEnd)(nil)

// Usage returns what the tasks of the worker took up a while ago.
func (b *BackEnd) Usage(ctx context.Context, vm cornelwall.VM) (cornelwall.Need, error) {
	used, _, err := b.ReadUsage(ctx, vm)
	return used, err
}

// ReadUsage returns what the tasks of the worker took up, and how long ago by its clock.
func (b *BackEnd) ReadUsage(ctx context.Context, vm cornelwall.VM) (cornelwall.Need, time.Duration, error) {
	resp, _, err := b.client.Do(ctx, vm.Addr, vm.Conns, http1.Request{Method: http.MethodGet, Path: "/usage"})
	if err != nil {
		return cornelwall.Need{}, 0, err
	}
	var usage Usage
	if resp.Status != http.StatusOK {
		return cornelwall.Need{}, 0, merry.Errorf("usage of worker %q answered status %d; check the worker", vm.Name, resp.Status)
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
