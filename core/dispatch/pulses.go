package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	pulseEvery = 100 * time.Millisecond // between two heartbeats to a peer
	rideEvery  = 10 * time.Millisecond  // between two heartbeats to a peer that precede other messages
	replyEvery = 20 * time.Millisecond  // between two heartbeats to a peer in reply
)

// handleHeartbeat processes a heartbeat of another entry.
func (c *Core) pulsed(from cornelwall.Incarnation, m *cornelwall.SessionHeartbeat) {
	for _, member := range m.Members {
		c.know(member, false)
	}
	p := c.know(cornelwall.Member{ID: from, Addr: m.Addr, Weight: m.Weight}, false)
	if p == nil || m.Seq <= p.seen {
		return // delayed, and so no proof that the peer is alive now
	}
	if m.WantHeartbeats {
		c.addLink(p)
	}
	c.checkProof(p)
	first, wasOpen := p.number == 0, p.open
	p.seen, p.heard, p.asked, p.dead, p.expired = m.Seq, c.now, time.Time{}, false, false
	p.leaving, p.version, p.ask, p.alone, p.keep = m.Leaving, m.Version, m.NoEndpointList, m.PlatformLost, m.WantHeartbeats
	newSession := p.theirSession != m.Session
	p.theirSession, p.waiting = m.Session, m.Waiting
	p.view.freeCapacity = m.FreeCapacity
	c.highestFence = max(c.highestFence, m.MaxFence)
	if at := p.sent[m.AckedSeq%pulsesKept]; m.AckedSeq > 0 && p.number-m.AckedSeq < pulsesKept && at.After(p.proven) {
		p.proven = at
	}
	p.open = c.now.Sub(p.proven) <= proofLife
	if newSession || p.open && !wasOpen {
		c.tellRunning(p.id) // the report that a run has moved here may have reached it too late
	}
	c.catchUp(p.id, p.version)
	replyNeeded := p.keep && (!wasOpen || !p.open) || p.alone // it needs a reply as proof that its messages arrive
	if first || p.ask || m.ReplyNow || replyNeeded && (p.open && !wasOpen || c.now.Sub(p.pulsed) >= replyEvery) {
		c.pulseTo(p)
	}
	if p.ask {
		c.tellAll(p)
	}
}

// requestNewerDeclaration asks an entry for its declaration if that is newer than the one in
// force here.
func (c *Core) catchUp(from cornelwall.Incarnation, version uint64) {
	if version > c.queueConfig.Version {
		c.send(from, cornelwall.Message{QueueConfigSync: &cornelwall.QueueConfigSync{}})
	}
}

// sendDueHeartbeats sends the heartbeats that are due. While neither the platform nor a peer
// answers, they also go to the seeds.
func (c *Core) pulse() {
	var due []*peer
	for _, p := range c.links {
		if !c.wants(p) && !(p.keep && c.answers(p)) {
			continue
		}
		wait := pulseEvery
		if p.dead || c.unanswered(p) > awayAfter {
			wait = seedEvery
		}
		if c.now.Sub(p.pulsed) >= wait {
			due = append(due, p)
		}
	}
	c.pulseTo(due...)
	if !c.platformUp {
		c.probe()
	}
	if c.platformUp || c.hearsAnyone() {
		return
	}
	for _, addr := range c.cfg.Seeds {
		if addr == c.cfg.Addr || c.now.Sub(c.seedContacted[addr]) < seedEvery {
			continue
		}
		c.seedContacted[addr] = c.now
		c.emit(cornelwall.Send{
			To: cornelwall.Incarnation{}, Addr: addr, Unordered: true,
			Message: cornelwall.Message{SessionHeartbeat: &cornelwall.SessionHeartbeat{
				Addr: c.cfg.Addr, Weight: c.cfg.Weight, Seq: uint64(c.now.UnixMilli()), PlatformLost: true, NoEndpointList: c.listRev == 0, Version: c.queueConfig.Version,
			}},
		})
	}
}

// probeNextPeer sends a heartbeat to the peer of this data centre that has had none for the
// longest time. Without the platform, only its answer can show that it is alive. At most one goes
// out per tick, however many entries there are.
func (c *Core) probe() {
	var next *peer
	for _, p := range c.peersByID {
		if p.id.DataCentre == c.cfg.Self.DataCentre && !p.dead && (next == nil || p.pulsed.Before(next.pulsed)) {
			next = p
		}
	}
	if next != nil && c.now.Sub(next.pulsed) >= pulseEvery {
		c.pulseTo(next)
	}
}

// sendHeartbeats sends a heartbeat to each of the peers.
func (c *Core) pulseTo(peers ...*peer) {
	if len(peers) == 0 {
		return
	}
	own := c.ownPulse()
	for _, p := range peers {
		c.emit(cornelwall.Send{To: p.id, Addr: p.addr, Unordered: true, Message: cornelwall.Message{SessionHeartbeat: c.nextPulse(own, p)}})
	}
}

// heartbeatFor returns a copy of a heartbeat that is completed for a peer.
func (c *Core) nextPulse(m cornelwall.SessionHeartbeat, p *peer) *cornelwall.SessionHeartbeat {
	if p.number == 0 {
		p.number = uint64(c.now.UnixMilli()) // above that of any heartbeat sent to its address as a seed
	}
	p.number++
	p.sent[p.number%pulsesKept] = c.now
	p.pulsed = c.now
	if p.asked.IsZero() && (c.wants(p) || m.PlatformLost) {
		p.asked = c.now
	}
	m.Seq, m.AckedSeq, m.Session, m.WantHeartbeats = p.number, p.seen, p.session, c.wants(p)
	m.ReplyNow, p.prove = p.prove, false
	if p.ask {
		m.Members = c.members()
	}
	return &m
}

// baseHeartbeat returns a heartbeat with the fields that are the same for all peers.
func (c *Core) ownPulse() cornelwall.SessionHeartbeat {
	return cornelwall.SessionHeartbeat{
		Addr: c.cfg.Addr, Weight: c.cfg.Weight, Leaving: c.isStopping(), Version: c.queueConfig.Version, MaxFence: c.highestFence,
		FreeCapacity: c.freeCapacity(), PlatformLost: !c.platformUp, NoEndpointList: c.listRev == 0, Waiting: c.waitingByQueue(),
	}
}

// members returns this entry and the peers that are alive.
func (c *Core) members() []cornelwall.Member {
	list := []cornelwall.Member{{ID: c.cfg.Self, Addr: c.cfg.Addr, Weight: c.cfg.Weight}}
	for _, p := range c.peersByID {
		if c.alive(p) {
			list = append(list, cornelwall.Member{ID: p.id, Addr: p.addr, Weight: p.weight})
		}
	}
	return list
}

// piggybackHeartbeats puts a heartbeat before the messages that this step sends to a peer. It
// carries proof of reachability and the free capacity. A peer with an open session needs none if
// it was sent one within piggybackInterval; another peer would ignore messages that arrive before
// the first heartbeat.
func (c *Core) addPulses() {
	var heartbeats []cornelwall.Command
	var own cornelwall.SessionHeartbeat
	var added map[*peer]bool
	for _, cmd := range c.commands {
		s, ok := cmd.(cornelwall.Send)
		if !ok || s.Unordered || s.Message.EndpointUpdate != nil {
			continue
		}
		p := c.peers[s.To]
		if p == nil || added[p] || p.open && c.now.Sub(p.pulsed) < rideEvery {
			continue
		}
		if heartbeats == nil {
			own, added = c.ownPulse(), map[*peer]bool{}
		}
		added[p] = true
		heartbeats = append(heartbeats, cornelwall.Send{To: p.id, Addr: p.addr, Message: cornelwall.Message{SessionHeartbeat: c.nextPulse(own, p)}})
	}
	if len(heartbeats) > 0 {
		c.commands = slices.Concat(heartbeats, c.commands)
	}
}
