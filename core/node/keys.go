package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/claim"
	"cornelwall/core/owner"
)

// beginClaim claims the caller's idempotency key for a new ticket. Until the key has been
// read, nothing is known about an earlier submission under it, so if the key cannot be
// claimed the answer is unknown and not a refusal. A claim is made even if the profile is
// retired or this entry is stopping: the entry that owns the job of an existing key still
// answers for it, and a new key is bound to a ticket that is refused.
func (n *Node) beginClaim(ev cornelwall.Submit) {
	p, ok := n.catalog.Latest(ev.Job.Profile)
	if !ok {
		n.reply(ev.Req, n.invalidAnswer(cornelwall.Ticket{}, cornelwall.ReasonNoProfile))
		return
	}
	job := *ev.Job
	job.Ticket = n.minter.Mint(n.now, p.Team)
	id := n.newID()
	c, retryAfter := n.claims.Begin(n.now, id, ev.Req, &job, p.Team, ev.Key)
	if c == nil {
		n.reply(ev.Req, n.claimFailedAnswer(cornelwall.ReasonClaims, retryAfter))
		return
	}
	n.writeClaim(id, c)
}

// claimFailedAnswer returns the answer to a submission whose key could not be claimed. It
// carries no ticket, since the key may be bound to another one.
func (n *Node) claimFailedAnswer(reason cornelwall.Reason, retryAfter time.Duration) cornelwall.Answer {
	n.countReason(reason, false)
	return cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: reason, RetryAfter: cornelwall.Duration(retryAfter),
		Text: "the key could not be claimed; send the job again under the same key, to any entry"}
}

func (n *Node) writeClaim(id uint64, c *claim.Claim) {
	n.emit(cornelwall.StoreCreate{ID: id, Key: c.Key, Value: c.EncodedValue(), TTL: n.cfg.ClaimTTL})
}

// claimStored handles the result of reading or writing a claim in the platform's store.
func (n *Node) claimStored(ev cornelwall.StoreResult) {
	c, step := n.claims.HandleResult(ev.ID, ev)
	if c == nil {
		return
	}
	if step == claim.Won || step == claim.Lost {
		c.Job.TimeLeft = subtractElapsed(c.Job.TimeLeft, n.now.Sub(c.Received))
	}
	switch step {
	case claim.Won:
		n.accept(c.Job, owner.Waiter{Req: c.Req})
	case claim.Lost:
		n.routeToBoundTicket(c)
	case claim.Read:
		n.emit(cornelwall.StoreGet{ID: ev.ID, Key: c.Key})
	case claim.Write:
		n.writeClaim(ev.ID, c)
	case claim.GiveUp:
		// The claim may still take effect, so the ticket is refused for good.
		n.jobs.Refuse(c.Job.Ticket, owner.Refusal{Reason: cornelwall.ReasonStore})
		n.reply(c.Req, n.claimFailedAnswer(cornelwall.ReasonStore, longRetryAfter))
	}
}

// routeToBoundTicket routes a submission under the ticket that its key is already bound to.
func (n *Node) routeToBoundTicket(c *claim.Claim) {
	if c.Holder.Digest != c.Digest {
		n.reply(c.Req, n.invalidAnswer(c.Holder.Ticket, cornelwall.ReasonContent))
		return
	}
	job := *c.Job
	job.Ticket = c.Holder.Ticket
	n.route(c.Req, cornelwall.DeedSubmit, job.Ticket, &job)
}
