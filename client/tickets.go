package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"cornelwall"
)

// maxAge is the time after which a ticket that was not used is dropped. It is well below
// the life of a ticket at its owner.
const maxAge = 2 * time.Minute

// held is a ticket that was never sent.
type held struct {
	ticket cornelwall.Ticket
	entry  string // that gave it out
	drawn  time.Time
}

// Draw returns n new tickets. It tries the entries in turn until ctx ends. The error is
// of kind ErrNotRun if the entries refuse, and of kind cornelwall.ErrPeer if none can be
// reached.
func (c *Client) Draw(ctx context.Context, n int) ([]cornelwall.Ticket, error) {
	hs, err := c.draw(ctx, n)
	var ts []cornelwall.Ticket
	for _, h := range hs {
		ts = append(ts, h.ticket)
	}
	return ts, err
}

func (c *Client) draw(ctx context.Context, n int) ([]held, error) {
	entry := c.first()
	for try := 1; ; try++ {
		hs, back, err := c.drawAt(ctx, entry, n)
		if err == nil {
			return hs, nil
		}
		if isFinal(err) {
			return nil, err
		}
		entry = c.after(entry)
		if c.cfg.Clock.Wait(ctx, c.pause(try, back)) != nil {
			return nil, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(err.Error()))
		}
	}
}

// drawAt draws tickets from one entry. A refusal that another entry would repeat is
// final.
func (c *Client) drawAt(ctx context.Context, entry string, n int) ([]held, time.Duration, error) {
	in := struct {
		Profile string `json:"profile"`
		Count   int    `json:"count"`
	}{c.cfg.Profile, n}
	r, err := c.send(ctx, entry, http.MethodPost, "/v1/tickets", in)
	if err != nil {
		return nil, 0, err
	}
	if r.status != http.StatusOK {
		a, err := r.answer(cornelwall.Ticket{})
		if err == nil {
			err = &Error{Kind: ErrNotRun, Answer: a}
		}
		return nil, r.back, err
	}
	var out struct{ Tickets []cornelwall.Ticket }
	if err := json.Unmarshal(r.body, &out); err != nil || len(out.Tickets) == 0 {
		return nil, 0, fmt.Errorf("entry %s gave no tickets: %w", entry, err)
	}
	var hs []held
	c.after(entry) // the next draw goes elsewhere, so that the entries share the jobs
	for _, t := range out.Tickets {
		hs = append(hs, held{ticket: t, entry: entry, drawn: c.cfg.Clock.Now()})
	}
	return hs, 0, nil
}

// take returns a ticket that was never sent, of the pool or freshly drawn. One of the
// submissions that find the pool empty draws for all of them.
func (c *Client) take(ctx context.Context) (held, error) {
	if h, ok := c.pop(); ok {
		return h, nil
	}
	c.wait(1)
	defer c.wait(-1)
	select {
	case c.drawing <- struct{}{}:
		defer func() { <-c.drawing }()
	case <-ctx.Done():
		return held{}, notRun(ctx.Err())
	}
	if h, ok := c.pop(); ok {
		return h, nil
	}
	hs, err := c.draw(ctx, min(c.cfg.Ahead+c.wait(0), maxAhead))
	if err != nil {
		return held{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = append(c.pool, hs[1:]...)
	return hs[0], nil
}

// wait changes the number of submissions that wait for tickets and returns it.
func (c *Client) wait(change int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += change
	return c.waiting
}

// pop takes the newest ticket of the pool that is not too old, and asks for more when
// half of the tickets are used.
func (c *Client) pop() (held, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.cfg.Clock.Now().Add(-maxAge)
	c.pool = slices.DeleteFunc(c.pool, func(h held) bool { return h.drawn.Before(oldest) })
	if len(c.pool) == 0 {
		return held{}, false
	}
	last := len(c.pool) - 1
	h := c.pool[last]
	c.pool = c.pool[:last]
	if 2*len(c.pool) < c.cfg.Ahead {
		select {
		case c.refill <- struct{}{}:
		default: // asked already
		}
	}
	return h, true
}

// drop forgets the tickets that match.
func (c *Client) drop(match func(held) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = slices.DeleteFunc(c.pool, match)
}

// heed forgets the tickets of an owner that an answer says is gone, away or stopping, as
// jobs under them would fare alike.
func (c *Client) heed(a *cornelwall.Answer) {
	switch a.Reason {
	case cornelwall.ReasonOwnerLost, cornelwall.ReasonOwnerAway, cornelwall.ReasonClosed, cornelwall.ReasonStopping:
		c.drop(func(h held) bool { return h.ticket.Owner == a.Ticket.Owner })
	}
}

// keepTickets draws tickets ahead until ctx ends. A draw that fails is left to the next
// submission, which finds out why.
func (c *Client) keepTickets(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.refill:
		}
		c.mu.Lock()
		n := c.cfg.Ahead - len(c.pool)
		c.mu.Unlock()
		if n <= 0 {
			continue
		}
		entry := c.first()
		hs, _, err := c.drawAt(ctx, entry, n)
		if err != nil {
			c.after(entry)
			continue
		}
		c.mu.Lock()
		c.pool = append(c.pool, hs...)
		c.mu.Unlock()
	}
}
