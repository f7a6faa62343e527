package node

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
	"cornelwall/core/owner"
)

// forward is a request of a local caller that another entry has to answer.
type forward struct {
	deed   cornelwall.Deed
	ticket cornelwall.Ticket
	job    *cornelwall.Job
	to     cornelwall.Incarnation // the owner or its heir
	since  time.Time
	giveUp time.Time // while the target does not answer
}

// route carries a request to the entry that can answer it.
func (n *Node) route(req uint64, deed cornelwall.Deed, tk cornelwall.Ticket, job *cornelwall.Job) {
	if !n.minter.Genuine(tk) {
		n.reply(req, n.mistake(tk, cornelwall.ReasonTicket))
		return
	}
	if tk.Owner == n.cfg.Self {
		n.local(owner.Waiter{Req: req}, deed, tk, job)
		return
	}
	f := &forward{deed: deed, ticket: tk, job: job, since: n.now, giveUp: n.now.Add(n.cfg.Away)}
	n.forwards[req] = f
	n.steer(req, f)
}

// fetch asks for the state of a job.
func (n *Node) fetch(ev cornelwall.Fetch) {
	deed := cornelwall.DeedFetch
	if ev.Wait {
		deed = cornelwall.DeedWait
	}
	n.route(ev.Req, deed, ev.Ticket, nil)
}

// steer sends a forward to the owner or its heir, or answers it if neither can.
func (n *Node) steer(req uint64, f *forward) {
	if rec, ok := n.heirs.Lookup(n.now, f.ticket); ok {
		n.endForward(req, n.inherited(rec, f.job))
		return
	}
	f.to = f.ticket.Owner
	if n.members.Status(n.now, f.to) == member.Gone {
		h, ok := n.heirs.HeirOf(f.ticket.Owner)
		if !ok || n.members.Status(n.now, h) == member.Gone {
			n.endForward(req, n.unknown(f.ticket, cornelwall.ReasonOwnerLost))
			return
		}
		f.to = h
	}
	n.sendForward(req, f)
}

func (n *Node) sendForward(req uint64, f *forward) {
	m := &cornelwall.Forward{Req: req, Deed: f.deed, Ticket: f.ticket}
	if f.job != nil {
		job := *f.job
		job.Left = shorten(job.Left, n.now.Sub(f.since))
		m.Job = &job
	}
	n.send(f.to, cornelwall.Message{Forward: m})
}

// unknown returns the answer of an entry that is not the owner. It is final once the
// owner is gone.
func (n *Node) unknown(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.count(reason, false)
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: reason, Text: remedies[reason]}
	if a.Final = reason == cornelwall.ReasonOwnerLost; !a.Final {
		a.Back = cornelwall.Duration(backLater)
	}
	return a
}

// inherited returns the answer of a closed incarnation.
func (n *Node) inherited(rec cornelwall.Record, job *cornelwall.Job) cornelwall.Answer {
	if job != nil && rec.Digest != 0 && rec.Digest != job.Digest() {
		return n.mistake(job.Ticket, cornelwall.ReasonContent)
	}
	return rec.Answer
}

func (n *Node) endForward(req uint64, a cornelwall.Answer) {
	delete(n.forwards, req)
	n.reply(req, a)
}

// checkForwards steers again what waits for an entry that does not answer, and gives
// up on what has waited for too long.
func (n *Node) checkForwards() {
	for _, req := range slices.Sorted(maps.Keys(n.forwards)) {
		f := n.forwards[req]
		switch n.members.Status(n.now, f.to) {
		case member.Alive:
			f.giveUp = n.now.Add(n.cfg.Away)
		case member.Gone:
			n.steer(req, f)
		case member.Away:
			if !n.now.Before(f.giveUp) {
				n.endForward(req, n.unknown(f.ticket, cornelwall.ReasonOwnerAway))
			}
		}
	}
}

// serveForward carries out a request that another entry forwarded.
func (n *Node) serveForward(from cornelwall.Incarnation, f *cornelwall.Forward) {
	w := owner.Waiter{From: from, Req: f.Req}
	switch {
	case !n.minter.Genuine(f.Ticket):
		n.answer(w, n.mistake(f.Ticket, cornelwall.ReasonTicket))
	case f.Ticket.Owner == n.cfg.Self:
		n.local(w, f.Deed, f.Ticket, f.Job)
	default:
		rec, ok := n.heirs.Lookup(n.now, f.Ticket)
		if !ok {
			n.answer(w, n.unknown(f.Ticket, cornelwall.ReasonOwnerAway))
			return
		}
		n.answer(w, n.inherited(rec, f.Job))
	}
}

// back takes the answer of another entry to a forward.
func (n *Node) back(b *cornelwall.Back) {
	if f := n.forwards[b.Req]; f != nil && f.ticket == b.Answer.Ticket {
		n.endForward(b.Req, b.Answer)
	}
}
