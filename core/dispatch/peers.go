package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"cornelwall"
)

const (
	seedInterval     = 500 * time.Millisecond
	heartbeatTimeout = 260 * time.Millisecond  // without a pulse a peer gets no new tasks
	proofTTL         = 450 * time.Millisecond  // without proof a holder stops the runs of an owner
	holderTimeout    = 1300 * time.Millisecond // without a pulse of a holder, what ran there is over
	peerScanInterval = 100 * time.Millisecond  // between two looks at all peers
	pauseThreshold   = 300 * time.Millisecond  // between two ticks, worth a line in the log
	unlistedGrace    = time.Second             // for which an entry that the platform has dropped may show that it lives
	deadTimeout      = 2 * time.Second         // without an answer a peer is dead, if the platform cannot tell
	forgetAfter      = 10 * time.Second        // of a peer that is dead
	fullListInterval = time.Second             // between two lists of what is known to a peer that asks
	heartbeatWindow  = 64                      // numbers of pulses whose time of sending is known
)

// peer is one incarnation of another entry.
type peer struct {
	id              cornelwall.Incarnation
	addr            netip.AddrPort
	weight          int
	hash            uint64    // of its name
	idHash          uint64    // hash of its identity
	listed          bool      // by the platform
	unlistedAt      time.Time // when it was dropped from the platform's list
	dead            bool      // a later life of the entry is known, or its address refuses connections
	superseded      bool      // the platform has listed a later life
	heardAt         time.Time
	unansweredSince time.Time // of the first pulse to it since it was heard last; zero if none
	runsExpired     bool      // what it ran for this entry is over
	leaving         bool
	platformLost    bool // it cannot read the platform
	version         uint64
	view            holderView

	linkUsedAt      time.Time // when this entry last had reason to exchange pulses with it
	wantsHeartbeats bool      // it wants the pulses of this entry
	replyNow        bool      // the next pulse to it asks for one at once
	inLinks         bool      // it is on the list of the peers that pulses go to

	// This entry as a holder for the peer.
	sentSeq     uint64 // of the last pulse to the peer
	sentAt      [heartbeatWindow]time.Time
	provenAt    time.Time // when the last pulse was sent that the peer surely has
	session     uint64
	sessionOpen bool // there is fresh proof

	// This entry as an owner of tasks at the peer.
	receivedSeq  uint64 // greatest number of its pulses
	theirSession uint64

	noEndpointList bool // it has no list of endpoints
	heartbeatAt    time.Time
	fullListAt     time.Time
	waitingJobs    map[string]int
	resend         []cornelwall.Message
}

// entryName names an entry over all its lives.
type entryName struct{ dataCentre, entry string }

func entryNameOf(id cornelwall.Incarnation) entryName { return entryName{id.DataCentre, id.Entry} }

// isResponsive reports whether the peer has been heard just now.
func (c *Core) isResponsive(p *peer) bool {
	return !p.dead && !p.heardAt.IsZero() && c.now.Sub(p.heardAt) <= heartbeatTimeout
}

// isAlive reports whether the peer may still act as a holder.
func (c *Core) isAlive(p *peer) bool {
	if p.dead {
		return false
	}
	silent := c.now.Sub(p.heardAt)
	if !p.heardAt.IsZero() && (silent <= proofTTL || p.platformLost && silent <= deadTimeout) {
		return true
	}
	if c.platformUp {
		// An entry that the platform has just dropped may live on; it was asked.
		return p.listed || c.now.Sub(p.unlistedAt) <= unlistedGrace && c.unansweredFor(p) <= proofTTL
	}
	// Without the platform, an entry that hears nobody is more likely to be cut off
	// itself than all others are to be dead.
	return p.listed && (c.unansweredFor(p) <= deadTimeout || !c.hearsAnyPeer())
}

// unansweredFor returns for how long pulses to a peer have gone without one of its own.
func (c *Core) unansweredFor(p *peer) time.Duration {
	if p.unansweredSince.IsZero() {
		return 0
	}
	return c.now.Sub(p.unansweredSince)
}

func (c *Core) hearsAnyPeer() bool {
	for _, p := range c.peers {
		if c.isResponsive(p) {
			return true
		}
	}
	return false
}

func comparePeer(p *peer, id cornelwall.Incarnation) int { return p.id.Compare(id) }

func (c *Core) addPeer(p *peer) {
	c.peers[p.id] = p
	c.latestPeers[entryNameOf(p.id)] = p
	i, _ := slices.BinarySearchFunc(c.peersByID, p.id, comparePeer)
	c.peersByID = slices.Insert(c.peersByID, i, p)
}

func (c *Core) removePeer(p *peer) {
	delete(c.peers, p.id)
	p.inLinks = false
	c.links = slices.DeleteFunc(c.links, func(n *peer) bool { return n == p })
	if name := entryNameOf(p.id); c.latestPeers[name] == p {
		delete(c.latestPeers, name)
	}
	if i, ok := slices.BinarySearchFunc(c.peersByID, p.id, comparePeer); ok {
		c.peersByID = slices.Delete(c.peersByID, i, i+1)
	}
}

// getOrAddPeer returns the peer, new if need be, or nil if another life of its entry counts as the
// later one. Lives are numbered by the time of day, which may have jumped back, so that the
// platform's list goes before the numbers, and without the platform a life that is silent
// gives way.
func (c *Core) getOrAddPeer(m cornelwall.Member, listed bool) *peer {
	if m.ID.SameEntry(c.cfg.Self) {
		return nil
	}
	if p := c.peers[m.ID]; p != nil && p.superseded && !listed {
		return nil
	}
	old := c.latestPeers[entryNameOf(m.ID)]
	if old == nil || old.id != m.ID {
		if old != nil && !listed && !old.dead && old.id.Epoch > m.ID.Epoch && (c.platformUp || c.now.Sub(old.heardAt) <= deadTimeout) {
			return nil
		}
		if old != nil {
			old.superseded = listed
			c.markDead(old, "restarted")
		}
		if p := c.peers[m.ID]; p != nil {
			p.dead, p.superseded = false, false
			c.latestPeers[entryNameOf(m.ID)] = p
		}
	}
	p := c.peers[m.ID]
	if p == nil {
		p = &peer{id: m.ID, hash: hashOf(m.ID.Entry), idHash: hashOf(m.ID.String()), weight: 1, session: uint64(c.now.UnixMilli())}
		c.addPeer(p)
		c.log("peer-found", "peer", p.id, "addr", m.Addr)
	}
	p.addr = m.Addr
	if m.Weight > 0 {
		p.weight = m.Weight
	}
	return p
}

// markDead takes note that the process of a peer has ended.
func (c *Core) markDead(p *peer, why string) {
	if p.dead {
		return
	}
	p.dead = true
	c.lastPeerScan = time.Time{} // its endpoints go to others
	c.log("peer-dead", "peer", p.id, "why", why)
	c.closeSession(p)
	c.stopRunsOf(p)
}

// handleMembersListed takes the platform's list of entries.
func (c *Core) handleMembersListed(list []cornelwall.Member) {
	if !c.platformUp {
		c.platformUp = true
		c.log("platform-back")
	}
	before := slices.Clone(c.peersByID)
	before = slices.DeleteFunc(before, func(p *peer) bool { return !p.listed })
	for _, p := range before {
		p.listed = false
	}
	c.membersRead, c.lastPeerScan = true, time.Time{}
	for _, m := range list {
		if p := c.getOrAddPeer(m, true); p != nil {
			p.listed = true
		}
	}
	for _, p := range before {
		if p.listed || p.dead {
			continue
		}
		p.unlistedAt = c.now
		if p.id.DataCentre == c.cfg.Self.DataCentre {
			c.useLink(p)
		}
	}
}

func (c *Core) handlePlatformLost() {
	if !c.platformUp {
		return
	}
	c.platformUp = false
	c.log("platform-lost")
	for _, p := range c.peersByID {
		if !c.wantsLink(p) {
			p.unansweredSince = time.Time{} // from now on its answers count
		}
	}
}

// checkPeers finds peers that fell silent.
func (c *Core) checkPeers() {
	if c.now.Sub(c.lastPeerScan) >= peerScanInterval {
		c.scanPeers()
	}
	for _, p := range c.links {
		if len(p.resend) > 0 && !p.dead {
			again := p.resend
			p.resend = nil
			for _, m := range again {
				c.send(p.id, m)
			}
		}
	}
	c.expireSilentHolders()
}

// scanPeers looks at all peers. What must be seen sooner is checked where it is used.
func (c *Core) scanPeers() {
	c.lastPeerScan = c.now
	c.links = c.links[:0]
	for _, p := range slices.Clone(c.peersByID) {
		c.expireProof(p)
		if !p.runsExpired && !p.heardAt.IsZero() && c.now.Sub(p.heardAt) > holderTimeout {
			p.runsExpired = true
			if c.wantsLink(p) {
				c.log("peer-silent", "peer", p.id, "age", c.now.Sub(p.heardAt))
			}
			p.resend = nil
		}
		if !p.listed && c.now.Sub(p.heardAt) > forgetAfter && c.now.Sub(p.unlistedAt) > forgetAfter && (p.runsExpired || p.heardAt.IsZero()) && c.platformUp {
			c.removePeer(p)
			continue
		}
		if p.inLinks = c.wantsLink(p) || p.wantsHeartbeats && c.isResponsive(p) || len(p.resend) > 0; p.inLinks {
			c.links = append(c.links, p)
		}
	}
	c.updateRanking()
}

// addLink puts a peer on the list of those that pulses go to.
func (c *Core) addLink(p *peer) {
	if !p.inLinks {
		p.inLinks = true
		i, _ := slices.BinarySearchFunc(c.links, p.id, comparePeer)
		c.links = slices.Insert(c.links, i, p)
	}
}
