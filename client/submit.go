package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cornelwall"
)

// errNotSent means that a job was not sent, because the entry that issued its ticket is unreachable.
var errNotSent = errors.New("entry that issued the ticket is unreachable")

// Submit runs a job and waits for its answer until ctx ends. A job without a ticket gets one from
// the client; a ticket that the job already has is never replaced. The error is an *Error, or of
// kind cornelwall.ErrInput if the job is invalid and was not accepted.
func (c *Client) Submit(ctx context.Context, job cornelwall.Job) (cornelwall.Answer, error) {
	if job.Profile == "" {
		job.Profile = c.cfg.Profile
	}
	err := job.Check()
	if job.Profile != c.cfg.Profile {
		err = errors.Join(err, fmt.Errorf("profile %q differs from the client's profile %q; create another client for it", job.Profile, c.cfg.Profile))
	}
	if err != nil {
		return cornelwall.Answer{}, inputError(err)
	}
	s := &submission{c: c, job: job, startedAt: c.cfg.Clock.Now()}
	if !job.Ticket.IsZero() {
		return s.runWithTicket(ctx, drawnTicket{ticket: job.Ticket})
	}
	return s.runWithDrawnTickets(ctx)
}

// submission is a call of Submit in progress.
type submission struct {
	c         *Client
	job       cornelwall.Job
	startedAt time.Time
}

// runWithDrawnTickets runs the job under tickets drawn by the client.
func (s *submission) runWithDrawnTickets(ctx context.Context) (cornelwall.Answer, error) {
	retries, dropped := s.c.cfg.Retries, 0
	for {
		d, err := s.c.takeTicket(ctx)
		if errors.Is(err, cornelwall.ErrPeer) {
			err = notRunError(err)
		}
		if err != nil {
			return answerOf(err), err
		}
		a, err := s.runWithTicket(ctx, d)
		switch {
		case errors.Is(err, errNotSent):
			s.c.dropTickets(func(other drawnTicket) bool { return other.entry == d.entry })
			s.c.nextEntry(d.entry)
			dropped++
			if s.c.cfg.Clock.Wait(ctx, s.c.retryDelay(dropped, 0)) != nil {
				err = notRunError(err)
				return answerOf(err), err
			}
		case retries > 0 && errors.Is(err, ErrNotRun) && canRetry(&a):
			retries--
			if s.c.cfg.Clock.Wait(ctx, time.Duration(a.RetryAfter)) != nil {
				return a, err
			}
		default:
			return a, err
		}
	}
}

// canRetry reports whether a job that did not run could run under a new ticket.
func canRetry(a *cornelwall.Answer) bool {
	return a.RetryAfter > 0 || a.Reason == cornelwall.ReasonClosed || a.Reason == cornelwall.ReasonStopping
}

// runWithTicket submits the job under one ticket until it has a final answer or ctx ends. If the
// ticket was drawn by the client and its entry is unreachable, the error is errNotSent. A pending
// answer with a reason means that the entry has rejected the request.
func (s *submission) runWithTicket(ctx context.Context, d drawnTicket) (cornelwall.Answer, error) {
	s.job.Ticket = d.ticket
	entry := d.entry
	if entry == "" {
		entry = s.c.preferredEntry()
	}
	maybeSent := d.entry == "" // the caller may have used its ticket before
	var last cornelwall.Answer
	for attempt := 1; ; attempt++ {
		a, err := s.post(ctx, entry)
		s.c.dropUnusableTickets(&a)
		switch {
		case err == nil && isFinalAnswer(&a):
			return a, Err(a)
		case err == nil && a.Reason != cornelwall.ReasonNone && a.Outcome == cornelwall.Pending:
			return a, inputError(fmt.Errorf("%s: %s", a.Reason, a.Text))
		case err == nil:
			last = a
		case errors.Is(err, cornelwall.ErrInput) && !maybeSent:
			return cornelwall.Answer{}, err
		case errors.Is(err, cornelwall.ErrInput):
			err = unknownError(d.ticket, last, err)
			return answerOf(err), err
		case notSent(err) && !maybeSent:
			return cornelwall.Answer{}, fmt.Errorf("%w: %w", errNotSent, err)
		}
		maybeSent = true
		entry = s.c.nextEntry(entry)
		if s.c.cfg.Clock.Wait(ctx, s.c.retryDelay(attempt, time.Duration(a.RetryAfter))) != nil {
			err = unknownError(d.ticket, last, errors.Join(ctx.Err(), err))
			return answerOf(err), err
		}
	}
}

// post submits the job once.
func (s *submission) post(ctx context.Context, entry string) (cornelwall.Answer, error) {
	job := s.job
	if job.TimeLeft > 0 {
		job.TimeLeft = max(1, job.TimeLeft-cornelwall.Duration(s.c.cfg.Clock.Now().Sub(s.startedAt)))
	}
	r, err := s.c.send(ctx, entry, http.MethodPost, "/v1/jobs", &job)
	if err != nil {
		return cornelwall.Answer{}, err
	}
	a, err := r.answer(job.Ticket)
	if err == nil && a.Outcome == cornelwall.Done && len(a.Tasks) != len(job.Tasks) {
		err = fmt.Errorf("answer has %d tasks, want %d", len(a.Tasks), len(job.Tasks))
	}
	if err != nil {
		return cornelwall.Answer{RetryAfter: cornelwall.Duration(r.retryAfter)}, err
	}
	return a, nil
}

// isFinalAnswer reports whether the client stops asking: the outcome is definite, or unknown and the
// entry says that this is final.
func isFinalAnswer(a *cornelwall.Answer) bool {
	return a.Outcome.Definite() || (a.Outcome == cornelwall.Unknown && a.Final)
}

// answerOf returns the answer that an error carries.
func answerOf(err error) cornelwall.Answer {
	var e *Error
	if errors.As(err, &e) {
		return e.Answer
	}
	return cornelwall.Answer{}
}

// isPermanent reports whether repeating the request would return the same error. An entry that is
// stopping is not a permanent error, because other entries can answer.
func isPermanent(err error) bool {
	return errors.Is(err, ErrNotRun) && answerOf(err).Reason != cornelwall.ReasonStopping ||
		errors.Is(err, cornelwall.ErrInput)
}
