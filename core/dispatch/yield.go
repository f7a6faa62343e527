package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// release gives an endpoint up on which nothing runs.
func (c *Core) release(ep *endpoint) {
	if ep.lease == nil {
		return
	}
	c.log("endpoint-released", "endpoint", ep.ID, "fence", ep.lease.fence)
	c.hold(ep, nil)
	ep.free = c.now
}

// restarted takes note that an endpoint has started anew under its name. What ran there
// before is gone, but orders that were on their way may have reached the new boot, or may
// still reach it: the next look shows it a new fence, under which it refuses these, and its list
// tells what has started.
func (c *Core) restarted(l *lease, boot int64) {
	c.log("endpoint-restarted", "endpoint", l.ep.ID, "runs", len(l.runs), "boot", boot)
	l.oldLook = l.lastLook
	l.boot, l.acked, l.ackSent, l.until, l.clockAt, l.clock = boot, 0, 0, 0, time.Time{}, 0
	clear(l.strangers)
	l.phase, l.fence = phaseTaking, c.nextFence()
	for _, r := range l.runs {
		r.stopAcked = false
		if r.endProofPoll > 0 {
			r.endProofPoll = l.lastLook + 1
		}
	}
	c.look(l, 0)
}

// replaced takes note that another endpoint has the address of one: it is gone with all
// that ran there.
func (c *Core) replaced(l *lease) {
	c.log("endpoint-replaced", "endpoint", l.ep.ID, "runs", len(l.runs))
	for _, r := range l.sortedRuns() {
		c.endRun(r, cornelwall.RunLapsed, endReplaced)
	}
	l.ep.lostUntil = c.now.Add(lostTime)
	c.release(l.ep)
}

// yield gives an endpoint up that another entry has taken. What runs there ends with the
// lease, or once the new holder says so; if it was ever offered to an entry, that one may
// have kept it, and its word decides.
func (c *Core) yield(l *lease) {
	c.log("endpoint-yielded", "endpoint", l.ep.ID, "fence", l.fence, "runs", len(l.runs))
	if l.phase == phaseTaking {
		c.highestFence += fenceJump // the clock of an earlier holder may be ahead
	}
	l.phase, l.yieldedAt = phaseYielded, c.now
	c.hold(l.ep, nil)
	l.ep.free, l.ep.yielded = c.now, c.now.Add(yieldTime)
	if !l.handTo.IsZero() {
		c.passOn(l, l.handTo, nil)
		return
	}
	if len(l.runs) > 0 {
		c.yieldedLeases = append(c.yieldedLeases, l)
	}
}

func (c *Core) checkYielded() {
	c.yieldedLeases = slices.DeleteFunc(c.yieldedLeases, func(l *lease) bool {
		if l.clockAt.IsZero() && c.now.Sub(l.yieldedAt) > c.longestDelay() {
			c.dropUnreached(l)
		}
		if !l.lapsed(c.now, c.cfg.Limits.StopDelay) || c.now.Sub(l.yieldedAt) < yieldPatience {
			return len(l.runs) == 0
		}
		for _, r := range l.sortedRuns() {
			c.endRun(r, cornelwall.RunLapsed, endLeaseOver)
		}
		return true
	})
}

// endYielded ends what the new holder of an endpoint has not kept.
func (c *Core) endYielded(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, l := range c.yieldedLeases {
		if l.ep.ID == m.Endpoint && l.fence < m.Fence {
			c.passOn(l, from, m)
		}
	}
}

// endPassed ends what was left to another entry without its word, and which the holder of the
// endpoint has not kept.
func (c *Core) endPassed(m *cornelwall.EndpointAcquired) {
	for _, id := range slices.SortedFunc(maps.Keys(c.handedOffRuns), compareRun) {
		p := c.handedOffRuns[id]
		if p.endpoint != m.Endpoint || p.fence >= m.Fence || slices.Contains(m.Kept, id) {
			continue
		}
		over := cornelwall.RunResult{RunID: id, End: m.End(id), Endpoint: m.Endpoint}
		delete(c.handedOffRuns, id)
		c.endedRuns[id] = endedRun{result: over, endedAt: c.now}
		c.sendResult(p.owner, over)
	}
}

// handedOver ends the lease on an endpoint that another entry has taken.
func (c *Core) handedOver(ep *endpoint, from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	l := ep.lease
	l.phase = phaseYielded
	c.hold(ep, nil)
	ep.free = c.now
	c.passOn(l, from, m)
}

// passOn leaves the runs that another entry has kept to it and ends the others as the
// endpoint lists them. Without its word, all may have been kept.
func (c *Core) passOn(l *lease, to cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, r := range l.sortedRuns() {
		if m != nil && !slices.Contains(m.Kept, r.id) {
			c.endRun(r, m.End(r.id), endNotKept)
			continue
		}
		withdrawn := r.state == runStopping
		l.remove(r)
		delete(c.runs, r.id)
		c.handedOffRuns[r.id] = handedOffRun{to: to, handedOffAt: c.now, owner: r.owner, endpoint: l.ep.ID, fence: l.fence}
		if withdrawn {
			c.send(to, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{r.id}, MayHaveStarted: true}})
		}
	}
}
