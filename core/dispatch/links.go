package dispatch

import (
	"math"
	"time"

	"cornelwall"
)

const (
	allLinks  = 8                     // peers up to which all entries exchange heartbeats with each other all the time
	linkTime  = time.Second           // for which heartbeats go on after a link was last needed
	maxLinks  = 8                     // up to which links are added to find free capacity
	seekEvery = 10 * time.Millisecond // between two links added to find free capacity
	spareRoom = 6                     // tasks like the last one for which free capacity should be at hand
	fullLinks = 3                     // links in this data centre to full peers, from which on other data centres are asked
	busyTime  = 2 * time.Second       // after the last batch, during which free capacity is sought in advance
)

// A link is a pair of entries that exchange heartbeats. A small cluster is a full mesh of links.
// In a larger one, an entry has links to each peer that runs its tasks or whose tasks it runs, to
// those that it hands an endpoint over to, and to some with free capacity. The traffic of an entry
// thus grows with its work and not with the number of entries.

// wantsLink reports whether this entry needs to exchange heartbeats with a peer.
func (c *Core) wants(p *peer) bool {
	return len(c.peers) <= c.cfg.MaxMeshPeers || !p.wanted.IsZero() && c.now.Sub(p.wanted) < linkTime
}

// canAssign reports whether tasks can be assigned to a peer right now.
func (c *Core) linked(p *peer) bool { return p.open && c.answers(p) && !p.leaving }

// useLink keeps the link to a peer for linkTTL more, and opens it if need be.
func (c *Core) link(p *peer) {
	p.wanted = c.now
	c.addLink(p)
	if !p.open && c.now.Sub(p.pulsed) >= pulseEvery {
		c.pulseTo(p)
	}
}

// refreshLinks keeps the links that are in use, and adds one if free capacity is short.
func (c *Core) keepLinks() {
	if len(c.peers) <= c.cfg.MaxMeshPeers {
		return
	}
	use := func(id cornelwall.Incarnation) {
		if p := c.peers[id]; p != nil {
			p.wanted = c.now
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
		use(ep.lease.handTo)
	}
	if c.short() {
		c.seek()
	}
}

// lowOnCapacity reports whether batches come in and the free capacity at hand is less than the
// next one may need.
func (c *Core) short() bool {
	if c.isStopping() {
		return len(c.jobs) > 0 && len(c.candidates()) == 0
	}
	if len(c.held()) > 0 && (c.lastSubmit.IsZero() || c.now.Sub(c.lastSubmit) > busyTime) {
		return false
	}
	n := 0
	for _, h := range c.candidates() {
		n += h.view.freePlaces(c.lastBatchNeed)
	}
	return n < spareRoom
}

// seekCapacity adds a link to one more peer, which may have free capacity. The probability of a
// peer is in proportion to its weight. Other data centres are asked once this one is full.
func (c *Core) seek() {
	if len(c.peers) <= c.cfg.MaxMeshPeers || c.now.Sub(c.lastPeerSearch) < seekEvery {
		return
	}
	links, full := 0, 0
	for _, p := range c.links {
		if !c.wants(p) {
			continue
		}
		links++
		if p.id.DataCentre == c.cfg.Self.DataCentre && c.linked(p) && p.view.freePlaces(c.lastBatchNeed) == 0 {
			full++
		}
	}
	if links >= maxLinks {
		return
	}
	c.lastPeerSearch = c.now
	c.searchSalt++
	remote := full >= fullLinks
	p := c.pickPeer(remote)
	if p == nil {
		p = c.pickPeer(!remote)
	}
	if p != nil {
		c.link(p)
	}
}

// pickUnlinkedPeer returns a peer without a link, chosen at random by weight, or nil. The peer is
// of another data centre if remote is set, and of this one otherwise.
func (c *Core) pickPeer(remote bool) *peer {
	var best *peer
	bestScore := math.Inf(-1)
	for _, p := range c.peersByID {
		if c.wants(p) || p.id.DataCentre == c.cfg.Self.DataCentre == remote || !c.mayHold(p) {
			continue
		}
		if s := score(p.hash, c.nameHash+c.searchSalt, p.weight); s > bestScore {
			best, bestScore = p, s
		}
	}
	return best
}
