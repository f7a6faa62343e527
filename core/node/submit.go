package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/owner"
)

const (
	shortRetryAfter = 100 * time.Millisecond // for causes that clear by themselves
	longRetryAfter  = 2 * time.Second        // for causes that need a machine or peer to return
	minTimeLeft     = time.Millisecond       // least time to the deadline of an accepted job
)

// drawTickets mints tickets for the team of a profile.
func (n *Node) drawTickets(ev cornelwall.DrawTickets) {
	reply := cornelwall.ReplyTickets{Req: ev.Req}
	p, ok := n.catalog.Get(ev.Profile)
	switch {
	case !ok:
		reply.Answer = n.refusalAnswer(cornelwall.Ticket{}, cornelwall.ReasonNoProfile, longRetryAfter)
	case n.stopping:
		reply.Answer = n.refusalAnswer(cornelwall.Ticket{}, cornelwall.ReasonStopping, shortRetryAfter)
	default:
		for range ev.N {
			reply.Tickets = append(reply.Tickets, n.minter.Mint(n.now, p.Team))
		}
	}
	n.emit(reply)
}

// submit handles a submission of a local caller.
func (n *Node) submit(ev cornelwall.Submit) {
	ev.Job = n.withDeadline(ev.Job)
	if !ev.Job.Ticket.IsZero() {
		n.route(ev.Req, cornelwall.DeedSubmit, ev.Job.Ticket, ev.Job)
		return
	}
	if ev.Key != "" {
		n.beginClaim(ev)
		return
	}
	p, ok := n.catalog.Get(ev.Job.Profile)
	if !ok {
		n.reply(ev.Req, n.refusalAnswer(cornelwall.Ticket{}, cornelwall.ReasonNoProfile, longRetryAfter))
		return
	}
	job := *ev.Job
	job.Ticket = n.minter.Mint(n.now, p.Team)
	n.accept(&job, owner.Waiter{Req: ev.Req})
}

// withDeadline returns the job with the profile's deadline if it has none of its own, so
// that the time to forward it to the owner counts.
func (n *Node) withDeadline(job *cornelwall.Job) *cornelwall.Job {
	p, ok := n.catalog.Get(job.Profile)
	if job.TimeLeft != 0 || !ok {
		return job
	}
	timed := *job
	timed.TimeLeft = p.Deadline
	return &timed
}

// subtractElapsed subtracts elapsed time from the time left. 0 stays 0, as it stands for
// the profile's deadline.
func subtractElapsed(left cornelwall.Duration, elapsed time.Duration) cornelwall.Duration {
	if left == 0 {
		return 0
	}
	return max(1, left-cornelwall.Duration(elapsed))
}

// accept handles a submission under a ticket of this incarnation: it waits for the job
// that the ticket already has, or admits or refuses a new one.
func (n *Node) accept(job *cornelwall.Job, w owner.Waiter) {
	digest := job.Digest()
	if j := n.jobs.Get(job.Ticket.Seq); j != nil {
		if j.Digest != digest {
			n.answer(w, n.invalidAnswer(job.Ticket, cornelwall.ReasonContent))
			return
		}
		n.addWaiter(j, w)
		return
	}
	if a, ok := n.unusableTicketAnswer(job.Ticket); ok {
		n.answer(w, a)
		return
	}
	if p, ok := n.catalog.Latest(job.Profile); ok && p.Team != job.Ticket.Team {
		n.answer(w, n.invalidAnswer(job.Ticket, cornelwall.ReasonTicket))
		return
	}
	p, reason, retryAfter := n.admit(job)
	timeLeft := time.Duration(job.TimeLeft)
	if timeLeft == 0 {
		timeLeft = time.Duration(p.Deadline)
	}
	if reason == cornelwall.ReasonNone && timeLeft < minTimeLeft {
		reason = cornelwall.ReasonDeadline
	}
	if reason != cornelwall.ReasonNone {
		n.answer(w, n.refuse(job.Ticket, reason, retryAfter))
		return
	}
	n.addJob(job, &p, digest, timeLeft, w)
}

// addJob queues the tasks of a new job. Its deadline is no later than the expiry of its
// ticket, so that no task starts after the ticket, or a key bound to it, may have been
// forgotten.
func (n *Node) addJob(job *cornelwall.Job, p *cornelwall.Profile, digest uint64, timeLeft time.Duration, w owner.Waiter) {
	expires := n.minter.Expires(job.Ticket, n.cfg.TicketTTL)
	deadline := minTime(n.now.Add(timeLeft), expires)
	j := n.jobs.Add(job, digest, n.now, deadline, expires)
	n.timers.add(j.Deadline, job.Ticket.Seq)
	n.addWaiter(j, w)
	wait, run := n.predict(job, p)
	n.progress[job.Ticket.Seq] = &progress{tasks: len(job.Tasks), predictedWait: wait, predictedRun: run, nextUpdate: minTaskSample}
	for _, g := range n.groups(j, p) {
		n.admittedLoad.Add(n.now, time.Duration(len(g.Tasks))*g.RunTime)
		n.queue.Push(g)
	}
}

// serveLocal handles a request for a ticket of this incarnation.
func (n *Node) serveLocal(w owner.Waiter, f *cornelwall.Forward) {
	if f.Deed == cornelwall.DeedSubmit {
		n.accept(f.Job, w)
		return
	}
	j := n.jobs.Get(f.Ticket.Seq)
	if j == nil {
		n.answer(w, n.unsubmittedAnswer(f.Deed, f.Ticket))
		return
	}
	switch {
	case f.Digest != 0 && f.Digest != j.Digest:
		n.answer(w, n.invalidAnswer(f.Ticket, cornelwall.ReasonContent))
	case f.Deed == cornelwall.DeedCancel:
		n.endJob(j, cornelwall.ReasonCancelled, 0)
		n.answer(w, j.Answer)
	case f.Deed == cornelwall.DeedWait:
		n.addWaiter(j, w)
	case j.Ended():
		n.answer(w, j.Answer)
	default:
		n.answer(w, cornelwall.Answer{Ticket: f.Ticket, Outcome: cornelwall.Pending})
	}
}

// endJob ends a job without a result, drops its waiting tasks and answers its waiters.
func (n *Node) endJob(j *owner.Job, reason cornelwall.Reason, retryAfter time.Duration) {
	if j.Ended() {
		return
	}
	n.countReason(reason, false)
	j.Abort(reason, retryAfter, remedies[reason])
	n.settleJob(j)
}

// settleJob removes the waiting tasks of a job that has ended, or whose answer has become
// final, and answers everyone who waits for it.
func (n *Node) settleJob(j *owner.Job) {
	n.queue.Remove(j.Ticket.Seq)
	n.calibrate(j)
	delete(n.progress, j.Ticket.Seq)
	n.abandonTasks(j)
	if !j.Answer.Final && j.Answer.RetryAfter == 0 {
		j.Answer.RetryAfter = cornelwall.Duration(longRetryAfter)
	}
	for _, w := range j.Waiters {
		n.answer(w, j.Answer)
	}
	j.Waiters = nil
	n.timers.add(j.Expires, j.Ticket.Seq)
	n.jobs.Compact(j)
}

// expire ends jobs whose deadline has passed and forgets expired tickets.
func (n *Node) expire() {
	n.jobs.ExpireRefusals(n.now.Sub(n.start))
	for {
		seq, ok := n.timers.due(n.now)
		if !ok {
			return
		}
		j := n.jobs.Get(seq)
		switch {
		case j == nil:
		case !j.Ended():
			n.endJob(j, cornelwall.ReasonDeadline, 0)
		case !n.now.Before(j.Expires) && j.Running() == 0:
			n.jobs.Remove(seq)
		case !n.now.Before(j.Expires):
			n.timers.add(n.now.Add(longRetryAfter), seq)
		}
	}
}
