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

// maxTicketAge is the time after which an unused ticket is dropped. It is well below the time after
// which a ticket expires at its owner.
const maxTicketAge = 2 * time.Minute

// drawnTicket is a ticket with its origin. If the caller supplied the ticket, entry and drawnAt are
// not set.
type drawnTicket struct {
	ticket  cornelwall.Ticket
	entry   string // that issued it
	drawnAt time.Time
}

// Draw returns n new tickets. It tries the entries in turn until ctx ends. The error is of kind
// ErrNotRun if an entry refuses the draw, of kind cornelwall.ErrInput if the request is invalid,
// and of kind cornelwall.ErrPeer if ctx ends first.
func (c *Client) Draw(ctx context.Context, n int) ([]cornelwall.Ticket, error) {
	drawn, err := c.draw(ctx, n)
	var ts []cornelwall.Ticket
	for _, d := range drawn {
		ts = append(ts, d.ticket)
	}
	return ts, err
}

func (c *Client) draw(ctx context.Context, n int) ([]drawnTicket, error) {
	entry := c.preferredEntry()
	for attempt := 1; ; attempt++ {
		drawn, retryAfter, err := c.drawFrom(ctx, entry, n)
		if err == nil {
			return drawn, nil
		}
		if isPermanent(err) {
			return nil, err
		}
		entry = c.nextEntry(entry)
		if c.cfg.Clock.Wait(ctx, c.retryDelay(attempt, retryAfter)) != nil {
			return nil, merry.Wrap(cornelwall.ErrPeer, merry.AppendMessage(err.Error()))
		}
	}
}

// drawFrom draws tickets from one entry. The duration is the delay that a refusal asks for.
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
		return nil, 0, fmt.Errorf("entry %s returned no tickets: %w", entry, err)
	}
	var drawn []drawnTicket
	c.nextEntry(entry) // the next draw uses another entry, which spreads the jobs
	for _, t := range out.Tickets {
		drawn = append(drawn, drawnTicket{ticket: t, entry: entry, drawnAt: c.cfg.Clock.Now()})
	}
	return drawn, 0, nil
}

// takeTicket returns an unused ticket, from the pool or newly drawn. If several submissions find
// the pool empty, one of them draws for all.
func (c *Client) takeTicket(ctx context.Context) (drawnTicket, error) {
	if d, ok := c.popTicket(); ok {
		return d, nil
	}
	c.addWaiters(1)
	defer c.addWaiters(-1)
	select {
	case c.drawSlot <- struct{}{}:
		defer func() { <-c.drawSlot }()
	case <-ctx.Done():
		return drawnTicket{}, notRunError(ctx.Err())
	}
	if d, ok := c.popTicket(); ok {
		return d, nil
	}
	drawn, err := c.draw(ctx, min(c.cfg.Ahead+c.addWaiters(0), maxDraw))
	if err != nil {
		return drawnTicket{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = append(c.pool, drawn[1:]...)
	return drawn[0], nil
}

// addWaiters adds n to the number of submissions that wait for a ticket and returns the sum.
func (c *Client) addWaiters(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters += n
	return c.waiters
}

// popTicket drops tickets older than maxTicketAge, then removes and returns the newest one. It
// requests a refill if less than half of Config.Ahead remain.
func (c *Client) popTicket() (drawnTicket, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.cfg.Clock.Now().Add(-maxTicketAge)
	c.pool = slices.DeleteFunc(c.pool, func(d drawnTicket) bool { return d.drawnAt.Before(oldest) })
	if len(c.pool) == 0 {
		return drawnTicket{}, false
	}
	last := len(c.pool) - 1
	d := c.pool[last]
	c.pool = c.pool[:last]
	if 2*len(c.pool) < c.cfg.Ahead {
		select {
		case c.refill <- struct{}{}:
		default: // already requested
		}
	}
	return d, true
}

// dropTickets removes the matching tickets from the pool.
func (c *Client) dropTickets(match func(drawnTicket) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = slices.DeleteFunc(c.pool, match)
}

// dropUnusableTickets removes the tickets of an owner that an answer reports as lost, unreachable,
// closed or stopping, because jobs under them would get the same answer.
func (c *Client) dropUnusableTickets(a *cornelwall.Answer) {
	switch a.Reason {
	case cornelwall.ReasonOwnerLost, cornelwall.ReasonOwnerAway, cornelwall.ReasonClosed, cornelwall.ReasonStopping:
		c.dropTickets(func(d drawnTicket) bool { return d.ticket.Owner == a.Ticket.Owner })
	}
}

// refillPool draws tickets on request until ctx ends. It does not retry a failed draw: the next
// submission that finds the pool empty draws itself and gets the error.
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
		drawn, _, err := c.drawFrom(ctx, entry, n)
		if err != nil {
			c.nextEntry(entry)
			continue
		}
		c.mu.Lock()
		c.pool = append(c.pool, drawn...)
		c.mu.Unlock()
	}
}
