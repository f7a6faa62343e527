package dispatch

import (
	"math"
	"time"

	"cornelwall"
)

const (
	fullMeshPeers  = 8           // peers up to which each pair of entries exchanges pulses all the time
	linkTTL        = time.Second // for which pulses go on after the last reason for them
	maxLinks       = 8           // that are sought for room
	seekInterval   = 10 * time.Millisecond
	minSpareTasks  = 6               // tasks like the last, for which there should be room at once
	fullPeersLimit = 3               // full ones in this data centre, after which others are asked
	busyWindow     = 2 * time.Second // after the last batch, for which room is sought ahead
)

// A link is a pair of entries that exchange pulses. A small system keeps all of them. In a
// larger one, an entry has a link to each peer that runs its tasks or whose tasks it runs,
// to those that it hands an endpoint to, and to some that have room for more. What an entry
// sends thus follows its work and not the number of entries.

// wantsLink reports whether this entry has reason to exchange pulses with a peer.
func (c *Core) wantsLink(p *peer) bool {
	return len(c.peers) <= c.cfg.MaxMeshPeers || !p.linkUsedAt.IsZero() && c.now.Sub(p.linkUsedAt) < linkTTL
}

// canAssign reports whether tasks can be placed at a peer at once.
func (c *Core) canAssign(p *peer) bool { return p.sessionOpen && c.isResponsive(p) && !p.leaving }

// useLink makes or keeps a link.
func (c *Core) useLink(p *peer) {
	p.linkUsedAt = c.now
	c.addLink(p)
	if !p.sessionOpen && c.now.Sub(p.heartbeatAt) >= heartbeatInterval {
		c.sendHeartbeats(p)
	}
}

// refreshLinks keeps the links that are in use.
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

// lowOnCapacity reports whether there is less room at hand than the next batch may need, while
// batches come.
func (c *Core) lowOnCapacity() bool {
	if c.isStopping() {
		return len(c.jobs) > 0 && len(c.candidates()) == 0
	}
	if len(c.held()) > 0 && (c.lastSubmit.IsZero() || c.now.Sub(c.lastSubmit) > busyWindow) {
		return false
	}
	n := 0
	for _, h := range c.candidates() {
		n += h.view.freePlaces(c.lastBatchNeed)
	}
	return n < minSpareTasks
}

// seekCapacity makes a link to one more peer, which may have room. The more a peer can carry, the
// more often it is chosen. Other data centres are asked once this one is full.
func (c *Core) seekCapacity() {
	if len(c.peers) <= c.cfg.MaxMeshPeers || c.now.Sub(c.lastSeek) < seekInterval {
		return
	}
	links, full := 0, 0
	for _, p := range c.links {
		if !c.wantsLink(p) {
			continue
		}
		links++
		if p.id.DataCentre == c.cfg.Self.DataCentre && c.canAssign(p) && p.view.freePlaces(c.lastBatchNeed) == 0 {
			full++
		}
	}
	if links >= maxLinks {
		return
	}
	c.lastSeek = c.now
	c.seekSalt++
	far := full >= fullPeersLimit
	p := c.pickUnlinkedPeer(far)
	if p == nil {
		p = c.pickUnlinkedPeer(!far)
	}
	if p != nil {
		c.useLink(p)
	}
}

// pickUnlinkedPeer returns a peer without a link, chosen at random by weight, or nil. Far asks for
// one of another data centre.
func (c *Core) pickUnlinkedPeer(far bool) *peer {
	var best *peer
	bestScore := math.Inf(-1)
	for _, p := range c.peersByID {
		if c.wantsLink(p) || p.id.DataCentre == c.cfg.Self.DataCentre == far || !c.isEligible(p) {
			continue
		}
		if s := score(p.hash, c.nameHash+c.seekSalt, p.weight); s > bestScore {
			best, bestScore = p, s
		}
	}
	return best
}
