package dispatch

import (
	"time"

	"cornelwall"
)

const (
	cancelInterval       = 10 * time.Millisecond  // between two messages to a peer with new cancellations
	cancelRetry          = 200 * time.Millisecond // after which a peer that answers is sent unconfirmed cancellations again
	cancelSpread         = 10 * time.Second       // for which a cancellation is sent to peers, including newly listed ones
	maxCancellationsSent = 512                    // in one message; longer answers to queries are sent as bulk
)

// peerCancels is what a peer knows of this entry's cancellations.
type peerCancels struct {
	keeps     bool      // it records cancellations and confirms them
	sent      uint64    // number of the last one that it was sent
	confirmed uint64    // number up to which it has confirmed them
	sentAt    time.Time // when it was last sent any
	repeats   int       // repeated messages since the last confirmation
}

// sendNewCancellations sends the peers the cancellations that they have not been sent.
func (c *Core) sendNewCancellations() {
	if !c.cancelsUnsent || c.now.Sub(c.cancelsSentAt) < cancelInterval {
		return
	}
	c.cancelsUnsent, c.cancelsSentAt = false, c.now
	for _, p := range c.peersByID {
		c.sendCancellations(p)
	}
}

// sendCancellations sends a peer the cancellations after the last one that it was sent.
func (c *Core) sendCancellations(p *peer) {
	if !p.cancels.keeps || p.dead || len(c.ownCancels) == 0 {
		return
	}
	first := max(p.cancels.sent+1, c.ownCancels[0].number)
	if first > c.lastNumber {
		return
	}
	m := &cornelwall.Cancellations{First: first}
	for _, o := range c.ownCancels[first-c.ownCancels[0].number:] {
		if len(m.List) == maxCancellationsSent {
			break
		}
		m.List = append(m.List, cornelwall.Cancellation{ID: o.id, Age: c.now.Sub(o.askedAt)})
	}
	p.cancels.sent, p.cancels.sentAt = first+uint64(len(m.List))-1, c.now
	c.send(p.id, cornelwall.Message{Cancellations: m})
}

// repeatCancellations forgets the cancellations that need not be sent any more, and sends the others to peers
// that have not been sent or not confirmed them.
func (c *Core) repeatCancellations() {
	for len(c.ownCancels) > 0 && len(c.ownCancels[0].callers) == 0 && c.now.Sub(c.ownCancels[0].askedAt) > cancelSpread {
		if o := c.ownCancels[0]; c.ownByID[o.id] == o {
			delete(c.ownByID, o.id)
		}
		c.ownCancels = c.ownCancels[1:]
	}
	if len(c.ownCancels) == 0 {
		c.ownCancels = nil
		return
	}
	c.sendNewCancellations()
	for _, p := range c.peersByID {
		x := &p.cancels
		if x.confirmed >= c.lastNumber {
			continue
		}
		wait := cancelRetry
		if !c.isResponsive(p) && x.repeats > 0 {
			wait = seedInterval
		}
		if x.sent > x.confirmed && c.now.Sub(x.sentAt) >= wait {
			x.sent = x.confirmed
			x.repeats++
		}
		if x.sent < c.lastNumber && !c.cancelsUnsent {
			c.sendCancellations(p)
		}
	}
}

// handleCancellations records the cancellations of a peer's callers, and confirms them.
func (c *Core) handleCancellations(from cornelwall.Incarnation, m *cornelwall.Cancellations) {
	if !c.keepsCancellations() || len(m.List) == 0 || !c.recordCancellations(m.List) {
		return
	}
	c.send(from, cornelwall.Message{CancellationsKept: &cornelwall.CancellationsKept{First: m.First, Last: m.First + uint64(len(m.List)) - 1}})
}

// handleCancellationsKept notes which cancellations a peer has confirmed. A confirmation after a gap is dropped, as
// what is missing is sent again.
func (c *Core) handleCancellationsKept(from cornelwall.Incarnation, m *cornelwall.CancellationsKept) {
	p := c.peers[from]
	if p == nil || len(c.ownCancels) == 0 || m.Last > c.lastNumber {
		return
	}
	done := max(p.cancels.confirmed, c.ownCancels[0].number-1)
	if m.First > done+1 || m.Last <= done {
		return
	}
	p.cancels.confirmed, p.cancels.repeats = m.Last, 0
	p.cancels.sent = max(p.cancels.sent, m.Last)
	c.answerCancellers()
}
