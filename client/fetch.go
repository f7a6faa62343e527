package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"cornelwall"
)

// Fetch returns the state of a job. With wait it returns once the job has ended. If ctx ends first,
// it returns the last known state and an error of kind cornelwall.ErrPeer. The error is of kind
// cornelwall.ErrInput if the entry rejects the request.
func (c *Client) Fetch(ctx context.Context, t cornelwall.Ticket, wait bool) (cornelwall.Answer, error) {
	path := "/v1/jobs/" + t.String()
	if wait {
		path += "?wait=true"
	}
	return c.ask(ctx, http.MethodGet, path, t, wait)
}

// Cancel cancels a job and returns its outcome. Tasks that have started may continue. The errors
// are those of Fetch.
func (c *Client) Cancel(ctx context.Context, t cornelwall.Ticket) (cornelwall.Answer, error) {
	return c.ask(ctx, http.MethodDelete, "/v1/jobs/"+t.String(), t, true)
}

// ask repeats an idempotent request until it has an answer or, with untilFinal, until it has a
// final one. A pending answer with a reason means that the entry has rejected the request.
func (c *Client) ask(ctx context.Context, method, path string, t cornelwall.Ticket, untilFinal bool) (cornelwall.Answer, error) {
	last := cornelwall.Answer{Ticket: t}
	entry := c.preferredEntry()
	for attempt := 1; ; attempt++ {
		a, retryAfter, err := c.askEntry(ctx, entry, method, path, t)
		switch {
		case errors.Is(err, cornelwall.ErrInput):
			return last, err
		case err == nil && (!untilFinal || isFinalAnswer(&a)):
			return a, nil
		case err == nil && a.Outcome == cornelwall.Pending && a.Reason != cornelwall.ReasonNone:
			return a, inputError(errors.New(a.Text))
		case err == nil:
			last = a
		}
		entry = c.nextEntry(entry)
		if werr := c.cfg.Clock.Wait(ctx, c.retryDelay(attempt, retryAfter)); werr != nil {
			return last, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(errors.Join(werr, err).Error()))
		}
	}
}

func (c *Client) askEntry(ctx context.Context, entry, method, path string, t cornelwall.Ticket) (cornelwall.Answer, time.Duration, error) {
	r, err := c.send(ctx, entry, method, path, nil)
	if err != nil {
		return cornelwall.Answer{}, 0, err
	}
	a, err := r.answer(t)
	return a, time.Duration(a.RetryAfter), err
}
