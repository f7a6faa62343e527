package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

// reportRunning reports to an owner which of its tasks run here.
func (c *Core) reportRunning(owner cornelwall.Incarnation) {
	for _, r := range filterRuns(c.runs, func(r *run) bool { return r.owner == owner && r.state == runRunning }) {
		c.reportStarted(r)
	}
}

// withdrawUnprovenRuns withdraws the runs of owners whose last proof that they hear this entry has
// expired: such an owner may have given its runs up.
func (c *Core) withdrawUnprovenRuns() {
	for _, r := range filterRuns(c.runs, func(r *run) bool {
		return r.owner != c.cfg.Self && r.state != runStopping && c.now.Sub(c.lastOwnerProof(r)) > proofTTL
	}) {
		c.log("owner-unproven", "task", r.id.Task, "run", r.id.Run, "owner", r.owner, "age", c.now.Sub(c.lastOwnerProof(r)))
		c.withdrawRun(r, true) // the owner may only have stood still, and waits for a run that has not started
	}
}

// hasProof reports whether there is fresh proof that a peer hears this entry. A heartbeat of the
// peer that acknowledges one of this entry is such a proof, as of when the latter was sent.
func (c *Core) hasProof(p *peer) bool { return p.sessionOpen && c.now.Sub(p.provenAt) <= proofTTL }

// maxAssignDelay is how long an assignment may have been in transit: as long as the sending entry
// waits for an answer to an envelope.
const maxAssignDelay = 250 * time.Millisecond

// maxAssignLead limits how late an assignment counts as sent: at most this long after the last
// proof of its owner. It is the part of holderTimeout that remains after the time within which a
// run whose owner is silent has certainly ended, at the latest because its lease expired.
const maxAssignLead = 70 * time.Millisecond

// lastOwnerProof returns when the owner of a run last proved that it hears this entry. The
// assignment of the run is such a proof, as of the earliest time at which it may have been sent:
// the owner's wait before it gives the run up starts no earlier. A handover is none, so that the
// proof of the previous holder counts on. That the owner hears this entry proves nothing for a run
// before the owner counts this entry as its holder.
func (c *Core) lastOwnerProof(r *run) time.Time {
	first := r.receivedAt.Add(-maxAssignDelay)
	if r.handedOver {
		first = r.inheritedProof
	}
	if r.awaitsConfirm() {
		return first
	}
	if p := c.peers[r.owner]; p != nil && !p.dead && p.provenAt.After(first) {
		return p.provenAt
	}
	return first
}

// awaitsConfirm reports whether the owner of a run, which was handed over, may still count the
// previous holder as its holder.
func (r *run) awaitsConfirm() bool { return r.handedOver && !r.ownerKnows }

// handleRunsKnown records that the owner of runs counts this entry as their holder.
func (c *Core) handleRunsKnown(from cornelwall.Incarnation, m *cornelwall.RunsKnown) {
	for _, id := range m.Runs {
		r := c.runs[id]
		if r != nil && r.owner == from && r.lease != nil && r.lease.ep.ID == m.Endpoint && m.Fence >= r.lease.firstFence {
			r.ownerKnows = true
		}
	}
}

// repeatReports reports runs again whose owners have not confirmed the first report.
func (c *Core) repeatReports() {
	for _, r := range filterRuns(c.runs, func(r *run) bool {
		return r.awaitsConfirm() && r.state == runRunning && !r.reportedAt.IsZero() && c.now.Sub(r.reportedAt) >= heartbeatInterval
	}) {
		c.reportStarted(r)
	}
}

// proofAge returns how long ago the owner of a run last proved that it hears this entry.
func (c *Core) proofAge(r *run) time.Duration {
	if r.owner == c.cfg.Self {
		return 0
	}
	return c.now.Sub(c.lastOwnerProof(r))
}

// proofOfOffer returns when the owner of a run that a peer hands over last proved that it hears
// that peer. The offer was sent after the heartbeat of this entry that it acknowledges.
func (c *Core) proofOfOffer(from *peer, m *cornelwall.Handover, h *cornelwall.HandoverRun) time.Time {
	sent := c.now.Add(-maxAssignDelay) // of an entry that does not tell
	if m.AckedSeq > 0 {
		var ok bool
		if sent, ok = from.sentTime(m.AckedSeq); !ok {
			sent = c.now.Add(-proofTTL)
		}
	}
	return sent.Add(-h.ProofAge)
}

// withoutUnproven returns the runs of an offer whose owners have proved lately that they hear the
// peer that makes it.
func (c *Core) withoutUnproven(from *peer, m *cornelwall.Handover, runs []cornelwall.HandoverRun) []cornelwall.HandoverRun {
	return slices.DeleteFunc(runs, func(h cornelwall.HandoverRun) bool {
		return h.Owner != c.cfg.Self && c.now.Sub(c.proofOfOffer(from, m, &h)) > proofTTL
	})
}

// inheritProofs sets the proofs of the runs that a peer has handed over, and asks their owners for
// proof before those expire.
func (c *Core) inheritProofs(l *lease, from *peer, m *cornelwall.Handover) {
	for i := range m.Runs {
		r := l.runs[m.Runs[i].RunID]
		if r == nil || r.owner == c.cfg.Self {
			continue
		}
		r.handedOver, r.inheritedProof = true, c.proofOfOffer(from, m, &m.Runs[i])
		if p := c.peers[r.owner]; p != nil && c.now.Sub(p.heartbeatAt) >= piggybackInterval {
			c.askForProof(p)
		}
	}
}

// askForProof asks a peer for a heartbeat at once.
func (c *Core) askForProof(p *peer) {
	c.useLink(p)
	p.replyNow = true
	c.sendHeartbeats(p)
}

// expireProof closes the session of a peer whose proof has expired.
func (c *Core) expireProof(p *peer) {
	if !p.sessionOpen || c.now.Sub(p.provenAt) <= proofTTL {
		return
	}
	if c.wantsLink(p) {
		c.log("peer-unproven", "peer", p.id, "age", c.now.Sub(p.provenAt), "heard", c.now.Sub(p.heardAt))
	}
	c.closeSession(p)
}

// closeSession draws a new session for an owner, so that assignments under the earlier one that
// arrive from now on are returned. Runs that were accepted before are withdrawn once their own
// proof has expired.
func (c *Core) closeSession(p *peer) {
	p.sessionOpen = false
	p.session++
}

// withdrawRunsOf withdraws all runs of an owner, including those that wait.
func (c *Core) withdrawRunsOf(p *peer) {
	for _, r := range filterRuns(c.runs, func(r *run) bool { return r.owner == p.id }) {
		c.withdrawRun(r, false)
	}
}
