// Package executor starts tasks on executors over HTTP.
//
// # Usage
//
//	b := executor.New(executor.Config{})
//	result := b.Run(ctx, vm, start)
//
// A task is started by POST /run with its body. Status 200 carries the result. Status 503 or 409
// with the header Cornelwall-Not-Run means that the task did not start. Any other complete
// answer, and one that is too large, is a failure of the task.
package executor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cornelwall"
	"cornelwall/io/http1"
)

// Headers of a start request and of its answer.
const (
	HeaderTicket   = "Cornelwall-Ticket"
	HeaderTask     = "Cornelwall-Task"     // index of the task in its job
	HeaderTimeLeft = "Cornelwall-Left"     // milliseconds until the deadline
	HeaderNotRun   = "Cornelwall-Not-Run"  // why the task was not started: busy or draining
	HeaderDraining = "Cornelwall-Draining" // true if the executor is draining
)

// RunPath is the URL path of a start request.
const RunPath = "/run"

// Config configures a BackEnd. The zero value is usable.
type Config struct {
	DialTimeout time.Duration    // connect timeout; 0 is 1 s
	MaxBody     int64            // maximum size of a result in bytes; 0 is 4 MiB
	Clock       cornelwall.Clock // nil is the system clock
}

// BackEnd implements [cornelwall.BackEnd] for executors.
type BackEnd struct {
	client *http1.Client
	clock  cornelwall.Clock
}

var _ cornelwall.BackEnd = (*BackEnd)(nil)

// New returns a back end for executors.
func New(cfg Config) *BackEnd {
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	client := http1.New(http1.Config{DialTimeout: cfg.DialTimeout, MaxBody: cfg.MaxBody, Clock: cfg.Clock})
	return &BackEnd{client: client, clock: cfg.Clock}
}

// Close closes the idle connections.
func (b *BackEnd) Close() { b.client.Close() }

// Run starts the task and waits for its result. It never sends the start a second time.
func (b *BackEnd) Run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	startedAt := b.clock.Now()
	resp, sent, err := b.client.Do(ctx, vm.Addr, vm.Conns, newRequest(start))
	result := Classify(resp, http.StatusOK, sent, err, ctx.Err() != nil)
	result.Took = b.clock.Now().Sub(startedAt)
	return result
}

func newRequest(start cornelwall.Start) http1.Request {
	h := http.Header{}
	h.Set("Content-Type", "application/octet-stream")
	h.Set(HeaderTicket, start.Ticket.String())
	h.Set(HeaderTask, strconv.Itoa(start.Index))
	h.Set(HeaderTimeLeft, strconv.FormatInt(start.TimeLeft.Milliseconds(), 10))
	return http1.Request{Method: http.MethodPost, Path: RunPath, Header: h, Body: start.Body}
}

// Classify returns the result of a start request from what the HTTP client returned: the answer,
// whether the request may have been sent, and the error. Success is the HTTP status of a
// successful start, and expired is true if the caller's context had ended.
func Classify(resp http1.Response, success int, sent bool, err error, expired bool) cornelwall.Result {
	result := cornelwall.Result{Draining: resp.Header.Get(HeaderDraining) == "true"}
	switch {
	case err != nil && !sent:
		result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonConnect
	case errors.Is(err, http1.ErrTooLarge):
		result.Outcome, result.Reason = cornelwall.Failed, cornelwall.ReasonTask
	case err != nil && expired:
		result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonDeadline
	case err != nil:
		result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonLost
	case resp.Status == success:
		result.Outcome, result.Body = cornelwall.Done, resp.Body
	default:
		classifyErrorStatus(resp, &result)
	}
	return result
}

// classifyErrorStatus sets the outcome of an answer whose status is not that of success.
func classifyErrorStatus(resp http1.Response, result *cornelwall.Result) {
	result.Outcome, result.Reason = cornelwall.Failed, cornelwall.ReasonTask
	if resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusConflict {
		return
	}
	switch resp.Header.Get(HeaderNotRun) {
	case "busy":
		result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonBusy
	case "draining":
		result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonDraining
		result.Draining = true
	}
}
