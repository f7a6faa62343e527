package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

// refusal returns the answer that nothing ran and nothing will.
func (n *Node) refusal(tk cornelwall.Ticket, reason cornelwall.Reason, back time.Duration) cornelwall.Answer {
	n.count(reason, false)
	return notRun(tk, owner.Refusal{Reason: reason, Back: back})
}

func notRun(tk cornelwall.Ticket, r owner.Refusal) cornelwall.Answer {
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: r.Reason, Final: true,
		RetryAfter: cornelwall.Duration(r.Back), Text: remedies[r.Reason]}
}

// remedies tells people what to do.
var remedies = map[cornelwall.Reason]string{
	cornelwall.ReasonNoProfile: "no such profile is in force; list the profiles and use one of them",
	cornelwall.ReasonStopping:  "the entry is stopping; take a new ticket or key to another entry",
	cornelwall.ReasonStale:     "the entry has no fresh word of the profiles; come back later or use another data centre",
	cornelwall.ReasonTooLate:   "the job would end after its deadline; come back later or give it more time",
	cornelwall.ReasonRetries:   "too many machines refused the tasks of the job; come back later",
	cornelwall.ReasonQueueFull: "the queue of the profile is full; come back later",
	cornelwall.ReasonOverload:  "the entry holds as much work as it can; come back later",
	cornelwall.ReasonNeverFits: "no machine is large enough for a task of the job; make the task smaller",
	cornelwall.ReasonTicket:    "the ticket is not genuine or belongs to another team; draw one for this profile",
	cornelwall.ReasonContent:   "the ticket or key was used with other content; use a new one",
	cornelwall.ReasonExpired:   "the ticket is older than its life; its outcome is no longer known",
	cornelwall.ReasonOwnerLost: "the entry that owned the job is gone; whether it ran is not known",
	cornelwall.ReasonOwnerAway: "the entry that owns the job cannot be reached; ask again later",
	cornelwall.ReasonStore:     "the platform's service did not answer; take a new key, or use tickets",
	cornelwall.ReasonCancelled: "the job was cancelled",
	cornelwall.ReasonDeadline:  "the deadline passed",
}

// mistake returns the answer to a request that is wrong in itself and changes nothing.
func (n *Node) mistake(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.count(reason, false)
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Pending, Reason: reason, Text: remedies[reason]}
}

// past answers for a ticket without a job that starts none any more: it has expired or
// was refused.
func (n *Node) past(tk cornelwall.Ticket) (cornelwall.Answer, bool) {
	if !n.now.Before(n.minter.Expires(tk, n.cfg.TicketLife)) {
		return n.expired(tk), true
	}
	r, ok := n.jobs.Refused(tk)
	return notRun(tk, r), ok
}

// refuse records for good that the job of a ticket does not run, and returns the answer.
func (n *Node) refuse(tk cornelwall.Ticket, reason cornelwall.Reason, back time.Duration) cornelwall.Answer {
	n.count(reason, false)
	r := owner.Refusal{Reason: reason, Back: back}
	n.jobs.Refuse(tk, r)
	return notRun(tk, r)
}

func (n *Node) expired(tk cornelwall.Ticket) cornelwall.Answer {
	n.count(cornelwall.ReasonExpired, false)
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonExpired, Final: true,
		Text: remedies[cornelwall.ReasonExpired]}
}

// join makes w wait for the end of the job.
func (n *Node) join(j *owner.Job, w owner.Waiter) {
	if j.Ended() {
		n.answer(w, j.Answer)
		return
	}
	for _, v := range j.Waiters {
		if v == w {
			return
		}
	}
	j.Waiters = append(j.Waiters, w)
	if w.From.IsZero() {
		n.asked[w.Req] = askedBack{seq: j.Ticket.Seq}
	}
}

// askedBack is a local request that waits for a job of this incarnation.
type askedBack struct{ seq uint64 }

// unsubmitted answers for a ticket that has no job.
func (n *Node) unsubmitted(deed cornelwall.Deed, tk cornelwall.Ticket) cornelwall.Answer {
	if a, ok := n.past(tk); ok {
		return a
	}
	if deed == cornelwall.DeedCancel {
		return n.refuse(tk, cornelwall.ReasonCancelled, 0)
	}
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Pending, Text: "nothing was submitted under the ticket yet"}
}

// answer replies to a caller here or at another entry.
func (n *Node) answer(w owner.Waiter, a cornelwall.Answer) {
	if w.From.IsZero() {
		n.reply(w.Req, a)
		return
	}
	n.send(w.From, cornelwall.Message{ForwardReply: &cornelwall.ForwardReply{Req: w.Req, Answer: a}})
}

func (n *Node) reply(req uint64, a cornelwall.Answer) {
	delete(n.asked, req)
	n.emit(cornelwall.Reply{Req: req, Answer: a})
}

// gone forgets a caller that waits no longer. Its job goes on, as the caller may ask
// again.
func (n *Node) gone(req uint64) {
	delete(n.forwards, req)
	delete(n.inspects, req)
	back, ok := n.asked[req]
	if !ok {
		return
	}
	delete(n.asked, req)
	j := n.jobs.Get(back.seq)
	if j == nil {
		return
	}
	for i, w := range j.Waiters {
		if w.From.IsZero() && w.Req == req {
			j.Waiters = append(j.Waiters[:i], j.Waiters[i+1:]...)
			return
		}
	}
}
