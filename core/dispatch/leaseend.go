package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// release ends the lease on an endpoint, if there is one. No run of the lease is left.
func (c *Core) release(ep *endpoint) {
	if ep.lease == nil {
		return
	}
	c.log("endpoint-released", "endpoint", ep.ID, "fence", ep.lease.fence)
	c.setLease(ep, nil)
	ep.freeSince = c.now
}

// handleRestart acquires an endpoint again that has restarted under the same name. The runs from
// before the restart are gone.
func (c *Core) handleRestart(l *lease, boot int64) {
	c.log("endpoint-restarted", "endpoint", l.ep.ID, "runs", len(l.runs), "boot", boot)
	c.recordCrash(l, l.boot, cornelwall.CrashConfirmed)
	l.leaveAnnounced = false
	c.acquireBoot(l, boot)
}

// acquireBoot acquires an endpoint again at another boot than the one that has answered. Orders that were in transit may have
// reached the endpoint since it began, or may still do so. The next poll therefore carries a new fence, so that the
// endpoint refuses those to come, and its answer lists the runs that have started.
func (c *Core) acquireBoot(l *lease, boot int64) {
	l.lastStalePoll = l.lastPoll
	l.boot, l.ackedEnd, l.ackedEndSent, l.latestEnd, l.clockAt, l.clock = boot, 0, 0, 0, time.Time{}, 0
	clear(l.orphans)
	l.phase, l.fence = phaseAcquiring, c.nextFence()
	for _, r := range l.runs {
		r.stopAcked = false
		if r.endProofPoll > 0 {
			r.endProofPoll = l.lastPoll + 1
		}
	}
	c.poll(l, 0)
}

// handleReplaced ends the lease on an endpoint at whose address another endpoint answers: it is
// gone, and so are its runs. At an address where only the record has it, that tells nothing of them.
func (c *Core) handleReplaced(l *lease) {
	if l.answered != nil && len(l.runs) > 0 {
		c.returnToAnswered(l)
		return
	}
	c.log("endpoint-replaced", "endpoint", l.ep.ID, "runs", len(l.runs))
	if l.answered == nil {
		c.confirmAllCrashes(l.ep.ID)
		c.recordCrash(l, l.boot, cornelwall.CrashConfirmed)
		c.sendCrashesToAll()
	}
	for _, r := range l.sortedRuns() {
		c.endRun(r, cornelwall.RunLapsed, endReplaced)
	}
	l.ep.unreachableUntil = c.now.Add(unreachableBackoff)
	c.release(l.ep)
}

// handleFencedOut ends the lease on an endpoint that has refused its fence, as another entry has
// taken it over. The runs there have ended when the lease has expired or when the next holder
// reports so. If the endpoint was offered to an entry that has not declined, that one may have kept
// them, and its report decides.
func (c *Core) handleFencedOut(l *lease) {
	c.log("endpoint-yielded", "endpoint", l.ep.ID, "fence", l.fence, "runs", len(l.runs))
	wasAcquiring := l.phase == phaseAcquiring
	l.phase, l.supersededAt = phaseSuperseded, c.now
	c.setLease(l.ep, nil)
	l.ep.freeSince, l.ep.retakeAt = c.now, c.now.Add(retakeDelay)
	if wasAcquiring {
		c.raiseFence(l)
	}
	if !l.offeredTo.IsZero() {
		c.transferRuns(l, l.offeredTo, nil)
		return
	}
	if len(l.runs) > 0 {
		c.supersededLeases = append(c.supersededLeases, l)
	}
}

// raiseFence raises the fences to come above the one of an acquisition that was refused: the clock of
// an earlier holder may be ahead. Unless another entry may hold the endpoint, such as after a
// restart of all entries, it is acquired again without retakeDelay.
func (c *Core) raiseFence(l *lease) {
	ep := l.ep
	c.highestFence = max(c.highestFence, l.fence+fenceJump<<min(ep.refusedFences, maxFenceDoublings))
	ep.refusedFences++
	if p := c.peers[ep.presumedHolder]; (p == nil || !c.isAlive(p)) && ep.refusedFences <= maxFenceDoublings {
		ep.retakeAt = c.now
	}
}

// expireSuperseded ends the runs of superseded leases that have expired, once the next holders have
// had the time to take them over. If the clock of the endpoint is not known, it drops them after
// maxOrderLifetime instead.
func (c *Core) expireSuperseded() {
	c.supersededLeases = slices.DeleteFunc(c.supersededLeases, func(l *lease) bool {
		if l.clockAt.IsZero() && c.now.Sub(l.supersededAt) > c.maxOrderLifetime() {
			c.dropUnreachableRuns(l)
		}
		if !l.hasExpired(c.now, c.cfg.Limits.StopDelay) || c.now.Sub(l.supersededAt) < takeoverTimeout {
			return len(l.runs) == 0
		}
		c.endLapsedRuns(l)
		return len(l.runs) == 0
	})
}

// transferSupersededRuns transfers the runs of a superseded lease to the next holder of the
// endpoint, and ends those that the next holder has not kept.
func (c *Core) transferSupersededRuns(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, l := range c.supersededLeases {
		if l.ep.ID == m.Endpoint && l.fence < m.Fence {
			c.transferRuns(l, from, m)
		}
	}
}

// endTransferredRuns ends runs that were transferred, possibly before the next holder of the
// endpoint had announced itself, and that the next holder has not kept.
func (c *Core) endTransferredRuns(m *cornelwall.EndpointAcquired) {
	for _, id := range slices.SortedFunc(maps.Keys(c.transferredRuns), compareRunID) {
		r := c.transferredRuns[id]
		if r.endpoint != m.Endpoint || r.fence >= m.Fence || slices.Contains(m.Kept, id) {
			continue
		}
		result := cornelwall.RunResult{RunID: id, End: m.End(id), Endpoint: m.Endpoint}
		delete(c.transferredRuns, id)
		c.endedRuns[id] = endedRun{result: result, endedAt: c.now}
		c.sendResult(r.owner, result)
	}
}

// completeHandover ends the lease on an endpoint that another entry has taken over.
func (c *Core) completeHandover(ep *endpoint, from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	l := ep.lease
	l.phase = phaseSuperseded
	c.setLease(ep, nil)
	ep.freeSince = c.now
	c.transferRuns(l, from, m)
}

// transferRuns records that the next holder of an endpoint has the runs of a lease that it kept
// according to its announcement m, and ends the others as the endpoint lists them. Without an
// announcement, all runs are transferred, as the next holder may have kept them.
func (c *Core) transferRuns(l *lease, to cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, r := range l.sortedRuns() {
		if m != nil && !slices.Contains(m.Kept, r.id) {
			c.endRun(r, m.End(r.id), endNotKept)
			continue
		}
		withdrawn := r.state == runStopping
		l.removeRun(r)
		delete(c.runs, r.id)
		c.transferredRuns[r.id] = transferredRun{to: to, transferredAt: c.now, owner: r.owner, endpoint: l.ep.ID, fence: l.fence}
		if withdrawn {
			c.send(to, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: []cornelwall.RunID{r.id}, MayHaveStarted: true}})
		}
	}
}
