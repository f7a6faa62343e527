package dispatch

import (
	"maps"
	"slices"

	"cornelwall"
)

// joinOwner leaves a job to the entry that owns its batch. The callers here get the answer of that entry.
//
// Two entries that have claimed a batch at the same time may each be told of the other by one witness. Then the lesser of
// them owns it, whichever of their requests to join comes first.
func (c *Core) joinOwner(j *job, owner cornelwall.BatchOwner) {
	o := &j.claim
	if o.state == joined && o.joinedTo == owner {
		return
	}
	if c.hasJoined(j, owner.Entry) && c.cfg.Self.Compare(owner.Entry) < 0 {
		c.replaceOwner(j, owner)
		return
	}
	c.leaveOwner(j)
	c.log("batch-joins", "job", j.id, "owner", owner.Entry, "left", j.deadline.Sub(c.now))
	o.ranBefore = o.ranBefore || o.state != joined && j.started
	o.state, o.joinedTo, o.accepted = joined, owner, false
	j.started = true // by its owner
	c.takeBackTasks(j)
	c.redirectCallers(j)
	c.keepLink(owner.Entry)
	c.sendJoin(j)
	o.letGo = cornelwall.BatchOwner{Entry: c.cfg.Self, Number: o.number}
	c.askWitnesses(j, true)
}

// replaceOwner makes this entry the owner in place of one that has joined it.
func (c *Core) replaceOwner(j *job, other cornelwall.BatchOwner) {
	c.leaveOwner(j)
	j.claim.state, j.claim.number, j.claim.letGo = owned, c.newClaimNumber(), other
	c.askWitnesses(j, false)
	c.becomeOwner(j)
}

// takeBackTasks withdraws all tasks of a job that goes on elsewhere.
func (c *Core) takeBackTasks(j *job) {
	c.withdrawTasks(j, false)
	for _, t := range j.tasks {
		if t.isAssigned() {
			t.state, t.changedAt = taskIdle, c.now
		}
	}
}

// hasJoined reports whether a peer waits for the answer to a job.
func (c *Core) hasJoined(j *job, peer cornelwall.Incarnation) bool {
	return slices.ContainsFunc(j.callers, func(w jobCaller) bool { return w.peer == peer })
}

// redirectCallers sends the peers that wait for the answer to a job to the entry that owns it.
func (c *Core) redirectCallers(j *job) {
	j.callers = slices.DeleteFunc(j.callers, func(w jobCaller) bool {
		if w.peer.IsZero() {
			return false
		}
		if w.peer != j.claim.joinedTo.Entry {
			c.send(w.peer, cornelwall.Message{JoinReply: &cornelwall.JoinReply{ID: j.id, Number: w.req, State: cornelwall.JoinElsewhere, Owner: j.claim.joinedTo}})
		}
		return true
	})
	j.setDeadline()
}

// sendJoin asks the owner of a job's batch for the answer.
func (c *Core) sendJoin(j *job) {
	j.claim.joinSentAt = c.now
	c.send(j.claim.joinedTo.Entry, cornelwall.Message{JoinBatch: &cornelwall.JoinBatch{ID: j.id, Number: j.claim.number, TimeLeft: j.deadline.Sub(c.now)}})
}

// leaveOwner tells the entry that owns a job's batch that this entry does not wait for the answer any more.
func (c *Core) leaveOwner(j *job) {
	if j.claim.state != joined {
		return
	}
	c.send(j.claim.joinedTo.Entry, cornelwall.Message{LeaveBatch: &cornelwall.LeaveBatch{ID: j.id, Number: j.claim.number}})
}

// handleJoinBatch adds a peer to the callers of a job.
func (c *Core) handleJoinBatch(from cornelwall.Incarnation, m *cornelwall.JoinBatch) {
	reply := &cornelwall.JoinReply{ID: m.ID, Number: m.Number}
	j := c.jobs[m.ID]
	switch {
	case j == nil && c.pendingEnds.perBatch[m.ID] > 0:
		reply.State = cornelwall.JoinEnding
	case j == nil:
		reply.State = cornelwall.JoinLetGo
	case j.claim.state == joined && j.claim.joinedTo.Entry != from:
		reply.State, reply.Owner = cornelwall.JoinElsewhere, j.claim.joinedTo
	case j.claim.state == joined && c.cfg.Self.Compare(from) > 0:
		return // it owns the batch, see joinOwner
	default:
		reply.State = cornelwall.JoinAccepted
		c.addPeerCaller(j, from, m)
	}
	c.send(from, cornelwall.Message{JoinReply: reply})
}

// addPeerCaller adds a peer to the callers of a job, or changes its deadline.
func (c *Core) addPeerCaller(j *job, from cornelwall.Incarnation, m *cornelwall.JoinBatch) {
	j.callers = slices.DeleteFunc(j.callers, func(w jobCaller) bool { return w.peer == from })
	j.addCaller(jobCaller{req: m.Number, peer: from, deadline: c.now.Add(m.TimeLeft)})
	c.log("peer-joined", "job", j.id, "peer", from, "left", m.TimeLeft)
	if j.claim.state == joined {
		c.replaceOwner(j, cornelwall.BatchOwner{Entry: from, Number: m.Number})
	}
}

// handleJoinReply acts on the answer of the entry that owns a job's batch.
func (c *Core) handleJoinReply(from cornelwall.Incarnation, m *cornelwall.JoinReply) {
	j := c.jobs[m.ID]
	if j == nil || j.claim.state != joined || j.claim.joinedTo.Entry != from || j.claim.number != m.Number {
		return
	}
	switch m.State {
	case cornelwall.JoinAccepted:
		j.claim.accepted = true
	case cornelwall.JoinAnswered:
		j.claim.state = owned // there is nobody to leave any more
		c.finishJob(j, c.answerOfOwner(j, m.Answer))
	case cornelwall.JoinEnding:
		j.claim.accepted = false
	case cornelwall.JoinLetGo:
		c.reclaimJob(j, j.claim.joinedTo)
	case cornelwall.JoinElsewhere:
		if m.Owner.Entry != c.cfg.Self {
			c.joinOwner(j, m.Owner)
		}
	}
}

// answerOfOwner returns the answer of the owner of a job's batch as the callers here get it. The owner knows of its own
// runs only: that the batch has not run does not hold if tasks of it may have run before this entry joined.
func (c *Core) answerOfOwner(j *job, a cornelwall.BatchAnswer) cornelwall.BatchAnswer {
	if a.End == cornelwall.BatchFailed && a.Reason == cornelwall.ReasonCrash {
		a.End = cornelwall.BatchGivenUp // an older entry fails batches for crashes
	}
	if a.End != cornelwall.BatchRefused || !j.claim.ranBefore && !c.mayHaveRun(j.id) {
		return a
	}
	return cornelwall.BatchAnswer{
		End: cornelwall.BatchGivenUp, Reason: a.Reason,
		Text: "tasks of the batch may have run at this entry, and the entry that owns the batch by now has not run it; send it again",
	}
}

// handleLeaveBatch removes a peer from the callers of a job.
func (c *Core) handleLeaveBatch(from cornelwall.Incarnation, m *cornelwall.LeaveBatch) {
	if j := c.jobs[m.ID]; j != nil {
		c.removeCallers(j, func(w jobCaller) bool { return w.peer == from && w.req == m.Number })
	}
}

// removePeerCallers removes a peer that has ended from the callers of all jobs.
func (c *Core) removePeerCallers(peer cornelwall.Incarnation) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j != nil {
			c.removeCallers(j, func(w jobCaller) bool { return w.peer == peer })
		}
	}
}

// removeCallers removes callers that have gone. A job without callers is cancelled.
func (c *Core) removeCallers(j *job, gone func(jobCaller) bool) {
	n := len(j.callers)
	j.callers = slices.DeleteFunc(j.callers, gone)
	if len(j.callers) == n {
		return
	}
	if len(j.callers) == 0 {
		c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchCancelled, Reason: cornelwall.ReasonCancelled})
		return
	}
	j.setDeadline()
}
