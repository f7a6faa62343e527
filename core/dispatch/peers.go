package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"cornelwall"
)

const (
	seedEvery     = 500 * time.Millisecond
	silentAfter   = 260 * time.Millisecond  // without a pulse a peer gets no new tasks
	proofLife     = 450 * time.Millisecond  // without proof a holder stops the runs of an owner
	ownerPatience = 1300 * time.Millisecond // without a pulse of a holder, what ran there is over
	surveyEvery   = 100 * time.Millisecond  // between two looks at all peers
	freezeAfter   = 300 * time.Millisecond  // between two ticks, worth a line in the log
	unlistedTime  = time.Second             // for which an entry that the platform has dropped may show that it lives
	awayAfter     = 2 * time.Second         // without an answer a peer is dead, if the platform cannot tell
	forgetAfter   = 10 * time.Second        // of a peer that is dead
	tellEvery     = time.Second             // between two lists of what is known to a peer that asks
	pulsesKept    = 64                      // numbers of pulses whose time of sending is known
)

// peer is one incarnation of another entry.
type peer struct {
	id       cornelwall.Incarnation
	addr     netip.AddrPort
	weight   int
	hash     uint64    // of its name
	key      uint64    // hash of its identity
	listed   bool      // by the platform
	unlisted time.Time // when it was dropped from the platform's list
	dead     bool      // a later life of the entry is known, or its address refuses connections
	former   bool      // the platform has listed a later life
	heard    time.Time
	asked    time.Time // of the first pulse to it since it was heard last; zero if none
	expired  bool      // what it ran for this entry is over
	leaving  bool
	alone    bool // it cannot read the platform
	version  uint64
	view     holderView

	wanted  time.Time // when this entry last had reason to exchange pulses with it
	keep    bool      // it wants the pulses of this entry
	prove   bool      // the next pulse to it asks for one at once
	onLinks bool      // it is on the list of the peers that pulses go to

	// This entry as a holder for the peer.
	number  uint64 // of the last pulse to the peer
	sent    [pulsesKept]time.Time
	proven  time.Time // when the last pulse was sent that the peer surely has
	session uint64
	open    bool // there is fresh proof

	// This entry as an owner of tasks at the peer.
	seen         uint64 // greatest number of its pulses
	theirSession uint64

	ask     bool // it has no list of endpoints
	pulsed  time.Time
	toldAll time.Time
	waiting map[string]int
	resend  []cornelwall.Message
}

// entryName names an entry over all its lives.
type entryName struct{ dataCentre, entry string }

func nameOf(id cornelwall.Incarnation) entryName { return entryName{id.DataCentre, id.Entry} }

// answers reports whether the peer has been heard just now.
func (c *Core) answers(p *peer) bool {
	return !p.dead && !p.heard.IsZero() && c.now.Sub(p.heard) <= silentAfter
}

// alive reports whether the peer may still act as a holder.
func (c *Core) alive(p *peer) bool {
	if p.dead {
		return false
	}
	silent := c.now.Sub(p.heard)
	if !p.heard.IsZero() && (silent <= proofLife || p.alone && silent <= awayAfter) {
		return true
	}
	if c.platformUp {
		// An entry that the platform has just dropped may live on; it was asked.
		return p.listed || c.now.Sub(p.unlisted) <= unlistedTime && c.unanswered(p) <= proofLife
	}
	// Without the platform, an entry that hears nobody is more likely to be cut off
	// itself than all others are to be dead.
	return p.listed && (c.unanswered(p) <= awayAfter || !c.hearsAnyone())
}

// unanswered returns for how long pulses to a peer have gone without one of its own.
func (c *Core) unanswered(p *peer) time.Duration {
	if p.asked.IsZero() {
		return 0
	}
	return c.now.Sub(p.asked)
}

func (c *Core) hearsAnyone() bool {
	for _, p := range c.peers {
		if c.answers(p) {
			return true
		}
	}
	return false
}

func comparePeer(p *peer, id cornelwall.Incarnation) int { return p.id.Compare(id) }

func (c *Core) addPeer(p *peer) {
	c.peers[p.id] = p
	c.latestPeers[nameOf(p.id)] = p
	i, _ := slices.BinarySearchFunc(c.peersByID, p.id, comparePeer)
	c.peersByID = slices.Insert(c.peersByID, i, p)
}

func (c *Core) dropPeer(p *peer) {
	delete(c.peers, p.id)
	p.onLinks = false
	c.links = slices.DeleteFunc(c.links, func(n *peer) bool { return n == p })
	if name := nameOf(p.id); c.latestPeers[name] == p {
		delete(c.latestPeers, name)
	}
	if i, ok := slices.BinarySearchFunc(c.peersByID, p.id, comparePeer); ok {
		c.peersByID = slices.Delete(c.peersByID, i, i+1)
	}
}

// know returns the peer, new if need be, or nil if another life of its entry counts as the
// later one. Lives are numbered by the time of day, which may have jumped back, so that the
// platform's list goes before the numbers, and without the platform a life that is silent
// gives way.
func (c *Core) know(m cornelwall.Member, listed bool) *peer {
	if m.ID.SameEntry(c.cfg.Self) {
		return nil
	}
	if p := c.peers[m.ID]; p != nil && p.former && !listed {
		return nil
	}
	old := c.latestPeers[nameOf(m.ID)]
	if old == nil || old.id != m.ID {
		if old != nil && !listed && !old.dead && old.id.Epoch > m.ID.Epoch && (c.platformUp || c.now.Sub(old.heard) <= awayAfter) {
			return nil
		}
		if old != nil {
			old.former = listed
			c.died(old, "restarted")
		}
		if p := c.peers[m.ID]; p != nil {
			p.dead, p.former = false, false
			c.latestPeers[nameOf(m.ID)] = p
		}
	}
	p := c.peers[m.ID]
	if p == nil {
		p = &peer{id: m.ID, hash: hashOf(m.ID.Entry), key: hashOf(m.ID.String()), weight: 1, session: uint64(c.now.UnixMilli())}
		c.addPeer(p)
		c.log("peer-found", "peer", p.id, "addr", m.Addr)
	}
	p.addr = m.Addr
	if m.Weight > 0 {
		p.weight = m.Weight
	}
	return p
}

// died takes note that the process of a peer has ended.
func (c *Core) died(p *peer, why string) {
	if p.dead {
		return
	}
	p.dead = true
	c.lastPeerScan = time.Time{} // its endpoints go to others
	c.log("peer-dead", "peer", p.id, "why", why)
	c.closeSession(p)
	c.stopRunsOf(p)
}

// setMembers takes the platform's list of entries.
func (c *Core) setMembers(list []cornelwall.Member) {
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
		if p := c.know(m, true); p != nil {
			p.listed = true
		}
	}
	for _, p := range before {
		if p.listed || p.dead {
			continue
		}
		p.unlisted = c.now
		if p.id.DataCentre == c.cfg.Self.DataCentre {
			c.link(p)
		}
	}
}

func (c *Core) platformLost() {
	if !c.platformUp {
		return
	}
	c.platformUp = false
	c.log("platform-lost")
	for _, p := range c.peersByID {
		if !c.wants(p) {
			p.asked = time.Time{} // from now on its answers count
		}
	}
}

// checkPeers finds peers that fell silent.
func (c *Core) checkPeers() {
	if c.now.Sub(c.lastPeerScan) >= surveyEvery {
		c.survey()
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

// survey looks at all peers. What must be seen sooner is checked where it is used.
func (c *Core) survey() {
	c.lastPeerScan = c.now
	c.links = c.links[:0]
	for _, p := range slices.Clone(c.peersByID) {
		c.checkProof(p)
		if !p.expired && !p.heard.IsZero() && c.now.Sub(p.heard) > ownerPatience {
			p.expired = true
			if c.wants(p) {
				c.log("peer-silent", "peer", p.id, "age", c.now.Sub(p.heard))
			}
			p.resend = nil
		}
		if !p.listed && c.now.Sub(p.heard) > forgetAfter && c.now.Sub(p.unlisted) > forgetAfter && (p.expired || p.heard.IsZero()) && c.platformUp {
			c.dropPeer(p)
			continue
		}
		if p.onLinks = c.wants(p) || p.keep && c.answers(p) || len(p.resend) > 0; p.onLinks {
			c.links = append(c.links, p)
		}
	}
	c.rankMembers()
}

// addLink puts a peer on the list of those that pulses go to.
func (c *Core) addLink(p *peer) {
	if !p.onLinks {
		p.onLinks = true
		i, _ := slices.BinarySearchFunc(c.links, p.id, comparePeer)
		c.links = slices.Insert(c.links, i, p)
	}
}
