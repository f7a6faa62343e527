package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

// cancelWait is how long an entry waits for its peers before it refuses a DELETE. It is below the 6 s that callers wait,
// and long enough for an entry that stands still to be dropped from the platform's list.
const cancelWait = 4500 * time.Millisecond

// cancelState holds the cancellations that this entry knows of.
type cancelState struct {
	cancelled map[string]time.Time // when each batch was cancelled
	// ownCancels are the cancellations of this entry's callers that are sent to peers, in the order of their
	// consecutive numbers.
	ownCancels    []*ownCancellation
	ownByID       map[string]*ownCancellation
	unanswered    []*ownCancellation // those for whose acknowledgement callers wait
	lastNumber    uint64             // of ownCancels
	cancelsUnsent bool               // the latest one has not been sent to peers
	cancelsSentAt time.Time          // when new ones were last sent to peers
}

// ownCancellation is a cancellation that a caller has asked this entry for.
type ownCancellation struct {
	id           string
	number       uint64
	askedAt      time.Time // by the first caller
	callers      []canceller
	acknowledged bool
}

// canceller is a request that waits for the acknowledgement of a cancellation.
type canceller struct {
	req     uint64
	askedAt time.Time
}

func newCancelState() cancelState {
	return cancelState{cancelled: map[string]time.Time{}, ownByID: map[string]*ownCancellation{}}
}

// handleCancelBatch cancels a batch at whichever entry owns it. The caller is answered once no entry that is in
// contact with the platform can start a task of it any more, also after the loss of all entries, see docs/design/cancel.md.
func (c *Core) handleCancelBatch(ev cornelwall.CancelBatch) {
	if !c.keepsCancellations() {
		c.cancelUnconfirmed(ev)
		return
	}
	if !cornelwall.IsBatchID(ev.ID) {
		c.answerCanceller(ev.Req, cornelwall.BatchCancelled, "") // there is no such batch
		return
	}
	recorded := c.recordCancellations([]cornelwall.Cancellation{{ID: ev.ID}})
	o := c.ownByID[ev.ID]
	if o == nil || !o.acknowledged && c.now.Sub(o.askedAt) > cancelWait {
		if len(c.ownCancels) >= cornelwall.MaxCancellations {
			c.refuseCanceller(&ownCancellation{id: ev.ID, askedAt: c.now}, ev.Req, "full")
			return
		}
		o = c.addCancellation(ev.ID) // again, as catchUpMargin bounds the age of the peers' records
	}
	switch {
	case !recorded:
		c.refuseCanceller(o, ev.Req, "full")
	case o.acknowledged:
		c.answerCanceller(ev.Req, cornelwall.BatchCancelled, "")
	case !c.platformUp:
		c.refuseCanceller(o, ev.Req, "platform")
	default:
		if len(o.callers) == 0 {
			c.unanswered = append(c.unanswered, o)
		}
		o.callers = append(o.callers, canceller{req: ev.Req, askedAt: c.now})
		c.answerCancellers()
	}
}

// cancelUnconfirmed sends a cancellation to all peers and answers at once, without waiting for confirmations.
func (c *Core) cancelUnconfirmed(ev cornelwall.CancelBatch) {
	c.cancelOwned(ev.ID)
	for _, p := range c.peersByID {
		c.send(p.id, cornelwall.Message{BatchCancellation: &cornelwall.BatchCancellation{ID: ev.ID}})
	}
	c.answerCanceller(ev.Req, cornelwall.BatchCancelled, "")
}

// addCancellation adds a cancellation to those that are sent to peers.
func (c *Core) addCancellation(id string) *ownCancellation {
	c.lastNumber++
	c.callerCancels[id] = true
	o := &ownCancellation{id: id, number: c.lastNumber, askedAt: c.now}
	c.ownCancels, c.ownByID[id], c.cancelsUnsent = append(c.ownCancels, o), o, true
	for _, p := range c.peersByID {
		if !p.cancels.keeps { // of an earlier version
			c.send(p.id, cornelwall.Message{BatchCancellation: &cornelwall.BatchCancellation{ID: id}})
		}
	}
	return o
}

// mustConfirm reports whether a cancellation is acknowledged only once a peer has confirmed it. A peer that makes
// a planned stop is off the list and goes on with its batches until it ends.
func (c *Core) mustConfirm(p *peer) bool {
	if !p.cancels.keeps || p.dead {
		return false
	}
	return p.listed || p.leaving && c.now.Sub(p.unlistedAt) < c.cfg.Limits.StopGrace
}

// noteStopping notes that a peer that makes a planned stop has to confirm cancellations. A peer that this entry has never
// seen on the list counts as dropped from it now.
func (c *Core) noteStopping(p *peer, m *cornelwall.SessionHeartbeat) {
	if !m.Leaving || !m.KeepsCancellations {
		return
	}
	known := c.mustConfirm(p)
	p.cancels.keeps = true
	if !p.listed && p.unlistedAt.IsZero() {
		p.unlistedAt = c.now
	}
	if !known && c.mustConfirm(p) {
		c.resumeCatchUp()
	}
}

// confirmedNumber returns the number up to which all peers that must confirm cancellations have done so.
func (c *Core) confirmedNumber() uint64 {
	n := c.lastNumber
	for _, p := range c.peersByID {
		if c.mustConfirm(p) {
			n = min(n, p.cancels.confirmed)
		}
	}
	return n
}

// checkCancellations sends again what peers have not confirmed, and answers the callers of cancellations
// that take effect or whose time is over.
func (c *Core) checkCancellations() {
	c.repeatCancellations()
	c.answerCancellers()
}

// answerCancellers answers the callers of cancellations that take effect or whose time is over.
func (c *Core) answerCancellers() {
	if !c.hasUnansweredCancel() {
		return
	}
	confirmed := uint64(0)
	if c.platformUp && !c.mustCatchUp() {
		confirmed = min(c.confirmedNumber(), c.storedNumber)
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(o *ownCancellation) bool {
		if o.number <= confirmed {
			c.acknowledge(o)
			return true
		}
		o.callers = slices.DeleteFunc(o.callers, func(w canceller) bool {
			overdue := c.now.Sub(w.askedAt) >= cancelWait
			if overdue {
				c.refuseCanceller(o, w.req, "unconfirmed")
			}
			return overdue
		})
		return len(o.callers) == 0
	})
}

// acknowledge answers the callers of a cancellation that takes effect.
func (c *Core) acknowledge(o *ownCancellation) {
	c.log("cancel-acknowledged", "job", o.id, "number", o.number, "peers", len(c.confirmingPeers(o.number)), "took", c.now.Sub(o.askedAt))
	for _, w := range o.callers {
		c.answerCanceller(w.req, cornelwall.BatchCancelled, "")
	}
	o.callers, o.acknowledged = nil, true
}

// refuseCanceller tells a caller that it is not known whether its cancellation takes effect.
func (c *Core) refuseCanceller(o *ownCancellation, req uint64, why string) {
	var missing []cornelwall.Incarnation
	for _, p := range c.peersByID {
		if c.mustConfirm(p) && p.cancels.confirmed < o.number {
			missing = append(missing, p.id)
		}
	}
	c.log("cancel-refused", "job", o.id, "number", o.number, "why", why, "missing", missing, "stored", c.storedNumber >= o.number, "caughtup", !c.mustCatchUp(), "took", c.now.Sub(o.askedAt))
	c.answerCanceller(req, cornelwall.BatchRefused, "it is not known whether all entries have the cancellation; send it again")
}

// refuseCancellers refuses all cancellations that are not acknowledged.
func (c *Core) refuseCancellers(why string) {
	for _, o := range c.unanswered {
		for _, w := range o.callers {
			c.refuseCanceller(o, w.req, why)
		}
		o.callers = nil
	}
	c.unanswered = nil
}

// confirmingPeers returns the peers that have to confirm cancellations and have confirmed one.
func (c *Core) confirmingPeers(number uint64) []*peer {
	var list []*peer
	for _, p := range c.peersByID {
		if c.mustConfirm(p) && p.cancels.confirmed >= number {
			list = append(list, p)
		}
	}
	return list
}

// answerCanceller answers a caller of a cancellation.
func (c *Core) answerCanceller(req uint64, end cornelwall.BatchEnd, text string) {
	a := cornelwall.BatchAnswer{End: end, Reason: cornelwall.ReasonCancelled, Text: text}
	if end == cornelwall.BatchRefused {
		a.Reason, a.RetryAfter = cornelwall.ReasonStale, c.retryAfter(nil, req)
		c.emit(cornelwall.CountReason{Reason: a.Reason, N: 1})
	}
	c.emit(cornelwall.ReplyBatch{Req: req, Answer: a})
}

// hasUnansweredCancel reports whether a caller waits for the answer to a cancellation.
func (c *Core) hasUnansweredCancel() bool { return len(c.unanswered) > 0 }

// forgetCanceller removes a caller that has disconnected. Its cancellation goes on.
func (c *Core) forgetCanceller(req uint64) {
	c.unanswered = slices.DeleteFunc(c.unanswered, func(o *ownCancellation) bool {
		o.callers = slices.DeleteFunc(o.callers, func(w canceller) bool { return w.req == req })
		return len(o.callers) == 0
	})
}
