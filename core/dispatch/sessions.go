package dispatch

import (
	"time"

	"cornelwall"
)

// tellRunning tells an owner of all its runs here.
func (c *Core) tellRunning(owner cornelwall.Incarnation) {
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == owner && r.state == runRunning }) {
		c.reportStarted(r)
	}
}

// stopUnproven stops the runs of owners that have not proved for long that they hear this
// entry: they may have given them up.
func (c *Core) stopUnproven() {
	for _, r := range runsThat(c.runs, func(r *run) bool {
		return r.owner != c.cfg.Self && r.state != runStopping && c.now.Sub(c.lastProof(r)) > proofLife
	}) {
		c.log("owner-unproven", "task", r.id.Task, "run", r.id.Run, "owner", r.owner, "age", c.now.Sub(c.lastProof(r)))
		c.withdrawRun(r, false)
	}
}

// proved reports whether there is fresh proof that a peer hears this entry.
func (c *Core) proved(p *peer) bool { return p.open && c.now.Sub(p.proven) <= proofLife }

// orderAge is how long the order to run a task may have been on its way: as long as another
// entry waits for the answer to what it sends.
const orderAge = 250 * time.Millisecond

// orderLead is by how much an order counts as sent later than the last proof of its owner at
// most: what ownerPatience leaves once a run whose owner is silent has surely ended, also by its
// lease alone.
const orderLead = 70 * time.Millisecond

// lastProof returns when the owner of a run last proved that it hears this entry. The
// order to run it is such a proof, as of when it may have been sent: from then on its owner
// waits before it gives the run up.
func (c *Core) lastProof(r *run) time.Time {
	sent := r.receivedAt.Add(-orderAge)
	if p := c.peers[r.owner]; p != nil && !p.dead && p.proven.After(sent) {
		return p.proven
	}
	return sent
}

// checkProof closes the session of a peer whose proof is too old.
func (c *Core) checkProof(p *peer) {
	if !p.open || c.now.Sub(p.proven) <= proofLife {
		return
	}
	if c.wants(p) {
		c.log("peer-unproven", "peer", p.id, "age", c.now.Sub(p.proven), "heard", c.now.Sub(p.heard))
	}
	c.closeSession(p)
}

// closeSession lets nothing start any more that an owner sent before. What runs for it is
// stopped once its own proof is too old.
func (c *Core) closeSession(p *peer) {
	p.open = false
	p.session++
}

// stopRunsOf stops all that runs for an owner.
func (c *Core) stopRunsOf(p *peer) {
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == p.id }) {
		c.withdrawRun(r, false)
	}
}
