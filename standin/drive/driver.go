// Package drive is a load driver. It submits jobs to entries as package client does and records every
// answer in a ledger, which Audit compares with the task starts that the executors and workers counted.
//
// # Usage
//
//	d := drive.New(pick)
//	answer, err := d.Run(ctx, drive.Job{Name: "job-1", Profile: "holds", Tasks: 8})
//	result := d.Ledger.Audit(starts)
package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cornelwall"
	"cornelwall/standin/task"
)

const (
	ticketBatchSize = 8 // tickets per request for tickets
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	idleConns       = 64
)

// Job is the job of a caller. Task i is to return the text Label(i).
type Job struct {
	Name         string // unique among the jobs that may have run
	Profile      string
	Tasks        int
	Sleep        time.Duration // of each task
	Need         cornelwall.Need
	TimeLeft     time.Duration // until the deadline; 0 uses the deadline of the profile
	Key          string        // idempotency key; if empty, the job gets a ticket
	ReadAndClose bool          // the executor or worker starts each task and closes the connection without a response
}

// Label returns the text that identifies task i and that its result must equal.
func (j *Job) Label(i int) string { return fmt.Sprintf("%s/%d", j.Name, i) }

// Spec returns the job as it is submitted under the ticket.
func (j *Job) Spec(tk cornelwall.Ticket) cornelwall.Job {
	spec := cornelwall.Job{Ticket: tk, Profile: j.Profile, TimeLeft: cornelwall.Duration(j.TimeLeft)}
	for i := range j.Tasks {
		t := task.Task{Sleep: cornelwall.Duration(j.Sleep), Echo: j.Label(i), ReadAndClose: j.ReadAndClose}
		spec.Tasks = append(spec.Tasks, cornelwall.Task{Body: t.Body(), Need: j.Need, Estimate: cornelwall.Duration(j.Sleep)})
	}
	return spec
}

// Reply is the response of an entry. Error is set if the response is an error without an answer for a
// job.
type Reply struct {
	cornelwall.Answer
	Error  string `json:"error"`
	Status int    `json:"-"`
}

// Driver submits jobs. It is safe for concurrent use.
type Driver struct {
	PickEntry func() string // returns the base URL of the callers' listener of an entry
	Ledger    *Ledger
	http      http.Client

	mu      sync.Mutex
	tickets map[string][]cornelwall.Ticket // unused, keyed by profile
}

// New returns a driver with an empty ledger.
func New(pick func() string) *Driver {
	return &Driver{
		PickEntry: pick, Ledger: newLedger(),
		http:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
		tickets: map[string][]cornelwall.Ticket{},
	}
}

// Close closes idle connections.
func (d *Driver) Close() { d.http.CloseIdleConnections() }

// Run submits a job and returns its final answer. It submits again under the same ticket or key until
// an answer is final, and under a new ticket or key if the job was not run for a transient reason.
func (d *Driver) Run(ctx context.Context, j Job) (cornelwall.Answer, error) {
	for attempt := 0; ; attempt++ {
		var tk cornelwall.Ticket
		if j.Key == "" {
			var err error
			if tk, err = d.nextTicket(ctx, j.Profile); err != nil {
				return cornelwall.Answer{}, err
			}
		}
		a, err := d.SubmitUntilFinal(ctx, j, tk)
		if err != nil || a.Outcome != cornelwall.NotRun || !isTransient(a.Reason) {
			return a, err
		}
		if j.Key != "" {
			j.Key += "+" // the refusal of the old key is final
		}
		if err := backOff(ctx, time.Duration(a.RetryAfter), attempt); err != nil {
			return a, err
		}
	}
}

// isTransient reports whether a job refused for the reason may run if it is submitted again.
func isTransient(r cornelwall.Reason) bool {
	switch r {
	case cornelwall.ReasonNoProfile, cornelwall.ReasonNeverFits, cornelwall.ReasonCancelled:
		return false
	}
	return true
}

// SubmitUntilFinal submits a job under one ticket, each time to an entry from PickEntry, until the
// answer is final. It returns an error if an entry rejects the request itself: with an error response of a
// status below 500, or because of its content or ticket.
func (d *Driver) SubmitUntilFinal(ctx context.Context, j Job, tk cornelwall.Ticket) (cornelwall.Answer, error) {
	for attempt := 0; ; attempt++ {
		r, err := d.Submit(ctx, d.PickEntry(), j, tk)
		switch {
		case ctx.Err() != nil:
			return r.Answer, fmt.Errorf("job %s: %w; last answer %s %s", j.Name, ctx.Err(), r.Outcome, r.Reason)
		case err != nil:
		case r.Error != "" && r.Status < http.StatusInternalServerError:
			return r.Answer, fmt.Errorf("job %s: status %d: %s", j.Name, r.Status, r.Error)
		case r.Reason == cornelwall.ReasonContent, r.Reason == cornelwall.ReasonTicket:
			return r.Answer, fmt.Errorf("job %s: %s", j.Name, r.Reason)
		case r.Final:
			return r.Answer, nil
		}
		if err := backOff(ctx, time.Duration(r.RetryAfter), attempt); err != nil {
			return r.Answer, err
		}
	}
}

// Submit sends a job once and records the answer in the ledger.
func (d *Driver) Submit(ctx context.Context, entry string, j Job, tk cornelwall.Ticket) (Reply, error) {
	spec := j.Spec(tk)
	var r Reply
	status, err := d.call(ctx, http.MethodPost, entry+"/v1/jobs", j.Key, spec, &r)
	r.Status = status
	d.Ledger.addReply(&j, &r, err)
	return r, err
}

// Cancel sends one request to cancel a job and records the answer in the ledger.
func (d *Driver) Cancel(ctx context.Context, entry string, j Job, tk cornelwall.Ticket) (Reply, error) {
	var r Reply
	status, err := d.call(ctx, http.MethodDelete, entry+"/v1/jobs/"+tk.String(), "", nil, &r)
	r.Status = status
	d.Ledger.addReply(&j, &r, err)
	return r, err
}

// DrawTickets requests n tickets from an entry.
func (d *Driver) DrawTickets(ctx context.Context, entry, profile string, n int) ([]cornelwall.Ticket, error) {
	var r struct {
		Reply
		Tickets []cornelwall.Ticket `json:"tickets"`
	}
	req := map[string]any{"profile": profile, "count": n}
	status, err := d.call(ctx, http.MethodPost, entry+"/v1/tickets", "", req, &r)
	if err == nil && len(r.Tickets) == 0 {
		err = fmt.Errorf("no tickets: status %d %s %s", status, r.Reason, r.Error)
	}
	return r.Tickets, err
}

// DropTickets discards the unused tickets. Call it when their owners are unreachable for a long time.
func (d *Driver) DropTickets() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.tickets)
}

// nextTicket returns an unused ticket. If there is none, it requests a batch from any entry.
func (d *Driver) nextTicket(ctx context.Context, profile string) (cornelwall.Ticket, error) {
	for attempt := 0; ; attempt++ {
		d.mu.Lock()
		if ts := d.tickets[profile]; len(ts) > 0 {
			d.tickets[profile] = ts[1:]
			d.mu.Unlock()
			return ts[0], nil
		}
		d.mu.Unlock()
		ts, err := d.DrawTickets(ctx, d.PickEntry(), profile, ticketBatchSize)
		if err == nil {
			d.mu.Lock()
			d.tickets[profile] = append(d.tickets[profile], ts...)
			d.mu.Unlock()
			continue
		}
		if waitErr := backOff(ctx, 0, attempt); waitErr != nil {
			return cornelwall.Ticket{}, errors.Join(waitErr, err)
		}
	}
}

// backOff waits for the retry delay of an answer or, if it is 0, exponentially longer with each
// attempt, at most maxBackoff.
func backOff(ctx context.Context, retryAfter time.Duration, attempt int) error {
	if retryAfter == 0 {
		retryAfter = minBackoff << min(attempt, 10)
	}
	return cornelwall.Wait(ctx, min(retryAfter, maxBackoff))
}

// mayHaveReached reports whether a request that failed with err may have reached an entry, which is
// excluded only if the dial failed.
func mayHaveReached(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// call sends a JSON request with an optional idempotency key and decodes the JSON response into out.
func (d *Driver) call(ctx context.Context, method, url, key string, in, out any) (status int, err error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := d.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(b, out)
}
