// Package executor starts tasks on executors over HTTP.
//
// # Usage
//
//	b := executor.New(executor.Config{})
//	result := b.Run(ctx, vm, start)
//
// A start is POST /run with the body of the task. The answer 200 carries the
// result. The answer 503 with the header Cornelwall-Not-Run says that the task did
// not start. Any other complete answer is a failure of the task.
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

// Headers of a start and of its answer.
const (
	HeaderTicket   = "Cornelwall-Ticket"
	HeaderTask     = "Cornelwall-Task"     // index of the task in its job
	HeaderTimeLeft = "Cornelwall-Left"     // milliseconds to the deadline
	HeaderNotRun   = "Cornelwall-Not-Run"  // busy or draining
	HeaderDraining = "Cornelwall-Draining" // true if the executor is leaving
)

// Path is where an executor takes starts.
const RunPath = "/run"

// Config is the settings of a BackEnd. The zero value is usable.
type Config struct {
	Dial    time.Duration    // limit for making a connection; 0 is 1 s
	MaxBody int64            // limit for a result in bytes; 0 is 4 MiB
	Clock   cornelwall.Clock // nil is the clock of the machine
}

// BackEnd implements [cornelwall.BackEnd] for executors.
type BackEnd struct {
	client *http1.Client
	clock  cornelwall.Clock
}

var _ cornelwall.BackEnd = (*BackEnd)(nil)

// New returns a back end.
func New(cfg Config) *BackEnd {
	if cfg.Clock == nil {
		cfg.Clock = cornelwall.SystemClock{}
	}
	client := http1.New(http1.Config{DialTimeout: cfg.Dial, MaxBody: cfg.MaxBody, Clock: cfg.Clock})
	return &BackEnd{client: client, clock: cfg.Clock}
}

// Close closes the idle connections.
func (b *BackEnd) Close() { b.client.Close() }

// Run starts the task once and waits for its result.
func (b *BackEnd) Run(ctx context.Context, vm cornelwall.VM, start cornelwall.Start) cornelwall.Result {
	began := b.clock.Now()
	resp, sent, err := b.client.Do(ctx, vm.Addr, vm.Conns, newRequest(start))
	result := Classify(resp, http.StatusOK, sent, err, ctx.Err() != nil)
	result.Took = b.clock.Now().Sub(began)
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

// Classify tells what an answer says about a start that succeeds with the status
// success. Sent and err are those of the client; ended tells that the time to wait
// was over.
func Classify(resp http1.Response, success int, sent bool, err error, ended bool) cornelwall.Result {
	result := cornelwall.Result{Draining: resp.Header.Get(HeaderDraining) == "true"}
	switch {
	case err != nil && !sent:
		result.Outcome, result.Reason = cornelwall.NotRun, cornelwall.ReasonConnect
	case errors.Is(err, http1.ErrTooLarge):
		result.Outcome, result.Reason = cornelwall.Failed, cornelwall.ReasonTask
	case err != nil && ended:
		result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonDeadline
	case err != nil:
		result.Outcome, result.Reason = cornelwall.Unknown, cornelwall.ReasonLost
	case resp.Status == success:
		result.Outcome, result.Body = cornelwall.Done, resp.Body
	default:
		classifyRefusal(resp, &result)
	}
	return result
}

func classifyRefusal(resp http1.Response, result *cornelwall.Result) {
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
