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
const maxTicketAge = 2 * time.Minute

// drawnTicket is a ticket that was never sent.
type drawnTicket struct {
	ticket  cornelwall.Ticket
	entry   string // that gave it out
	drawnAt time.Time
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

func (c *Client) draw(ctx context.Context, n int) ([]drawnTicket, error) {
	entry := c.preferredEntry()
	for try := 1; ; try++ {
		hs, back, err := c.drawFrom(ctx, entry, n)
		if err == nil {
			return hs, nil
		}
		if isFinal(err) {
			return nil, err
		}
		entry = c.nextEntry(entry)
		if c.cfg.Clock.Wait(ctx, c.retryDelay(try, back)) != nil {
			return nil, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(err.Error()))
		}
	}
}

// drawFrom draws tickets from one entry. A refusal that another entry would repeat is
// final.
func (c *Client) drawFrom(ctx context.Context, entry string, n int) ([]drawnTicket, time.Duration, error) {
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
		return nil, r.retryAfter, err
	}
	var out struct{ Tickets []cornelwall.Ticket }
	if err := json.Unmarshal(r.body, &out); err != nil || len(out.Tickets) == 0 {
		return nil, 0, fmt.Errorf("entry %s gave no tickets: %w", entry, err)
	}
	var hs []drawnTicket
	c.nextEntry(entry) // the next draw goes elsewhere, so that the entries share the jobs
	for _, t := range out.Tickets {
		hs = append(hs, drawnTicket{ticket: t, entry: entry, drawnAt: c.cfg.Clock.Now()})
	}
	return hs, 0, nil
}

// takeTicket returns a ticket that was never sent, of the pool or freshly drawn. One of the
// submissions that find the pool empty draws for all of them.
func (c *Client) takeTicket(ctx context.Context) (drawnTicket, error) {
	if h, ok := c.popTicket(); ok {
		return h, nil
	}
	c.addWaiters(1)
	defer c.addWaiters(-1)
	select {
	case c.drawSlot <- struct{}{}:
		defer func() { <-c.drawSlot }()
	case <-ctx.Done():
		return drawnTicket{}, notRunError(ctx.Err())
	}
	if h, ok := c.popTicket(); ok {
		return h, nil
	}
	hs, err := c.draw(ctx, min(c.cfg.Ahead+c.addWaiters(0), maxAhead))
	if err != nil {
		return drawnTicket{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = append(c.pool, hs[1:]...)
	return hs[0], nil
}

// addWaiters changes the number of submissions that wait for tickets and returns it.
func (c *Client) addWaiters(change int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters += change
	return c.waiters
}

// popTicket takes the newest ticket of the pool that is not too old, and asks for more when
// half of the tickets are used.
func (c *Client) popTicket() (drawnTicket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.cfg.Clock.Now().Add(-maxTicketAge)
	c.pool = slices.DeleteFunc(c.pool, func(h drawnTicket) bool { return h.drawnAt.Before(oldest) })
	if len(c.pool) == 0 {
		return drawnTicket{}, false
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

// dropTickets forgets the tickets that match.
func (c *Client) dropTickets(match func(drawnTicket) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = slices.DeleteFunc(c.pool, match)
}

// dropUnusableTickets forgets the tickets of an owner that an answer says is gone, away or stopping, as
// jobs under them would fare alike.
func (c *Client) dropUnusableTickets(a *cornelwall.Answer) {
	switch a.Reason {
	case cornelwall.ReasonOwnerLost, cornelwall.ReasonOwnerAway, cornelwall.ReasonClosed, cornelwall.ReasonStopping:
		c.dropTickets(func(h drawnTicket) bool { return h.ticket.Owner == a.Ticket.Owner })
	}
}

// refillPool draws tickets ahead until ctx ends. A draw that fails is left to the next
// submission, which finds out why.
func (c *Client) refillPool(ctx context.Context) {
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
		entry := c.preferredEntry()
		hs, _, err := c.drawFrom(ctx, entry, n)
		if err != nil {
			c.nextEntry(entry)
			continue
		}
		c.mu.Lock()
		c.pool = append(c.pool, hs...)
		c.mu.Unlock()
	}
}
