// Package drive submits jobs to entries as the client package does, and keeps a ledger
// of every answer to hold against the starts that the endpoints counted.
//
// # Usage
//
//	d := drive.New(pick)
//	end, err := d.Run(ctx, drive.Job{Name: "job-1", Profile: "holds", Tasks: 8})
//	sums := d.Ledger.Audit(starts)
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
	ticketBatchSize = 8 // tickets in one draw
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	idleConns       = 64
)

// Job is what a caller asks for. The text of task i is Label(i).
type Job struct {
	Name         string // unique; never submitted again once it may have run
	Profile      string
	Tasks        int
	Sleep        time.Duration // of each task
	Need         cornelwall.Need
	TimeLeft     time.Duration // to the deadline; 0 takes the profile's
	Key          string        // the caller's own key; empty draws a ticket
	ReadAndClose bool          // the endpoint reads each start and closes the connection
}

// Label returns the text of task i.
func (j *Job) Label(i int) string { return fmt.Sprintf("%s/%d", j.Name, i) }

// Spec returns the submission under the ticket.
func (j *Job) Spec(tk cornelwall.Ticket) cornelwall.Job {
	spec := cornelwall.Job{Ticket: tk, Profile: j.Profile, TimeLeft: cornelwall.Duration(j.TimeLeft)}
	for i := range j.Tasks {
		t := task.Task{Sleep: cornelwall.Duration(j.Sleep), Echo: j.Label(i), ReadAndClose: j.ReadAndClose}
		spec.Tasks = append(spec.Tasks, cornelwall.Task{Body: t.Body(), Need: j.Need, Estimate: cornelwall.Duration(j.Sleep)})
	}
	return spec
}

// Reply is what an entry answered. Error tells of a request that has no answer of a job.
type Reply struct {
	cornelwall.Answer
	Error  string `json:"error"`
	Status int    `json:"-"`
}

// Driver submits jobs. It is safe for concurrent use.
type Driver struct {
	PickEntry func() string // base URL of the callers' listener of some entry
	Ledger    *Ledger
	http      http.Client

	mu      sync.Mutex
	tickets map[string][]cornelwall.Ticket // drawn ahead, by profile
}

// New returns a driver with an empty ledger.
func New(pick func() string) *Driver {
	return &Driver{
		PickEntry: pick, Ledger: newLedger(),
		http:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
		tickets: map[string][]cornelwall.Ticket{},
	}
}

// Close closes the idle connections.
func (d *Driver) Close() { d.http.CloseIdleConnections() }

// Run submits a job, again after lost answers, and under a new ticket after "not run",
// until it has a final answer that did or may have run.
func (d *Driver) Run(ctx context.Context, j Job) (cornelwall.Answer, error) {
	for try := 0; ; try++ {
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
			j.Key += "+" // the key stays refused
		}
		if err := backOff(ctx, time.Duration(a.RetryAfter), try); err != nil {
			return a, err
		}
	}
}

// isTransient reports whether a refusal passes by itself.
func isTransient(r cornelwall.Reason) bool {
	switch r {
	case cornelwall.ReasonNoProfile, cornelwall.ReasonNeverFits, cornelwall.ReasonCancelled:
		return false
	}
	return true
}

// SubmitUntilFinal submits a job under one ticket until the answer is final.
func (d *Driver) SubmitUntilFinal(ctx context.Context, j Job, tk cornelwall.Ticket) (cornelwall.Answer, error) {
	for try := 0; ; try++ {
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
		if err := backOff(ctx, time.Duration(r.RetryAfter), try); err != nil {
			return r.Answer, err
		}
	}
}

// Submit sends a job once and enters the answer in the ledger.
func (d *Driver) Submit(ctx context.Context, entry string, j Job, tk cornelwall.Ticket) (Reply, error) {
	spec := j.Spec(tk)
	var r Reply
	status, err := d.call(ctx, http.MethodPost, entry+"/v1/jobs", j.Key, spec, &r)
	r.Status = status
	d.Ledger.addAnswer(&j, &r, err)
	return r, err
}

// Cancel gives up a job once.
func (d *Driver) Cancel(ctx context.Context, entry string, j Job, tk cornelwall.Ticket) (Reply, error) {
	var r Reply
	status, err := d.call(ctx, http.MethodDelete, entry+"/v1/jobs/"+tk.String(), "", nil, &r)
	r.Status = status
	d.Ledger.addAnswer(&j, &r, err)
	return r, err
}

// DrawTickets draws n tickets from an entry.
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

// DropTickets forgets the tickets that were drawn ahead, when their owners cannot be
// reached for long.
func (d *Driver) DropTickets() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.tickets)
}

// nextTicket returns a ticket that was drawn ahead, or draws new ones from any entry.
func (d *Driver) nextTicket(ctx context.Context, profile string) (cornelwall.Ticket, error) {
	for try := 0; ; try++ {
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
		if perr := backOff(ctx, 0, try); perr != nil {
			return cornelwall.Ticket{}, errors.Join(perr, err)
		}
	}
}

// backOff waits for the time that an answer asks for, or longer with each try.
func backOff(ctx context.Context, back time.Duration, try int) error {
	if back == 0 {
		back = minBackoff << min(try, 10)
	}
	return cornelwall.Wait(ctx, min(back, maxBackoff))
}

// mayHaveReached reports whether a request that failed may have reached an entry.
func mayHaveReached(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

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
