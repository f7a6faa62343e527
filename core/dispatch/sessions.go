package dispatch

import (
	"time"

	"cornelwall"
)

// reportRunning tells an owner of all its runs here.
func (c *Core) reportRunning(owner cornelwall.Incarnation) {
	for _, r := range filterRuns(c.runs, func(r *run) bool { return r.owner == owner && r.state == runRunning }) {
		c.reportStarted(r)
	}
}

// stopUnprovenRuns stops the runs of owners that have not proved for long that they hear this
// entry: they may have given them up.
func (c *Core) stopUnprovenRuns() {
	for _, r := range filterRuns(c.runs, func(r *run) bool {
		return r.owner != c.cfg.Self && r.state != runStopping && c.now.Sub(c.lastOwnerProof(r)) > proofTTL
	}) {
		c.log("owner-unproven", "task", r.id.Task, "run", r.id.Run, "owner", r.owner, "age", c.now.Sub(c.lastOwnerProof(r)))
		c.withdrawRun(r, false)
	}
}

// hasProof reports whether there is fresh proof that a peer hears this entry.
func (c *Core) hasProof(p *peer) bool { return p.sessionOpen && c.now.Sub(p.provenAt) <= proofTTL }

// orderAge is how long the order to run a task may have been on its way: as long as another
// entry waits for the answer to what it sends.
const maxAssignDelay = 250 * time.Millisecond

// orderLead is by how much an order counts as sent later than the last proof of its owner at
// most: what ownerPatience leaves once a run whose owner is silent has surely ended, also by its
// lease alone.
const maxAssignLead = 70 * time.Millisecond

// lastOwnerProof returns when the owner of a run last proved that it hears this entry. The
// order to run it is such a proof, as of when it may have been sent: from then on its owner
// waits before it gives the run up.
func (c *Core) lastOwnerProof(r *run) time.Time {
	sent := r.receivedAt.Add(-maxAssignDelay)
	if p := c.peers[r.owner]; p != nil && !p.dead && p.provenAt.After(sent) {
		return p.provenAt
	}
	return sent
}

// expireProof closes the session of a peer whose proof is too old.
func (c *Core) expireProof(p *peer) {
	if !p.sessionOpen || c.now.Sub(p.provenAt) <= proofTTL {
		return
	}
	if c.wantsLink(p) {
		c.log("peer-unproven", "peer", p.id, "age", c.now.Sub(p.provenAt), "heard", c.now.Sub(p.heardAt))
	}
	c.closeSession(p)
}

// closeSession lets nothing start any more that an owner sent before. What runs for it is
// stopped once its own proof is too old.
func (c *Core) closeSession(p *peer) {
	p.sessionOpen = false
	p.session++
}

// stopRunsOf stops all that runs for an owner.
func (c *Core) stopRunsOf(p *peer) {
	for _, r := range filterRuns(c.runs, func(r *run) bool { return r.owner == p.id }) {
		c.withdrawRun(r, false)
	}
}
