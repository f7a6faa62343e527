package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/claim"
	"cornelwall/core/owner"
)

const (
	backSoon  = 100 * time.Millisecond // for what clears by itself
	backLater = 2 * time.Second        // for what needs a machine or peer to return
	minLeft   = time.Millisecond       // to the deadline of a job that is accepted
)

// draw mints tickets for the team of a profile.
func (n *Node) draw(ev cornelwall.Draw) {
	reply := cornelwall.ReplyTickets{Req: ev.Req}
	p, ok := n.catalog.Get(ev.Profile)
	switch {
	case !ok:
		reply.Answer = n.refusal(cornelwall.Ticket{}, cornelwall.ReasonNoProfile, backLater)
	case n.leaving:
		reply.Answer = n.refusal(cornelwall.Ticket{}, cornelwall.ReasonStopping, backSoon)
	default:
		for range ev.N {
			reply.Tickets = append(reply.Tickets, n.minter.Mint(n.now, p.Team))
		}
	}
	n.emit(reply)
}

// refusal returns the answer that nothing ran and nothing will.
func (n *Node) refusal(tk cornelwall.Ticket, reason cornelwall.Reason, back time.Duration) cornelwall.Answer {
	n.count(reason, false)
	return notRun(tk, owner.Refusal{Reason: reason, Back: back})
}

func notRun(tk cornelwall.Ticket, r owner.Refusal) cornelwall.Answer {
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.NotRun, Reason: r.Reason, Final: true,
		Back: cornelwall.Duration(r.Back), Text: remedies[r.Reason]}
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

// submit takes a submission from a caller at this entry.
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
		n.reply(ev.Req, n.refusal(cornelwall.Ticket{}, cornelwall.ReasonNoProfile, backLater))
		return
	}
	job := *ev.Job
	job.Ticket = n.minter.Mint(n.now, p.Team)
	n.accept(&job, owner.Waiter{Req: ev.Req})
}

// withDeadline gives a job that brings no deadline that of its profile, so that the time
// on the way to the owner counts.
func (n *Node) withDeadline(job *cornelwall.Job) *cornelwall.Job {
	p, ok := n.catalog.Get(job.Profile)
	if job.Left != 0 || !ok {
		return job
	}
	timed := *job
	timed.Left = p.Deadline
	return &timed
}

// beginClaim claims the caller's key for a new ticket. Until the key has been read
// nothing is known of an earlier submission under it, so that the answer is unknown and
// not a refusal if the key cannot be claimed. The profile may be retired or this entry
// stopping: the owner of the key still answers for what ran before, and a key that is new
// is bound to a ticket that is refused.
func (n *Node) beginClaim(ev cornelwall.Submit) {
	p, ok := n.catalog.Last(ev.Job.Profile)
	if !ok {
		n.reply(ev.Req, n.mistake(cornelwall.Ticket{}, cornelwall.ReasonNoProfile))
		return
	}
	job := *ev.Job
	job.Ticket = n.minter.Mint(n.now, p.Team)
	id := n.id()
	c, back := n.claims.Begin(n.now, id, ev.Req, &job, p.Team, ev.Key)
	if c == nil {
		n.reply(ev.Req, n.unclaimed(cornelwall.ReasonClaims, back))
		return
	}
	n.writeClaim(id, c)
}

// unclaimed returns the answer to a submission whose key could not be claimed. It
// carries no ticket, since the key may hold another.
func (n *Node) unclaimed(reason cornelwall.Reason, back time.Duration) cornelwall.Answer {
	n.count(reason, false)
	return cornelwall.Answer{Outcome: cornelwall.Unknown, Reason: reason, Back: cornelwall.Duration(back),
		Text: "the key could not be claimed; send the job again under the same key, to any entry"}
}

func (n *Node) writeClaim(id uint64, c *claim.Claim) {
	n.emit(cornelwall.StoreSwap{ID: id, Key: c.Key, Value: c.Value(), Life: n.cfg.ClaimLife})
}

// stored takes the answer of the platform's service to a claim.
func (n *Node) stored(ev cornelwall.Stored) {
	c, step := n.claims.Stored(ev.ID, ev)
	if c == nil {
		return
	}
	if step == claim.Won || step == claim.Lost {
		c.Job.Left = shorten(c.Job.Left, n.now.Sub(c.Since))
	}
	switch step {
	case claim.Won:
		n.accept(c.Job, owner.Waiter{Req: c.Req})
	case claim.Lost:
		n.joinClaim(c)
	case claim.Read:
		n.emit(cornelwall.StoreGet{ID: ev.ID, Key: c.Key})
	case claim.Write:
		n.writeClaim(ev.ID, c)
	case claim.GiveUp:
		// The claim may yet take effect, so that the ticket is refused for good.
		n.jobs.Refuse(c.Job.Ticket, owner.Refusal{Reason: cornelwall.ReasonStore})
		n.reply(c.Req, n.unclaimed(cornelwall.ReasonStore, backLater))
	}
}

// joinClaim forwards to the holder of the key.
func (n *Node) joinClaim(c *claim.Claim) {
	if c.Holder.Digest != c.Digest {
		n.reply(c.Req, n.mistake(c.Holder.Ticket, cornelwall.ReasonContent))
		return
	}
	job := *c.Job
	job.Ticket = c.Holder.Ticket
	n.route(c.Req, cornelwall.DeedSubmit, job.Ticket, &job)
}

// shorten takes the time that has passed off the time left; 0 stays 0, as it means the
// profile's deadline.
func shorten(left cornelwall.Duration, passed time.Duration) cornelwall.Duration {
	if left == 0 {
		return 0
	}
	return max(1, left-cornelwall.Duration(passed))
}

// mistake returns the answer to a request that is wrong in itself and changes nothing.
func (n *Node) mistake(tk cornelwall.Ticket, reason cornelwall.Reason) cornelwall.Answer {
	n.count(reason, false)
	return cornelwall.Answer{Ticket: tk, Outcome: cornelwall.Pending, Reason: reason, Text: remedies[reason]}
}

// accept takes a submission under a ticket of this incarnation: it joins the job that
// the ticket has, or admits or refuses a new one.
func (n *Node) accept(job *cornelwall.Job, w owner.Waiter) {
	digest := job.Digest()
	if j := n.jobs.Get(job.Ticket.Seq); j != nil {
		if j.Digest != digest {
			n.answer(w, n.mistake(job.Ticket, cornelwall.ReasonContent))
			return
		}
		n.join(j, w)
		return
	}
	if a, ok := n.past(job.Ticket); ok {
		n.answer(w, a)
		return
	}
	if p, ok := n.catalog.Last(job.Profile); ok && p.Team != job.Ticket.Team {
		n.answer(w, n.mistake(job.Ticket, cornelwall.ReasonTicket))
		return
	}
	p, reason, back := n.admit(job)
	left := time.Duration(job.Left)
	if left == 0 {
		left = time.Duration(p.Deadline)
	}
	if reason == cornelwall.ReasonNone && left < minLeft {
		reason = cornelwall.ReasonDeadline
	}
	if reason != cornelwall.ReasonNone {
		n.answer(w, n.refuse(job.Ticket, reason, back))
		return
	}
	n.add(job, &p, digest, left, w)
}

// add queues the tasks of a new job. Its deadline is not after the end of the ticket, so
// that no task starts once the ticket or a key that leads to it may be forgotten.
func (n *Node) add(job *cornelwall.Job, p *cornelwall.Profile, digest uint64, left time.Duration, w owner.Waiter) {
	expires := n.minter.Expires(job.Ticket, n.cfg.TicketLife)
	deadline := minTime(n.now.Add(left), expires)
	j := n.jobs.Add(job, digest, n.now, deadline, expires)
	n.timers.add(j.Deadline, job.Ticket.Seq)
	n.join(j, w)
	wait, run := n.predict(job, p)
	n.progress[job.Ticket.Seq] = &progress{tasks: len(job.Tasks), wait: wait, run: run, next: minSiblings}
	for _, l := range n.lots(j, p) {
		n.inflow.Add(n.now, time.Duration(len(l.Tasks))*l.Each)
		n.queue.Push(l)
	}
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

// local carries out a request about a ticket of this incarnation.
func (n *Node) local(w owner.Waiter, f *cornelwall.Forward) {
	if f.Deed == cornelwall.DeedSubmit {
		n.accept(f.Job, w)
		return
	}
	j := n.jobs.Get(f.Ticket.Seq)
	if j == nil {
		n.answer(w, n.unsubmitted(f.Deed, f.Ticket))
		return
	}
	switch {
	case f.Digest != 0 && f.Digest != j.Digest:
		n.answer(w, n.mistake(f.Ticket, cornelwall.ReasonContent))
	case f.Deed == cornelwall.DeedCancel:
		n.finish(j, cornelwall.ReasonCancelled, 0)
		n.answer(w, j.Answer)
	case f.Deed == cornelwall.DeedWait:
		n.join(j, w)
	case j.Ended():
		n.answer(w, j.Answer)
	default:
		n.answer(w, cornelwall.Answer{Ticket: f.Ticket, Outcome: cornelwall.Pending})
	}
}

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

// finish ends a job without an answer and frees what it holds.
func (n *Node) finish(j *owner.Job, reason cornelwall.Reason, back time.Duration) {
	if j.Ended() {
		return
	}
	n.count(reason, false)
	j.Finish(reason, back, remedies[reason])
	n.settle(j)
}

// settle tells everybody who waits for a job that it has ended, and drops what it has
// waiting.
func (n *Node) settle(j *owner.Job) {
	n.queue.Remove(j.Ticket.Seq)
	n.compare(j)
	delete(n.progress, j.Ticket.Seq)
	n.abandon(j)
	if !j.Answer.Final && j.Answer.Back == 0 {
		j.Answer.Back = cornelwall.Duration(backLater)
	}
	for _, w := range j.Waiters {
		n.answer(w, j.Answer)
	}
	j.Waiters = nil
	n.timers.add(j.Expires, j.Ticket.Seq)
	n.jobs.Settle(j)
}

// answer replies to a caller here or at another entry.
func (n *Node) answer(w owner.Waiter, a cornelwall.Answer) {
	if w.From.IsZero() {
		n.reply(w.Req, a)
		return
	}
	n.send(w.From, cornelwall.Message{Back: &cornelwall.Back{Req: w.Req, Answer: a}})
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

// expire ends jobs whose deadline has passed and forgets expired tickets.
func (n *Node) expire() {
	n.jobs.ForgetRefusals(n.now.Sub(n.start))
	for {
		seq, ok := n.timers.due(n.now)
		if !ok {
			return
		}
		j := n.jobs.Get(seq)
		switch {
		case j == nil:
		case !j.Ended():
			n.finish(j, cornelwall.ReasonDeadline, 0)
		case !n.now.Before(j.Expires) && j.Running() == 0:
			n.jobs.Forget(seq)
		case !n.now.Before(j.Expires):
			n.timers.add(n.now.Add(backLater), seq)
		}
	}
}
