package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"cornelwall"
)

const (
	pulseEvery    = 100 * time.Millisecond
	pulsePerPeer  = 4 * time.Millisecond // added to the time between pulses by each peer
	seedEvery     = 500 * time.Millisecond
	silentAfter   = 260 * time.Millisecond  // without a pulse a peer gets no new tasks
	proofLife     = 450 * time.Millisecond  // without proof a holder stops the runs of an owner
	ownerPatience = 1300 * time.Millisecond // without a pulse of a holder, what ran there is over
	freezeAfter   = 300 * time.Millisecond  // between two ticks, worth a line in the log
	awayAfter     = 2 * time.Second         // without a pulse a peer is dead, if the platform cannot tell
	forgetAfter   = 10 * time.Second        // of a peer that is dead
	roomEvery     = 5 * time.Millisecond    // between two words of room to one peer
	claimEvery    = 500 * time.Millisecond  // between looks at an endpoint that a peer claims as well
	listEvery     = time.Second             // between two lists of endpoints to a peer that asks
	pulsesKept    = 64                      // numbers of pulses whose time of sending is known
)

// peer is one incarnation of another entry.
type peer struct {
	id      cornelwall.Incarnation
	addr    netip.AddrPort
	listed  bool // by the platform
	dead    bool // a later life of the entry is known, or its address refuses connections
	heard   time.Time
	expired bool // what it ran for this entry is over
	leaving bool
	version uint64
	holds   map[string]bool
	lost    map[string]bool
	view    view

	// This entry as a holder for the peer.
	number  uint64 // of the last pulse to the peer
	sent    [pulsesKept]time.Time
	proven  time.Time // when the last pulse was sent that the peer surely has
	session uint64
	open    bool // there is fresh proof

	// This entry as an owner of tasks at the peer.
	seen         uint64 // greatest number of its pulses
	theirSession uint64

	ask      bool // it wants the members
	pulsed   time.Time
	roomTold time.Time
	listTold time.Time
	waiting  map[string]int
	resend   []cornelwall.Message
}

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
	if !p.heard.IsZero() && silent <= proofLife {
		return true
	}
	if c.platform {
		return p.listed
	}
	// Without the platform, an entry that hears nobody is more likely to be cut off
	// itself than all others are to be dead.
	return p.listed && (silent <= awayAfter || !c.hearsAnyone())
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
	i, _ := slices.BinarySearchFunc(c.byID, p.id, comparePeer)
	c.byID = slices.Insert(c.byID, i, p)
}

func (c *Core) dropPeer(p *peer) {
	delete(c.peers, p.id)
	if i, ok := slices.BinarySearchFunc(c.byID, p.id, comparePeer); ok {
		c.byID = slices.Delete(c.byID, i, i+1)
	}
}

// know returns the peer, new if need be, or nil if a later life of its entry is known.
func (c *Core) know(m cornelwall.Member) *peer {
	if m.ID.SameEntry(c.cfg.Self) {
		return nil
	}
	if p := c.peers[m.ID]; p != nil {
		p.addr = m.Addr
		return p
	}
	for _, p := range c.peers {
		if !p.id.SameEntry(m.ID) {
			continue
		}
		if p.id.Life > m.ID.Life {
			return nil
		}
		c.died(p, "restarted")
	}
	p := &peer{id: m.ID, addr: m.Addr, session: uint64(c.now.UnixMilli())}
	c.addPeer(p)
	c.log("peer-found", "peer", p.id, "addr", p.addr)
	return p
}

// died takes note that the process of a peer has ended.
func (c *Core) died(p *peer, why string) {
	if p.dead {
		return
	}
	p.dead = true
	c.log("peer-dead", "peer", p.id, "why", why)
	c.closeSession(p)
}

// setMembers takes the platform's list of entries.
func (c *Core) setMembers(list []cornelwall.Member) {
	if !c.platform {
		c.platform = true
		c.log("platform-back")
	}
	for _, p := range c.peers {
		p.listed = false
	}
	for _, m := range list {
		if p := c.know(m); p != nil {
			p.listed = true
		}
	}
}

func (c *Core) platformLost() {
	if c.platform {
		c.platform = false
		c.log("platform-lost")
	}
}

// checkPeers finds peers that fell silent.
func (c *Core) checkPeers() {
	for _, p := range slices.Clone(c.byID) {
		if p.open && c.now.Sub(p.proven) > proofLife {
			c.log("peer-unproven", "peer", p.id, "age", c.now.Sub(p.proven), "heard", c.now.Sub(p.heard))
			c.closeSession(p)
		}
		if !p.expired && !p.heard.IsZero() && c.now.Sub(p.heard) > ownerPatience {
			p.expired = true
			c.log("peer-silent", "peer", p.id, "age", c.now.Sub(p.heard))
			p.resend = nil
			c.closeSession(p)
		}
		if p.expired {
			c.holderGone(p)
		}
		if !p.listed && c.now.Sub(p.heard) > forgetAfter && (p.expired || p.heard.IsZero()) && c.platform {
			c.dropPeer(p)
			continue
		}
		if len(p.resend) > 0 && !p.dead {
			again := p.resend
			p.resend = nil
			for _, m := range again {
				c.send(p.id, m)
			}
		}
	}
}
