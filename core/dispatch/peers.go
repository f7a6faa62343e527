package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	seedInterval     = 500 * time.Millisecond  // between two heartbeats to a seed, or to a peer that does not answer
	heartbeatTimeout = 260 * time.Millisecond  // without a heartbeat, after which a peer gets no new tasks
	proofTTL         = 450 * time.Millisecond  // age at which a proof of reachability expires, and the holder stops the runs of the owner
	holderTimeout    = 1300 * time.Millisecond // without a heartbeat of a holder, after which the runs there count as ended
	peerScanInterval = 100 * time.Millisecond  // between two scans of all peers
	pauseThreshold   = 300 * time.Millisecond  // gap between two ticks that is logged as a pause of the process
	unlistedGrace    = time.Second             // for which an entry that the platform has dropped from its list still counts as alive if it answers
	deadTimeout      = 2 * time.Second         // without an answer, after which a peer no longer counts as alive if the platform is unavailable
	forgetAfter      = 10 * time.Second        // without a heartbeat, after which a peer that is off the platform's list is forgotten
	fullListInterval = time.Second             // between two complete endpoint lists sent to one peer
	heartbeatWindow  = 64                      // latest heartbeats to a peer whose send time is kept
)

// peer is one incarnation of another entry.
type peer struct {
	id              cornelwall.Incarnation
	addr            netip.AddrPort
	weight          int
	hash            uint64    // of its entry name
	idHash          uint64    // hash of its incarnation
	listed          bool      // on the platform's list of entries
	unlistedAt      time.Time // when the platform dropped it from its list
	dead            bool      // a later incarnation is known, or its address refuses connections
	superseded      bool      // the platform has listed a later incarnation
	heardAt         time.Time // when its last heartbeat came
	unansweredSince time.Time // when the first heartbeat to it since then was sent; zero if none
	runsExpired     bool      // the runs there of this entry's tasks count as ended
	leaving         bool      // it is stopping
	platformLost    bool      // it cannot read the platform
	version         uint64    // of its queue config
	view            policy.HolderView

	linkUsedAt      time.Time // when the link to it was last needed
	wantsHeartbeats bool      // it needs the heartbeats of this entry
	replyNow        bool      // the next heartbeat to it asks for an immediate reply
	inLinks         bool      // it is in Core.links

	// Heartbeats to the peer. Its acknowledgements prove that it hears this entry, which this entry
	// needs as the holder of runs of the peer's tasks.
	sentSeq     uint64                     // number of the last heartbeat to the peer
	sentAt      [heartbeatWindow]time.Time // when heartbeats were sent, by number modulo heartbeatWindow
	provenAt    time.Time                  // when the latest heartbeat was sent that the peer has acknowledged
	session     uint64                     // that the peer has to quote to assign tasks here
	sessionOpen bool                       // the proof that the peer hears this entry is fresh

	// Heartbeats from the peer. This entry needs the session as the owner of tasks at the peer.
	receivedSeq  uint64 // greatest number of its heartbeats
	theirSession uint64 // that this entry has to quote to the peer

	noEndpointList bool                 // it has no list of endpoints
	heartbeatAt    time.Time            // when the last heartbeat to it was sent
	fullListAt     time.Time            // when the last complete list of endpoints was sent to it
	slowdown       float64              // median at its endpoints, as last reported
	waitingJobs    map[string]int       // its batches that have not begun, by queue
	resend         []cornelwall.Message // that may not have arrived and are safe to repeat
	membersSentAt  time.Time            // when the members were last sent to it
	fetchFailedAt  time.Time            // when it last failed to send its queue configuration
	crashSeq       uint64               // of the last change of a crash that it was sent
	load           []peerLoad           // its own demand and capacity, as last reported
	loadSentAt     time.Time            // when a load report was last sent to it
	cancels        peerCancels

	recordsOwners   bool      // it is a witness of batches
	witnessMissedAt time.Time // when it last did not answer a claim in time; zero if it has answered since
	witnessMisses   int       // in a row
	roundTrips      policy.RoundTrips
	timed           timedClaim // that it has not answered; zero if none

	reportsEvacuations bool // its last heartbeat has the evacuated data centres
	implausible        bool // it reports them as of a revision that the platform's store cannot have reached
}

// entryName identifies an entry across its incarnations.
type entryName struct{ dataCentre, entry string }

func entryNameOf(id cornelwall.Incarnation) entryName { return entryName{id.DataCentre, id.Entry} }

// isResponsive reports whether a heartbeat of the peer has come within heartbeatTimeout.
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
		// An entry that the platform has just dropped from its list may still run. It has been
		// sent a heartbeat, see handleMembersListed.
		return p.listed || c.now.Sub(p.unlistedAt) <= unlistedGrace && c.unansweredFor(p) <= proofTTL
	}
	// Without the platform, an entry that hears from nobody is more likely to be cut off
	// itself than all others are to be dead.
	return p.listed && (c.unansweredFor(p) <= deadTimeout || !c.hearsAnyPeer())
}

// unansweredFor returns for how long heartbeats to a peer have got no heartbeat in return.
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

// getOrAddPeer returns the peer of a member, added if it is new. It returns nil for this entry
// itself, and if another incarnation of the member's entry counts as the later one. Epochs are
// drawn from the time of day, which may have jumped back. Therefore the platform's list takes
// precedence over the epochs, and without the platform an incarnation that has been silent for
// deadTimeout is replaced whatever its epoch.
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
	p.cancels.keeps = p.cancels.keeps || m.KeepsCancellations
	p.recordsOwners = p.recordsOwners || m.RecordsOwners
	return p
}

// markDead marks a peer whose process has ended, and withdraws the runs here of its tasks.
func (c *Core) markDead(p *peer, why string) {
	if p.dead {
		return
	}
	p.dead = true
	c.lastPeerScan = time.Time{} // scan at once, so that other entries acquire its endpoints
	c.log("peer-dead", "peer", p.id, "why", why)
	c.closeSession(p)
	c.withdrawRunsOf(p)
	c.removePeerCallers(p.id)
}

// handleMembersListed applies the platform's list of entries.
func (c *Core) handleMembersListed(list []cornelwall.Member) {
	if !c.platformUp {
		c.platformUp = true
		c.log("platform-back")
		c.graceAfterOutage()
		c.storeAgainAfterOutage()
	}
	before := slices.Clone(c.peersByID)
	before = slices.DeleteFunc(before, func(p *peer) bool { return !p.listed })
	for _, p := range before {
		p.listed = false
	}
	c.membersReadAt, c.lastPeerScan = c.now, time.Time{}
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
			c.useLink(p) // which asks it for a heartbeat
		}
	}
	c.noteListed(slices.ContainsFunc(list, func(m cornelwall.Member) bool { return m.ID == c.cfg.Self }))
}

// handlePlatformLost records that the platform does not answer. From now on peers are judged by
// their answers alone.
func (c *Core) handlePlatformLost() {
	if !c.platformUp {
		return
	}
	c.platformUp = false
	c.log("platform-lost")
	c.noteMissed("platform", c.listedAt, c.now.Add(catchUpGrace))
	for _, p := range c.peersByID {
		if !c.wantsLink(p) {
			p.unansweredSince = time.Time{} // heartbeats without an answer count from now on
		}
	}
}

// checkPeers scans the peers if a scan is due, sends again what may not have arrived, and ends the
// runs at silent holders.
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

// scanPeers updates the state of all peers, the links and the ranking. What has to be noticed
// sooner is checked where it is used.
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
			if len(p.resend) > 0 {
				p.resend, p.crashSeq = nil, 0
			}
		}
		if !p.listed && c.now.Sub(p.heardAt) > forgetAfter && c.now.Sub(p.unlistedAt) > forgetAfter && (p.runsExpired || p.heardAt.IsZero()) && c.platformUp {
			c.removePeer(p)
			c.recountNewest()
			continue
		}
		if p.inLinks = c.wantsLink(p) || p.wantsHeartbeats && c.isResponsive(p) || len(p.resend) > 0; p.inLinks {
			c.links = append(c.links, p)
		}
	}
	c.updateRanking()
	c.updateUsualSlowdown()
}

// addLink adds a peer to those that heartbeats go to.
func (c *Core) addLink(p *peer) {
	if !p.inLinks {
		p.inLinks = true
		i, _ := slices.BinarySearchFunc(c.links, p.id, comparePeer)
		c.links = slices.Insert(c.links, i, p)
	}
}
