package dispatch

import (
	"time"

	"cornelwall"
)

// reportRunning reports to an owner all its runs here.
func (c *Core) tellRunning(owner cornelwall.Incarnation) {
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == owner && r.state == runRunning }) {
		c.reportStarted(r)
	}
}

// stopUnprovenRuns stops the runs of owners whose last proof that they hear this entry has
// expired: such an owner may have given its runs up.
func (c *Core) stopUnproven() {
	for _, r := range runsThat(c.runs, func(r *run) bool {
		return r.owner != c.cfg.Self && r.state != runStopping && c.now.Sub(c.lastProof(r)) > proofLife
	}) {
		c.log("owner-unproven", "task", r.id.Task, "run", r.id.Run, "owner", r.owner, "age", c.now.Sub(c.lastProof(r)))
		c.withdrawRun(r, false)
	}
}

// hasProof reports whether there is fresh proof that a peer hears this entry. A heartbeat of the
// peer that acknowledges one of this entry is such a proof, as of when the latter was sent.
func (c *Core) proved(p *peer) bool { return p.open && c.now.Sub(p.proven) <= proofLife }

// maxAssignDelay is how long an assignment may have been in transit: as long as the sending entry
// waits for an answer to an envelope.
const orderAge = 250 * time.Millisecond

// maxAssignLead is by how much, at most, an assignment counts as sent later than the last proof of
// its owner. It is what remains of holderTimeout after the time by which a run whose owner is
// silent has surely ended, even if only because its lease ended.
const orderLead = 70 * time.Millisecond

// lastOwnerProof returns when the owner of a run last proved that it hears this entry. The
// assignment of the run is such a proof, as of the earliest time at which it may have been sent:
// the owner's wait before it gives the run up starts no earlier.
func (c *Core) lastProof(r *run) time.Time {
	sent := r.receivedAt.Add(-orderAge)
	if p := c.peers[r.owner]; p != nil && !p.dead && p.proven.After(sent) {
		return p.proven
	}
	return sent
}

// expireProof closes the session of a peer whose proof has expired.
func (c *Core) checkProof(p *peer) {
	if !p.open || c.now.Sub(p.proven) <= proofLife {
		return
	}
	if c.wants(p) {
		c.log("peer-unproven", "peer", p.id, "age", c.now.Sub(p.proven), "heard", c.now.Sub(p.heard))
	}
	c.closeSession(p)
}

// closeSession draws a new session for an owner, so that no task that it sent before can start any
// more. Its runs that have started are stopped once their own proof has expired.
func (c *Core) closeSession(p *peer) {
	p.open = false
	p.session++
}

// stopRunsOf withdraws all runs of an owner, those that wait included.
func (c *Core) stopRunsOf(p *peer) {
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == p.id }) {
		c.withdrawRun(r, false)
	}
}
