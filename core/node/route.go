package node

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
	"cornelwall/core/owner"
)

const (
	firstAsk   = 5 * time.Second  // from a forward to the first question after its answer
	lastAsk    = 40 * time.Second // longest time between two questions after an answer
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second // longest time between two sends that did not arrive
)

// forward is a request of a local caller that another entry has to answer.
type forward struct {
	deed   cornelwall.Deed
	ticket cornelwall.Ticket
	job    *cornelwall.Job
	to     cornelwall.Incarnation // the owner or its heir; zero while neither is known
	since  time.Time
	sent   time.Time // to the present target first, or since there is none
	ask    time.Time // of the next question after the answer
	wait   time.Duration

	failing time.Time     // first of the sends in a row that did not arrive
	retry   time.Time     // of the next send after one that did not arrive
	backoff time.Duration // until the send after that one
}

// route carries a request to the entry that can answer it.
func (n *Node) route(req uint64, deed cornelwall.Deed, tk cornelwall.Ticket, job *cornelwall.Job) {
	if !n.minter.Genuine(tk) {
		n.reply(req, n.mistake(tk, cornelwall.ReasonTicket))
		return
	}
	if tk.Owner == n.cfg.Self {
		n.local(owner.Waiter{Req: req}, &cornelwall.Forward{Deed: deed, Ticket: tk, Job: job})
		return
	}
	f := &forward{deed: deed, ticket: tk, job: job, since: n.now, sent: n.now}
	n.forwards[req] = f
	n.members.Expect(n.now, tk.Owner)
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

// steer sends a forward to the owner or its heir. If neither is left, it asks the other
// entries, and gives the final answer once none of them knows more.
func (n *Node) steer(req uint64, f *forward) {
	if rec, ok := n.heirs.Lookup(n.now, f.ticket); ok {
		n.endForward(req, n.inherited(rec, digest(f.job)))
		return
	}
	f.to = n.target(f.ticket.Owner)
	if f.to.IsZero() {
		f.retry = time.Time{} // there is nobody to send to again
		if n.seek(f.ticket.Owner) == nobodyKnows {
			n.endForward(req, n.unknown(f.ticket, cornelwall.ReasonOwnerLost))
		}
		return
	}
	f.sent, f.failing, f.retry, f.backoff = n.now, time.Time{}, time.Time{}, firstRetry
	f.ask, f.wait = n.now.Add(firstAsk), firstAsk
	n.sendForward(req, f, f.deed)
}

// target returns who can answer for an owner: its heirs once it has closed, else the
// owner itself. It is zero if all of them are gone.
func (n *Node) target(of cornelwall.Incarnation) cornelwall.Incarnation {
	heirs := n.heirs.Heirs(of)
	if len(heirs) == 0 {
		heirs = []cornelwall.Incarnation{of}
	}
	var away cornelwall.Incarnation
	for _, id := range heirs {
		switch n.members.Status(n.now, id) {
		case member.Alive:
			if id != n.cfg.Self { // whose own table has been looked at
				return id
			}
		case member.Away:
			if away.IsZero() {
				away = id
			}
		}
	}
	return away
}

// sendForward sends the request, or with DeedWait only a question after its answer.
func (n *Node) sendForward(req uint64, f *forward, deed cornelwall.Deed) {
	m := &cornelwall.Forward{Req: req, Deed: deed, Ticket: f.ticket, Digest: digest(f.job)}
	if f.job != nil && deed == cornelwall.DeedSubmit {
		job := *f.job
		job.TimeLeft = shorten(job.TimeLeft, n.now.Sub(f.since))
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
		a.RetryAfter = cornelwall.Duration(backLater)
	}
	return a
}

// inherited returns the answer of a closed incarnation to a submission with the digest;
// 0 is none.
func (n *Node) inherited(rec cornelwall.Record, digest uint64) cornelwall.Answer {
	if digest != 0 && rec.Digest != 0 && rec.Digest != digest {
		return n.mistake(rec.Answer.Ticket, cornelwall.ReasonContent)
	}
	return rec.Answer
}

// digest returns the digest of a submission, or 0 for any other request.
func digest(job *cornelwall.Job) uint64 {
	if job == nil {
		return 0
	}
	return job.Digest()
}

func (n *Node) endForward(req uint64, a cornelwall.Answer) {
	delete(n.forwards, req)
	n.reply(req, a)
}

// checkForwards steers again what waits for an entry that is gone or has closed, asks
// again after answers that may be lost, and gives up on what cannot be reached.
func (n *Node) checkForwards() {
	for _, req := range slices.Sorted(maps.Keys(n.forwards)) {
		n.checkForward(req, n.forwards[req])
	}
}

func (n *Node) checkForward(req uint64, f *forward) {
	if to := n.target(f.ticket.Owner); to.IsZero() || to != f.to || n.heirs.Holds(f.ticket.Owner) {
		n.steer(req, f)
		if n.forwards[req] == nil {
			return
		}
	}
	alive := !f.to.IsZero() && n.members.Status(n.now, f.to) == member.Alive
	silent := n.now.Sub(f.sent)
	if alive {
		silent = 0
	}
	if !f.failing.IsZero() {
		silent = max(silent, n.now.Sub(f.failing))
	}
	switch {
	case silent >= n.cfg.Away:
		n.endForward(req, n.unknown(f.ticket, cornelwall.ReasonOwnerAway))
	case f.to.IsZero():
	case !f.retry.IsZero() && !n.now.Before(f.retry):
		f.retry = time.Time{}
		n.count(cornelwall.ReasonOwnerAway, true)
		n.sendForward(req, f, f.deed)
	case !f.retry.IsZero():
		n.wake(f.retry)
	case alive && !n.now.Before(f.ask):
		n.askAgain(req, f)
	}
	if silent >= n.cfg.Away/2 && n.forwards[req] != nil {
		n.seek(f.ticket.Owner) // the owner may have closed without this entry hearing of it
	}
}

// askAgain asks after an answer that is late, since either message may be lost. The
// question carries no tasks: an owner that has not seen the submission says so.
func (n *Node) askAgain(req uint64, f *forward) {
	f.wait = min(2*f.wait, lastAsk)
	f.ask = n.now.Add(f.wait)
	f.failing = time.Time{}
	n.count(cornelwall.ReasonLost, true)
	deed := f.deed
	if deed == cornelwall.DeedSubmit {
		deed = cornelwall.DeedWait
	}
	n.sendForward(req, f, deed)
}

// thawForwards gives what waits for other entries more time, after this entry was frozen:
// their word may be waiting to be read.
func (n *Node) thawForwards() {
	for _, f := range n.forwards {
		f.sent, f.failing = n.now, time.Time{}
	}
}

// forwardLost takes back a forward that may not have arrived.
func (n *Node) forwardLost(to cornelwall.Incarnation, req uint64) {
	f := n.forwards[req]
	if f == nil || f.to != to || !f.retry.IsZero() {
		return
	}
	if f.failing.IsZero() {
		f.failing = n.now
	}
	f.retry = n.now.Add(f.backoff)
	f.backoff = min(2*f.backoff, lastRetry)
	n.wake(f.retry)
	n.seek(f.ticket.Owner) // the owner may have closed without this entry hearing of it
}

// serveForward carries out a request that another entry forwarded.
func (n *Node) serveForward(from cornelwall.Incarnation, f *cornelwall.Forward) {
	w := owner.Waiter{From: from, Req: f.Req}
	switch {
	case !n.minter.Genuine(f.Ticket):
		n.answer(w, n.mistake(f.Ticket, cornelwall.ReasonTicket))
	case f.Ticket.Owner == n.cfg.Self:
		n.local(w, f)
	default:
		rec, ok := n.heirs.Lookup(n.now, f.Ticket)
		if !ok {
			n.answer(w, n.unknown(f.Ticket, cornelwall.ReasonOwnerAway))
			return
		}
		n.answer(w, n.inherited(rec, f.Digest))
	}
}

// back takes the answer of another entry to a forward. Only the owner of the ticket and
// the heir that was asked can answer.
func (n *Node) back(from cornelwall.Incarnation, b *cornelwall.ForwardReply) {
	f := n.forwards[b.Req]
	if f == nil || f.ticket != b.Answer.Ticket || (from != f.to && from != f.ticket.Owner) {
		return
	}
	if f.deed == cornelwall.DeedSubmit && unseen(&b.Answer) {
		n.count(cornelwall.ReasonLost, true)
		n.sendForward(b.Req, f, f.deed)
		return
	}
	n.endForward(b.Req, b.Answer)
}

// unseen reports whether an answer says that the submission has not arrived.
func unseen(a *cornelwall.Answer) bool {
	return !a.Final && a.Outcome == cornelwall.Pending && a.Reason == cornelwall.ReasonNone
}
