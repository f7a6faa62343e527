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
	firstPollInterval = 5 * time.Second  // from a forward to the first question after its answer
	maxPollInterval   = 40 * time.Second // longest time between two questions after an answer
	initialBackoff    = 200 * time.Millisecond
	maxBackoff        = 2 * time.Second // longest time between two sends that did not arrive
)

// forward is a request of a local caller that another entry has to answer.
type forward struct {
	action       cornelwall.Deed
	ticket       cornelwall.Ticket
	job          *cornelwall.Job
	target       cornelwall.Incarnation // the owner or its heir; zero while neither is known
	receivedAt   time.Time
	sentAt       time.Time // to the present target first, or since there is none
	nextPoll     time.Time // of the next question after the answer
	pollInterval time.Duration

	failingSince time.Time     // first of the sends in a row that did not arrive
	retryAt      time.Time     // of the next send after one that did not arrive
	backoff      time.Duration // until the send after that one
}

// route carries a request to the entry that can answer it.
func (n *Node) route(req uint64, deed cornelwall.Deed, tk cornelwall.Ticket, job *cornelwall.Job) {
	if !n.minter.Verify(tk) {
		n.reply(req, n.invalidAnswer(tk, cornelwall.ReasonTicket))
		return
	}
	if tk.Owner == n.cfg.Self {
		n.serveLocal(owner.Waiter{Req: req}, &cornelwall.Forward{Deed: deed, Ticket: tk, Job: job})
		return
	}
	f := &forward{action: deed, ticket: tk, job: job, receivedAt: n.now, sentAt: n.now}
	n.forwards[req] = f
	n.members.Track(n.now, tk.Owner)
	n.routeForward(req, f)
}

// fetch asks for the state of a job.
func (n *Node) fetch(ev cornelwall.Fetch) {
	deed := cornelwall.DeedFetch
	if ev.Wait {
		deed = cornelwall.DeedWait
	}
	n.route(ev.Req, deed, ev.Ticket, nil)
}

// routeForward sends a forward to the owner or its heir. If neither is left, it asks the other
// entries, and gives the final answer once none of them knows more.
func (n *Node) routeForward(req uint64, f *forward) {
	if rec, ok := n.archive.Lookup(n.now, f.ticket); ok {
		n.endForward(req, n.inheritedAnswer(rec, submissionDigest(f.job)))
		return
	}
	f.target = n.forwardTarget(f.ticket.Owner)
	if f.target.IsZero() {
		f.retryAt = time.Time{} // there is nobody to send to again
		if n.querySuccessors(f.ticket.Owner) == queryExhausted {
			n.endForward(req, n.unknownAnswer(f.ticket, cornelwall.ReasonOwnerLost))
		}
		return
	}
	f.sentAt, f.failingSince, f.retryAt, f.backoff = n.now, time.Time{}, time.Time{}, initialBackoff
	f.nextPoll, f.pollInterval = n.now.Add(firstPollInterval), firstPollInterval
	n.sendForward(req, f, f.action)
}

// forwardTarget returns who can answer for an owner: its heirs once it has closed, else the
// owner itself. It is zero if all of them are gone.
func (n *Node) forwardTarget(of cornelwall.Incarnation) cornelwall.Incarnation {
	heirs := n.archive.Successors(of)
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
		case member.Suspect:
			if away.IsZero() {
				away = id
			}
		}
	}
	return away
}

// sendForward sends the request, or with DeedWait only a question after its answer.
func (n *Node) sendForward(req uint64, f *forward, deed cornelwall.Deed) {
	m := &cornelwall.Forward{Req: req, Deed: deed, Ticket: f.ticket, Digest: submissionDigest(f.job)}
	if f.job != nil && deed == cornelwall.DeedSubmit {
		job := *f.job
		job.TimeLeft = subtractElapsed(job.TimeLeft, n.now.Sub(f.receivedAt))
		m.Job = &job
	}
	n.send(f.target, cornelwall.Message{Forward: m})
}

// unknownAnswer returns the answer of an entry that is not the owner. It is final once the
// owner is gone.
func (n *Node) unknownAnswer(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.countReason(reason, false)
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: reason, Text: remedies[reason]}
	if a.Final = reason == cornelwall.ReasonOwnerLost; !a.Final {
		a.RetryAfter = cornelwall.Duration(longRetryAfter)
	}
	return a
}

// inheritedAnswer returns the answer of a closed incarnation to a submission with the digest;
// 0 is none.
func (n *Node) inheritedAnswer(rec cornelwall.Record, digest uint64) cornelwall.Answer {
	if digest != 0 && rec.Digest != 0 && rec.Digest != digest {
		return n.invalidAnswer(rec.Answer.Ticket, cornelwall.ReasonContent)
	}
	return rec.Answer
}

// submissionDigest returns the digest of a submission, or 0 for any other request.
func submissionDigest(job *cornelwall.Job) uint64 {
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
	if to := n.forwardTarget(f.ticket.Owner); to.IsZero() || to != f.target || n.archive.Has(f.ticket.Owner) {
		n.routeForward(req, f)
		if n.forwards[req] == nil {
			return
		}
	}
	alive := !f.target.IsZero() && n.members.Status(n.now, f.target) == member.Alive
	silent := n.now.Sub(f.sentAt)
	if alive {
		silent = 0
	}
	if !f.failingSince.IsZero() {
		silent = max(silent, n.now.Sub(f.failingSince))
	}
	switch {
	case silent >= n.cfg.PeerTimeout:
		n.endForward(req, n.unknownAnswer(f.ticket, cornelwall.ReasonOwnerAway))
	case f.target.IsZero():
	case !f.retryAt.IsZero() && !n.now.Before(f.retryAt):
		f.retryAt = time.Time{}
		n.countReason(cornelwall.ReasonOwnerAway, true)
		n.sendForward(req, f, f.action)
	case !f.retryAt.IsZero():
		n.wakeBy(f.retryAt)
	case alive && !n.now.Before(f.nextPoll):
		n.pollForReply(req, f)
	}
	if silent >= n.cfg.PeerTimeout/2 && n.forwards[req] != nil {
		n.querySuccessors(f.ticket.Owner) // the owner may have closed without this entry hearing of it
	}
}

// pollForReply asks after an answer that is late, since either message may be lost. The
// question carries no tasks: an owner that has not seen the submission says so.
func (n *Node) pollForReply(req uint64, f *forward) {
	f.pollInterval = min(2*f.pollInterval, maxPollInterval)
	f.nextPoll = n.now.Add(f.pollInterval)
	f.failingSince = time.Time{}
	n.countReason(cornelwall.ReasonLost, true)
	deed := f.action
	if deed == cornelwall.DeedSubmit {
		deed = cornelwall.DeedWait
	}
	n.sendForward(req, f, deed)
}

// restartForwardTimeouts gives what waits for other entries more time, after this entry was frozen:
// their word may be waiting to be read.
func (n *Node) restartForwardTimeouts() {
	for _, f := range n.forwards {
		f.sentAt, f.failingSince = n.now, time.Time{}
	}
}

// forwardUndelivered takes back a forward that may not have arrived.
func (n *Node) forwardUndelivered(to cornelwall.Incarnation, req uint64) {
	f := n.forwards[req]
	if f == nil || f.target != to || !f.retryAt.IsZero() {
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince = n.now
	}
	f.retryAt = n.now.Add(f.backoff)
	f.backoff = min(2*f.backoff, maxBackoff)
	n.wakeBy(f.retryAt)
	n.querySuccessors(f.ticket.Owner) // the owner may have closed without this entry hearing of it
}

// serveForward carries out a request that another entry forwarded.
func (n *Node) serveForward(from cornelwall.Incarnation, f *cornelwall.Forward) {
	w := owner.Waiter{From: from, Req: f.Req}
	switch {
	case !n.minter.Verify(f.Ticket):
		n.answer(w, n.invalidAnswer(f.Ticket, cornelwall.ReasonTicket))
	case f.Ticket.Owner == n.cfg.Self:
		n.serveLocal(w, f)
	default:
		rec, ok := n.archive.Lookup(n.now, f.Ticket)
		if !ok {
			n.answer(w, n.unknownAnswer(f.Ticket, cornelwall.ReasonOwnerAway))
			return
		}
		n.answer(w, n.inheritedAnswer(rec, f.Digest))
	}
}

// receiveForwardReply takes the answer of another entry to a forward. Only the owner of the ticket and
// the heir that was asked can answer.
func (n *Node) receiveForwardReply(from cornelwall.Incarnation, b *cornelwall.ForwardReply) {
	f := n.forwards[b.Req]
	if f == nil || f.ticket != b.Answer.Ticket || (from != f.target && from != f.ticket.Owner) {
		return
	}
	if f.action == cornelwall.DeedSubmit && notSubmitted(&b.Answer) {
		n.countReason(cornelwall.ReasonLost, true)
		n.sendForward(b.Req, f, f.action)
		return
	}
	n.endForward(b.Req, b.Answer)
}

// notSubmitted reports whether an answer says that the submission has not arrived.
func notSubmitted(a *cornelwall.Answer) bool {
	return !a.Final && a.Outcome == cornelwall.Pending && a.Reason == cornelwall.ReasonNone
}
