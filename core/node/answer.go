package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

// refusalAnswer returns the answer that nothing ran and nothing will.
func (n *Node) refusalAnswer(tk cornelwall.Ticket, reason cornelwall.Reason, retryAfter time.Duration) cornelwall.Answer {
	n.countReason(reason, false)
	return notRunAnswer(tk, owner.Refusal{Reason: reason, RetryAfter: retryAfter})
}

func notRunAnswer(tk cornelwall.Ticket, r owner.Refusal) cornelwall.Answer {
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: r.Reason, Final: true,
		RetryAfter: cornelwall.Duration(r.RetryAfter), Text: remedies[r.Reason]}
}

// remedies holds what an answer advises the caller to do, by the reason of the answer.
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

// invalidAnswer returns the answer to an invalid request, which changes nothing.
func (n *Node) invalidAnswer(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.countReason(reason, false)
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Pending, Reason: reason, Text: remedies[reason]}
}

// unusableTicketAnswer returns the final answer for a ticket without a job that can no longer
// start one, because the ticket has expired or was refused.
func (n *Node) unusableTicketAnswer(tk cornelwall.Ticket) (cornelwall.Answer, bool) {
	if !n.now.Before(n.minter.Expires(tk, n.cfg.TicketTTL)) {
		return n.expiredAnswer(tk), true
	}
	r, ok := n.jobs.Refused(tk)
	return notRunAnswer(tk, r), ok
}

// refuse records for good that the job of a ticket does not run, and returns the answer.
func (n *Node) refuse(tk cornelwall.Ticket, reason cornelwall.Reason, retryAfter time.Duration) cornelwall.Answer {
	n.countReason(reason, false)
	r := owner.Refusal{Reason: reason, RetryAfter: retryAfter}
	n.jobs.Refuse(tk, r)
	return notRunAnswer(tk, r)
}

func (n *Node) expiredAnswer(tk cornelwall.Ticket) cornelwall.Answer {
	n.countReason(cornelwall.ReasonExpired, false)
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Unknown, Reason: cornelwall.ReasonExpired, Final: true,
		Text: remedies[cornelwall.ReasonExpired]}
}

// addWaiter makes w wait for the end of the job, or answers it if the job has ended.
func (n *Node) addWaiter(j *owner.Job, w owner.Waiter) {
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
		n.localWaiters[w.Req] = localWaiter{seq: j.Ticket.Seq}
	}
}

// localWaiter is a request of a local caller that waits for a job of this incarnation.
type localWaiter struct{ seq uint64 }

// unsubmittedAnswer returns the answer for a ticket that has no job. A cancel is recorded,
// so that the ticket can start no job later.
func (n *Node) unsubmittedAnswer(action cornelwall.Deed, tk cornelwall.Ticket) cornelwall.Answer {
	if a, ok := n.unusableTicketAnswer(tk); ok {
		return a
	}
	if action == cornelwall.DeedCancel {
		return n.refuse(tk, cornelwall.ReasonCancelled, 0)
	}
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Pending, Text: "nothing was submitted under the ticket yet"}
}

// answer replies to a waiter: a caller at this entry or a peer that forwarded the
// request.
func (n *Node) answer(w owner.Waiter, a cornelwall.Answer) {
	if w.From.IsZero() {
		n.reply(w.Req, a)
		return
	}
	n.send(w.From, cornelwall.Message{ForwardReply: &cornelwall.ForwardReply{Req: w.Req, Answer: a}})
}

func (n *Node) reply(req uint64, a cornelwall.Answer) {
	delete(n.localWaiters, req)
	n.emit(cornelwall.Reply{Req: req, Answer: a})
}

// callerGone forgets a caller that no longer waits. Its job continues, as the caller may
// ask for it again.
func (n *Node) callerGone(req uint64) {
	delete(n.forwards, req)
	delete(n.statusQueries, req)
	waiter, ok := n.localWaiters[req]
	if !ok {
		return
	}
	delete(n.localWaiters, req)
	j := n.jobs.Get(waiter.seq)
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
