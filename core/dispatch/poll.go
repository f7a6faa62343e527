package dispatch

import (
	"time"

	"cornelwall"
)

// maxListedEnds is how many ends an endpoint lists at a time.
const maxListedEnds = 500

// poll asks an endpoint what runs there. It extends the lease if the endpoint is ready or offered,
// has runs of the lease, and the lease need not expire.
func (c *Core) poll(l *lease, wait time.Duration) {
	acked := l.ackedEnd
	if l.phase == phaseOffered {
		acked = l.ackedEndAtOffer // the next holder needs the list of the ends since then
	}
	l.lastPoll++
	cmd := cornelwall.PollEndpoint{Endpoint: l.target(), Fence: l.fence, Seq: l.lastPoll, AckedEnd: acked, MaxWait: wait}
	if (l.phase == phaseReady || l.phase == phaseOffered) && len(l.runs) > 0 && !l.mustExpire(c.now) {
		cmd.LeaseUntil = l.extend(c.now)
	}
	l.openPolls++
	l.polledAt, l.ackedEndSent = c.now, acked
	if l.unansweredSince.IsZero() {
		l.unansweredSince = c.now
	}
	c.emit(cmd)
}

// handlePollResult processes the answer to a poll.
func (c *Core) handlePollResult(ev cornelwall.PollResult) {
	l := c.leaseForFence(ev.Endpoint, ev.Fence)
	if l == nil {
		return
	}
	l.openPolls--
	switch ev.Refusal {
	case cornelwall.RefusedNone:
	case cornelwall.RefusedFence:
		if ev.Fence == l.fence {
			c.handleFencedOut(l)
		}
		return
	case cornelwall.RefusedBoot:
		if ev.Fence == l.fence { // otherwise the poll went to the address that the endpoint had before it restarted
			c.handleReplaced(l)
		}
		return
	default:
		return // the poll is repeated when due
	}
	if l.boot != ev.Boot {
		if ev.Seq <= l.lastStalePoll {
			return // the answer may be from before the endpoint restarted
		}
		switch {
		case l.boot != 0:
			c.handleRestart(l, ev.Boot)
		case l.handedOverBoot != ev.Boot:
			c.recordCrash(l, l.handedOverBoot, cornelwall.CrashConfirmed) // it has restarted while it was handed over
		}
	}
	if l.answered != nil {
		l.answered, l.leaveAnnounced = nil, false // it has ended
	}
	l.boot, l.answeredAt, l.unansweredSince = ev.Boot, c.now, time.Time{}
	l.ep.health.RecordContact()
	if ev.Seq > l.suspectedAtPoll && len(c.crashes.AtEndpoint(l.ep.ID)) > 0 {
		c.resolveCrashes(l.ep.ID, ev.Boot)
	}
	c.updateClock(l, ev.Clock)
	for i := range ev.Ended {
		c.recordListedEnd(l, &ev.Ended[i])
	}
	c.reconcileRuns(l, &ev)
	switch {
	case ev.Fence != l.fence:
	case !listsAllEnds(&ev) && l.phase != phaseOffered:
		c.poll(l, 0) // acknowledges these, for the others to be listed
	default:
		c.updatePhase(l)
	}
	c.pollIfDue(l)
}

// listsAllEnds reports whether an answer has all ends that the endpoint keeps. Otherwise that a run isn't listed proves nothing.
func listsAllEnds(ev *cornelwall.PollResult) bool { return len(ev.Ended) < maxListedEnds }

// recordListedEnd processes the end of a run that an endpoint lists, unless it was processed
// before.
func (c *Core) recordListedEnd(l *lease, e *cornelwall.RunEnded) {
	if e.Seq <= l.ackedEnd {
		return
	}
	l.ackedEnd, l.lastEndAt = e.Seq, c.now
	if l.phase == phaseAcquiring {
		l.endedRuns = append(l.endedRuns, cornelwall.RunResult{RunID: e.RunID, End: e.End, Endpoint: l.ep.ID})
	}
	if r := c.runs[e.RunID]; r != nil && r.lease == l {
		c.endRun(r, e.End, endListed)
	}
}

// reconcileRuns compares the runs that an endpoint lists with those of the lease: it stops orphans
// and ends the runs that are certainly no longer there.
func (c *Core) reconcileRuns(l *lease, ev *cornelwall.PollResult) {
	running := map[cornelwall.RunID]bool{}
	for _, s := range ev.Running {
		running[s.RunID] = true
		r := l.runs[s.RunID]
		if r == nil {
			c.stopOrphan(l, s.RunID)
			continue
		}
		if r.state == runStarting {
			c.reportStarted(r)
		}
		r.startAnswered, r.seenAt = true, c.now
		r.recordProgress(c.now, s.Progress, ev.Clock)
	}
	for id := range l.orphans {
		if !running[id] {
			delete(l.orphans, id)
		}
	}
	if !listsAllEnds(ev) {
		return
	}
	for _, r := range filterRuns(l.runs, func(r *run) bool {
		return !running[r.id] && r.endProofPoll > 0 && ev.Seq >= r.endProofPoll
	}) {
		end := cornelwall.RunLapsed
		if r.state == runStopping {
			end = cornelwall.RunStopped
		}
		c.endRun(r, end, endNotListed)
	}
}

// stopOrphan stops a run that is not one of the lease's, such as one that an earlier holder left.
func (c *Core) stopOrphan(l *lease, id cornelwall.RunID) {
	if at, ok := l.orphans[id]; ok && c.now.Sub(at) < stopRetryInterval {
		return
	}
	l.orphans[id] = c.now
	c.log("stranger-stopped", "endpoint", l.ep.ID, "task", id.Task, "run", id.Run)
	c.emit(cornelwall.StopRun{Endpoint: l.target(), Fence: l.fence, Run: id})
}

// updatePhase makes an endpoint ready once only known runs are left there after its acquisition, or
// once it answers again.
func (c *Core) updatePhase(l *lease) {
	switch l.phase {
	case phaseAcquiring:
		if len(l.orphans) > 0 {
			return
		}
		l.phase, l.ep.refusedFences, c.backlogChanged = phaseReady, 0, true
		m := &cornelwall.EndpointAcquired{Endpoint: l.ep.ID, Fence: l.fence, Ended: l.endedRuns}
		l.endedRuns = nil
		for _, r := range l.sortedRuns() {
			m.Kept = append(m.Kept, r.id)
		}
		c.log("endpoint-ready", "endpoint", l.ep.ID, "fence", l.fence, "kept", len(m.Kept), "after", c.now.Sub(l.acquiredAt))
		if !l.knowsKind() {
			c.log("endpoint-unlisted-boot", "endpoint", l.ep.ID, "boot", l.boot, "listed", l.ep.Boot, "listage", c.listAge())
			c.orderRead()
		}
		for _, p := range c.peersByID {
			if !c.canAssign(p) && p.id != l.handedOverBy && p.id != l.ep.presumedHolder {
				continue // it has no tasks there
			}
			to := *m
			to.Session = p.theirSession
			c.send(p.id, cornelwall.Message{EndpointAcquired: &to})
		}
		c.send(c.cfg.Self, cornelwall.Message{EndpointAcquired: m})
		for _, r := range filterRuns(l.runs, func(r *run) bool { return r.state == runRunning }) {
			c.reportStarted(r) // its owner may have no link to this entry
		}
	case phaseUnreachable:
		l.phase, c.backlogChanged = phaseReady, true
		c.log("endpoint-back", "endpoint", l.ep.ID)
	}
}
