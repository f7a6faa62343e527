package dispatch

import (
	"cmp"
	"math"
	"time"

	"cornelwall"
)

const (
	fullMeshPeers  = 8                     // peers up to which all entries exchange heartbeats with each other all the time
	linkTTL        = time.Second           // for which heartbeats continue after a link was last needed
	maxLinks       = 8                     // up to which links are added to find free capacity
	seekInterval   = 10 * time.Millisecond // between two links added to find free capacity
	minSpareTasks  = 6                     // free capacity below which more is sought, in tasks like those of the last batch
	fullPeersLimit = 3                     // linked peers of this data centre without free capacity, from which on other data centres are asked
	busyWindow     = 2 * time.Second       // after the last batch, during which free capacity is sought in advance
)

// A link is a pair of entries that exchange heartbeats. A small cluster is a full mesh of links.
// In a larger one, an entry has links to each peer that runs its tasks or whose tasks it runs, to
// those that it hands an endpoint over to, and to some with free capacity. The traffic of an entry
// thus grows with its work and not with the number of entries.

// wantsLink reports whether this entry needs to exchange heartbeats with a peer.
func (c *Core) wantsLink(p *peer) bool {
	return len(c.peers) <= c.cfg.MaxMeshPeers || !p.linkUsedAt.IsZero() && c.now.Sub(p.linkUsedAt) < linkTTL
}

// canAssign reports whether tasks can be assigned to a peer right now.
func (c *Core) canAssign(p *peer) bool { return p.sessionOpen && c.isResponsive(p) && !p.leaving }

// useLink keeps the link to a peer for linkTTL more, and opens it if need be.
func (c *Core) useLink(p *peer) {
	p.linkUsedAt = c.now
	c.addLink(p)
	if !p.sessionOpen && c.now.Sub(p.heartbeatAt) >= heartbeatInterval {
		c.sendHeartbeats(p)
	}
}

// refreshLinks keeps the links that are in use, and adds one if free capacity is short.
func (c *Core) refreshLinks() {
	if len(c.peers) <= c.cfg.MaxMeshPeers {
		return
	}
	use := func(id cornelwall.Incarnation) {
		if p := c.peers[id]; p != nil {
			p.linkUsedAt = c.now
			c.addLink(p)
		}
	}
	for _, t := range c.tasksByRun {
		use(t.holder)
	}
	for _, r := range c.runs {
		use(r.owner)
	}
	for _, ep := range c.held() {
		use(ep.lease.offeredTo)
	}
	if c.lowOnCapacity() {
		c.seekCapacity()
	}
}

// lowOnCapacity reports whether this entry should look for peers with free capacity: what is at
// hand is less than the next batch may need. An entry that holds endpoints outside the evacuated data
// centres does so only within busyWindow of a batch. A stopping entry does so while it has jobs and no holder to assign their
// tasks to.
func (c *Core) lowOnCapacity() bool {
	if c.isStopping() {
		return len(c.jobs) > 0 && len(c.holderOptions()) == 0
	}
	if c.allEvacuated() || c.holdsOpenEndpoint() && (c.lastSubmit.IsZero() || c.now.Sub(c.lastSubmit) > busyWindow) {
		return false
	}
	n := 0
	for _, h := range c.holderOptions() {
		n += h.View.FreePlaces(c.lastBatchNeed)
	}
	return n < minSpareTasks
}

// seekCapacity adds a link to one more peer, which may have free capacity. Peers are chosen with a
// probability in proportion to their weight. Other data centres are asked once this one is full. Entries of
// evacuated ones, which may hold endpoints elsewhere, are asked last.
func (c *Core) seekCapacity() {
	if len(c.peers) <= c.cfg.MaxMeshPeers || c.now.Sub(c.lastSeek) < seekInterval {
		return
	}
	links, passedOver, full := 0, 0, 0
	for _, p := range c.links {
		if !c.wantsLink(p) {
			continue
		}
		if c.isPassedOver(p.id.DataCentre) {
			passedOver++
			continue
		}
		links++
		if p.id.DataCentre == c.cfg.Self.DataCentre && c.canAssign(p) && p.view.FreePlaces(c.lastBatchNeed) == 0 {
			full++
		}
	}
	if links >= maxLinks {
		return
	}
	c.lastSeek = c.now
	c.seekSalt++
	remote := full >= fullPeersLimit
	p := c.pickUnlinkedPeer(remote, false)
	if p == nil {
		p = c.pickUnlinkedPeer(!remote, false)
	}
	if p == nil && links+passedOver < maxLinks {
		p = cmp.Or(c.pickUnlinkedPeer(true, true), c.pickUnlinkedPeer(false, true))
	}
	if p != nil {
		c.useLink(p)
	}
}

// pickUnlinkedPeer returns a peer without a link, chosen at random by weight, or nil. The peer is
// of another data centre if remote is set, and of this one otherwise. Its data centre is evacuated, while others are
// not, if passedOver is set.
func (c *Core) pickUnlinkedPeer(remote, passedOver bool) *peer {
	var best *peer
	bestScore := math.Inf(-1)
	for _, p := range c.peersByID {
		if c.wantsLink(p) || p.id.DataCentre == c.cfg.Self.DataCentre == remote || !c.isEligible(p) || c.isPassedOver(p.id.DataCentre) != passedOver {
			continue
		}
		if s := score(p.hash, c.nameHash+c.seekSalt, p.weight); s > bestScore {
			best, bestScore = p, s
		}
	}
	return best
}
