package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/claim"
	"cornelwall/core/owner"
)

// beginClaim claims the caller's key for a new ticket. Until the key has been read
// nothing is known of an earlier submission under it, so that the answer is unknown and
// not a refusal if the key cannot be claimed. The profile may be retired or this entry
// stopping: the owner of the key still answers for what ran before, and a key that is new
// is bound to a ticket that is refused.
func (n *Node) beginClaim(ev cornelwall.Submit) {
	p, ok := n.catalog.Latest(ev.Job.Profile)
	if !ok {
		n.reply(ev.Req, n.invalidAnswer(cornelwall.Ticket{}, cornelwall.ReasonNoProfile))
		return
	}
	job := *ev.Job
	job.Ticket = n.minter.Mint(n.now, p.Team)
	id := n.newID()
	c, back := n.claims.Begin(n.now, id, ev.Req, &job, p.Team, ev.Key)
	if c == nil {
		n.reply(ev.Req, n.claimFailedAnswer(cornelwall.ReasonClaims, back))
		return
	}
	n.writeClaim(id, c)
}

// claimFailedAnswer returns the answer to a submission whose key could not be claimed. It
// carries no ticket, since the key may hold another.
func (n *Node) claimFailedAnswer(reason cornelwall.Reason, back time.Duration) cornelwall.Answer {
	n.countReason(reason, false)
	return cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: reason, RetryAfter: cornelwall.Duration(back),
		Text: "the key could not be claimed; send the job again under the same key, to any entry"}
}

func (n *Node) writeClaim(id uint64, c *claim.Claim) {
	n.emit(cornelwall.StoreCreate{ID: id, Key: c.Key, Value: c.Value(), TTL: n.cfg.ClaimTTL})
}

// claimStored takes the answer of the platform's service to a claim.
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
		n.forwardToKeyHolder(c)
	case claim.Read:
		n.emit(cornelwall.StoreGet{ID: ev.ID, Key: c.Key})
	case claim.Write:
		n.writeClaim(ev.ID, c)
	case claim.GiveUp:
		// The claim may yet take effect, so that the ticket is refused for good.
		n.jobs.Refuse(c.Job.Ticket, owner.Refusal{Reason: cornelwall.ReasonStore})
		n.reply(c.Req, n.claimFailedAnswer(cornelwall.ReasonStore, longRetryAfter))
	}
}

// forwardToKeyHolder forwards to the holder of the key.
func (n *Node) forwardToKeyHolder(c *claim.Claim) {
	if c.Holder.Digest != c.Digest {
		n.reply(c.Req, n.invalidAnswer(c.Holder.Ticket, cornelwall.ReasonContent))
		return
	}
	job := *c.Job
	job.Ticket = c.Holder.Ticket
	n.route(c.Req, cornelwall.DeedSubmit, job.Ticket, &job)
}
