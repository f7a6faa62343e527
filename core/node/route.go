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
	firstPollInterval = 5 * time.Second  // from a forward to the first poll for its reply
	maxPollInterval   = 40 * time.Second // longest interval between polls for a reply
	initialBackoff    = 200 * time.Millisecond
	maxBackoff        = 2 * time.Second // longest delay before an undelivered message is sent again
)

// forward is a request of a local caller that another entry has to answer.
type forward struct {
	action       cornelwall.Deed
	ticket       cornelwall.Ticket
	job          *cornelwall.Job
	target       cornelwall.Incarnation // the owner or one of its successors; zero if none is known
	receivedAt   time.Time
	sentAt       time.Time // when it was first sent to the latest target or, without one, received; reset after a pause
	nextPoll     time.Time // when the target is next polled for the reply
	pollInterval time.Duration

	failingSince time.Time     // first of the consecutive undelivered sends
	retryAt      time.Time     // when an undelivered request is sent again; zero is not scheduled
	backoff      time.Duration // delay before the following retry
}

// route answers a request here if this incarnation owns the ticket, and forwards it
// otherwise.
func (n *Node) route(req uint64, action cornelwall.Deed, tk cornelwall.Ticket, job *cornelwall.Job) {
	if !n.minter.Verify(tk) {
		n.reply(req, n.invalidAnswer(tk, cornelwall.ReasonTicket))
		return
	}
	if tk.Owner == n.cfg.Self {
		n.serveLocal(owner.Waiter{Req: req}, &cornelwall.Forward{Deed: action, Ticket: tk, Job: job})
		return
	}
	f := &forward{action: action, ticket: tk, job: job, receivedAt: n.now, sentAt: n.now}
	n.forwards[req] = f
	n.members.Track(n.now, tk.Owner)
	n.routeForward(req, f)
}

// fetch handles a request for the state of a job.
func (n *Node) fetch(ev cornelwall.Fetch) {
	action := cornelwall.DeedFetch
	if ev.Wait {
		action = cornelwall.DeedWait
	}
	n.route(ev.Req, action, ev.Ticket, nil)
}

// routeForward sends a forward to the owner or one of its successors. If none is left it
// queries the other entries for successors, and gives the final answer once none of them
// knows any.
func (n *Node) routeForward(req uint64, f *forward) {
	if rec, ok := n.archive.Lookup(n.now, f.ticket); ok {
		n.endForward(req, n.inheritedAnswer(rec, submissionDigest(f.job)))
		return
	}
	f.target = n.forwardTarget(f.ticket.Owner)
	if f.target.IsZero() {
		f.retryAt = time.Time{} // there is no target to retry
		if n.querySuccessors(f.ticket.Owner) == queryExhausted {
			n.endForward(req, n.unknownAnswer(f.ticket, cornelwall.ReasonOwnerLost))
		}
		return
	}
	f.sentAt, f.failingSince, f.retryAt, f.backoff = n.now, time.Time{}, time.Time{}, initialBackoff
	f.nextPoll, f.pollInterval = n.now.Add(firstPollInterval), firstPollInterval
	n.sendForward(req, f, f.action)
}

// forwardTarget returns the entry that can answer for an owner: one of its successors
// once it has closed, else the owner itself. It is zero if all of them are dead.
func (n *Node) forwardTarget(owner cornelwall.Incarnation) cornelwall.Incarnation {
	candidates := n.archive.Successors(owner)
	if len(candidates) == 0 {
		candidates = []cornelwall.Incarnation{owner}
	}
	var away cornelwall.Incarnation
	for _, id := range candidates {
		switch n.members.Status(n.now, id) {
		case member.Alive:
			if id != n.cfg.Self { // the tables held here have been checked
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

// sendForward sends the request to its target. With DeedWait for a submission, it only
// polls for the reply.
func (n *Node) sendForward(req uint64, f *forward, action cornelwall.Deed) {
	m := &cornelwall.Forward{Req: req, Deed: action, Ticket: f.ticket, Digest: submissionDigest(f.job)}
	if f.job != nil && action == cornelwall.DeedSubmit {
		job := *f.job
		job.TimeLeft = subtractElapsed(job.TimeLeft, n.now.Sub(f.receivedAt))
		m.Job = &job
	}
	n.send(f.target, cornelwall.Message{Forward: m})
}

// unknownAnswer returns the answer of an entry that neither owns the job nor holds its
// record. It is final only for ReasonOwnerLost.
func (n *Node) unknownAnswer(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.countReason(reason, false)
	a := cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: reason, Text: remedies[reason]}
	if a.Final = reason == cornelwall.ReasonOwnerLost; !a.Final {
		a.RetryAfter = cornelwall.Duration(longRetryAfter)
	}
	return a
}

// inheritedAnswer returns the recorded answer of a closed incarnation. A digest other
// than 0 is that of a submission, which has to match the record.
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

// checkForwards reroutes forwards whose target is dead or has closed, polls for replies
// that may be lost, and gives up on targets that cannot be reached.
func (n *Node) checkForwards() {
	for _, req := range slices.Sorted(maps.Keys(n.forwards)) {
		n.checkForward(req, n.forwards[req])
	}
}

func (n *Node) checkForward(req uint64, f *forward) {
	if target := n.forwardTarget(f.ticket.Owner); target.IsZero() || target != f.target || n.archive.HasTable(f.ticket.Owner) {
		n.routeForward(req, f)
		if n.forwards[req] == nil {
			return
		}
	}
	alive := !f.target.IsZero() && n.members.Status(n.now, f.target) == member.Alive
	silence := n.now.Sub(f.sentAt)
	if alive {
		silence = 0
	}
	if !f.failingSince.IsZero() {
		silence = max(silence, n.now.Sub(f.failingSince))
	}
	switch {
	case silence >= n.cfg.PeerTimeout:
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
	if silence >= n.cfg.PeerTimeout/2 && n.forwards[req] != nil {
		n.querySuccessors(f.ticket.Owner) // the owner may have closed without this entry having learned of it
	}
}

// pollForReply asks for an overdue reply, since the request or the reply may be lost. The
// poll carries no tasks; an owner that has not received the submission says so.
func (n *Node) pollForReply(req uint64, f *forward) {
	f.pollInterval = min(2*f.pollInterval, maxPollInterval)
	f.nextPoll = n.now.Add(f.pollInterval)
	f.failingSince = time.Time{}
	n.countReason(cornelwall.ReasonLost, true)
	action := f.action
	if action == cornelwall.DeedSubmit {
		action = cornelwall.DeedWait
	}
	n.sendForward(req, f, action)
}

// restartForwardTimeouts restarts the timeouts of all forwards after a pause of this
// process, as replies may be waiting to be read.
func (n *Node) restartForwardTimeouts() {
	for _, f := range n.forwards {
		f.sentAt, f.failingSince = n.now, time.Time{}
	}
}

// forwardUndelivered schedules a retry of a forward that may not have arrived.
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
	n.querySuccessors(f.ticket.Owner) // the owner may have closed without this entry having learned of it
}

// serveForward handles a request that another entry forwarded.
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

// receiveForwardReply handles the reply to a forward. It is accepted only from the owner
// of the ticket or the successor that was asked.
func (n *Node) receiveForwardReply(from cornelwall.Incarnation, reply *cornelwall.ForwardReply) {
	f := n.forwards[reply.Req]
	if f == nil || f.ticket != reply.Answer.Ticket || (from != f.target && from != f.ticket.Owner) {
		return
	}
	if f.action == cornelwall.DeedSubmit && notSubmitted(&reply.Answer) {
		n.countReason(cornelwall.ReasonLost, true)
		n.sendForward(reply.Req, f, f.action)
		return
	}
	n.endForward(reply.Req, reply.Answer)
}

// notSubmitted reports whether an answer says that the submission has not arrived.
func notSubmitted(a *cornelwall.Answer) bool {
	return !a.Final && a.Outcome == cornelwall.Pending && a.Reason == cornelwall.ReasonNone
}
