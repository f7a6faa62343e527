package dispatch

import (
	"time"

	"cornelwall"
)

// look asks an endpoint what runs there, and extends the lease if it may.
func (c *Core) look(l *lease, wait time.Duration) {
	acked := l.acked
	if l.phase == phaseHanding {
		acked = l.handAcked // the next holder has to be told of the ends since
	}
	l.lastLook++
	cmd := cornelwall.PollEndpoint{Endpoint: l.ep.Endpoint, Fence: l.fence, Number: l.lastLook, AckedThrough: acked, MaxWait: wait}
	if (l.phase == phaseReady || l.phase == phaseHanding) && len(l.runs) > 0 && !l.stuck(c.now) {
		cmd.LeaseUntil = l.extend(c.now)
	}
	l.looks++
	l.lookedAt, l.ackSent = c.now, acked
	if l.asked.IsZero() {
		l.asked = c.now
	}
	c.emit(cmd)
}

// looked takes the answer to a look.
func (c *Core) looked(ev cornelwall.PollResult) {
	l := c.leaseOf(ev.Endpoint, ev.Fence)
	if l == nil {
		return
	}
	l.looks--
	switch ev.Refusal {
	case cornelwall.RefusedNone:
	case cornelwall.RefusedFence:
		if ev.Fence == l.fence {
			c.yield(l)
		}
		return
	case cornelwall.RefusedBoot:
		if ev.Fence == l.fence { // else it went to where the endpoint was before it started anew
			c.replaced(l)
		}
		return
	default:
		return // it is sent again in time
	}
	if l.boot != ev.Boot {
		if ev.Number <= l.oldLook {
			return // it may be from before the endpoint started anew
		}
		if l.boot != 0 {
			c.restarted(l, ev.Boot)
		}
	}
	l.boot, l.answered, l.asked = ev.Boot, c.now, time.Time{}
	c.setClock(l, ev.Clock)
	for i := range ev.Ended {
		c.listedEnd(l, &ev.Ended[i])
	}
	c.compare(l, &ev)
	if ev.Fence == l.fence {
		c.advance(l)
	}
	c.keepLease(l)
}

// listedEnd takes an end that an endpoint lists.
func (c *Core) listedEnd(l *lease, e *cornelwall.RunEnded) {
	if e.Number <= l.acked {
		return
	}
	l.acked, l.endedAt = e.Number, c.now
	if l.phase == phaseTaking {
		l.ended = append(l.ended, cornelwall.RunResult{RunID: e.RunID, End: e.End, Endpoint: l.ep.ID})
	}
	if r := c.runs[e.RunID]; r != nil && r.lease == l {
		c.endRun(r, e.End, endListed)
	}
}

// compare matches the list of what runs with what should.
func (c *Core) compare(l *lease, ev *cornelwall.PollResult) {
	running := map[cornelwall.RunID]bool{}
	for _, s := range ev.Running {
		running[s.RunID] = true
		r := l.runs[s.RunID]
		if r == nil {
			c.stopStranger(l, s.RunID)
			continue
		}
		if r.state == runStarting {
			c.reportStarted(r)
		}
	}
	for id := range l.strangers {
		if !running[id] {
			delete(l.strangers, id)
		}
	}
	for _, r := range runsThat(l.runs, func(r *run) bool {
		return !running[r.id] && r.endProofPoll > 0 && ev.Number >= r.endProofPoll
	}) {
		how := cornelwall.RunLapsed
		if r.state == runStopping {
			how = cornelwall.RunStopped
		}
		c.endRun(r, how, endNotListed)
	}
}

// stopStranger stops a run that this entry knows nothing of.
func (c *Core) stopStranger(l *lease, id cornelwall.RunID) {
	if at, ok := l.strangers[id]; ok && c.now.Sub(at) < stopRepeat {
		return
	}
	l.strangers[id] = c.now
	c.log("stranger-stopped", "endpoint", l.ep.ID, "task", id.Task, "run", id.Run)
	c.emit(cornelwall.StopRun{Endpoint: l.ep.Endpoint, Fence: l.fence, Run: id})
}

// advance ends the taking of an endpoint once only known runs are left, and the loss of
// one that answers again.
func (c *Core) advance(l *lease) {
	switch l.phase {
	case phaseTaking:
		if len(l.strangers) > 0 {
			return
		}
		l.phase, c.backlogChanged = phaseReady, true
		m := &cornelwall.EndpointAcquired{Endpoint: l.ep.ID, Fence: l.fence, Ended: l.ended}
		l.ended = nil
		for _, r := range l.sortedRuns() {
			m.Kept = append(m.Kept, r.id)
		}
		c.log("endpoint-ready", "endpoint", l.ep.ID, "fence", l.fence, "kept", len(m.Kept), "after", c.now.Sub(l.since))
		for _, p := range c.peersByID {
			if !c.linked(p) && p.id != l.from && p.id != l.ep.believed {
				continue // it has nothing there
			}
			to := *m
			to.Session = p.theirSession
			c.send(p.id, cornelwall.Message{EndpointAcquired: &to})
		}
		c.send(c.cfg.Self, cornelwall.Message{EndpointAcquired: m})
		for _, r := range runsThat(l.runs, func(r *run) bool { return r.state == runRunning }) {
			c.reportStarted(r) // its owner may have no link to this entry
		}
	case phaseLost:
		l.phase, c.backlogChanged = phaseReady, true
		c.log("endpoint-back", "endpoint", l.ep.ID)
	}
}
