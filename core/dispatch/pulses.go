package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	pulseEvery = 100 * time.Millisecond
	rideEvery  = 10 * time.Millisecond // between two pulses that go along with other messages
	replyEvery = 20 * time.Millisecond // between two pulses in reply
)

// pulsed takes a pulse.
func (c *Core) pulsed(from cornelwall.Incarnation, m *cornelwall.SessionHeartbeat) {
	for _, member := range m.Members {
		c.know(member, false)
	}
	p := c.know(cornelwall.Member{ID: from, Addr: m.Addr, Weight: m.Weight}, false)
	if p == nil || m.Seq <= p.seen {
		return // late, and no proof that the peer is alive now
	}
	if m.WantHeartbeats {
		c.addLink(p)
	}
	c.checkProof(p)
	first, wasOpen := p.number == 0, p.open
	p.seen, p.heard, p.asked, p.dead, p.expired = m.Seq, c.now, time.Time{}, false, false
	p.leaving, p.version, p.ask, p.alone, p.keep = m.Leaving, m.Version, m.NoEndpointList, m.PlatformLost, m.WantHeartbeats
	renewed := p.theirSession != m.Session
	p.theirSession, p.waiting = m.Session, m.Waiting
	p.view.freeCapacity = m.FreeCapacity
	c.highestFence = max(c.highestFence, m.MaxFence)
	if at := p.sent[m.AckedSeq%pulsesKept]; m.AckedSeq > 0 && p.number-m.AckedSeq < pulsesKept && at.After(p.proven) {
		p.proven = at
	}
	p.open = c.now.Sub(p.proven) <= proofLife
	if renewed || p.open && !wasOpen {
		c.tellRunning(p.id) // word that a run has changed hands may have been too late for it
	}
	c.catchUp(p.id, p.version)
	unsure := p.keep && (!wasOpen || !p.open) || p.alone // it needs a pulse to know that its word arrives
	if first || p.ask || m.ReplyNow || unsure && (p.open && !wasOpen || c.now.Sub(p.pulsed) >= replyEvery) {
		c.pulseTo(p)
	}
	if p.ask {
		c.tellAll(p)
	}
}

// catchUp asks an entry for its declaration if it has a newer one.
func (c *Core) catchUp(from cornelwall.Incarnation, version uint64) {
	if version > c.queueConfig.Version {
		c.send(from, cornelwall.Message{QueueConfigSync: &cornelwall.QueueConfigSync{}})
	}
}

// pulse sends the pulses that are due.
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

// probe sends a pulse to the entry of this data centre that has waited longest for one.
// Without the platform, only its answer can tell that it is alive. One goes out each tick,
// however many entries there are.
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

// pulseTo sends a pulse to each of the peers.
func (c *Core) pulseTo(peers ...*peer) {
	if len(peers) == 0 {
		return
	}
	own := c.ownPulse()
	for _, p := range peers {
		c.emit(cornelwall.Send{To: p.id, Addr: p.addr, Unordered: true, Message: cornelwall.Message{SessionHeartbeat: c.nextPulse(own, p)}})
	}
}

// nextPulse completes a pulse for a peer.
func (c *Core) nextPulse(m cornelwall.SessionHeartbeat, p *peer) *cornelwall.SessionHeartbeat {
	if p.number == 0 {
		p.number = uint64(c.now.UnixMilli()) // above that of any pulse to the address as a seed
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

// ownPulse returns what pulses say alike to all peers.
func (c *Core) ownPulse() cornelwall.SessionHeartbeat {
	return cornelwall.SessionHeartbeat{
		Addr: c.cfg.Addr, Weight: c.cfg.Weight, Leaving: c.isStopping(), Version: c.queueConfig.Version, MaxFence: c.highestFence,
		FreeCapacity: c.freeCapacity(), PlatformLost: !c.platformUp, NoEndpointList: c.listRev == 0, Waiting: c.waitingByQueue(),
	}
}

func (c *Core) members() []cornelwall.Member {
	list := []cornelwall.Member{{ID: c.cfg.Self, Addr: c.cfg.Addr, Weight: c.cfg.Weight}}
	for _, p := range c.peersByID {
		if c.alive(p) {
			list = append(list, cornelwall.Member{ID: p.id, Addr: p.addr, Weight: p.weight})
		}
	}
	return list
}

// addPulses puts a pulse before what is sent to a peer in this step: it carries proof and
// word of room. A peer that knows this entry needs none if it has had one just now; another
// would not take what comes before the first pulse.
func (c *Core) addPulses() {
	var pulses []cornelwall.Command
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
		if pulses == nil {
			own, added = c.ownPulse(), map[*peer]bool{}
		}
		added[p] = true
		pulses = append(pulses, cornelwall.Send{To: p.id, Addr: p.addr, Message: cornelwall.Message{SessionHeartbeat: c.nextPulse(own, p)}})
	}
	if len(pulses) > 0 {
		c.commands = slices.Concat(pulses, c.commands)
	}
}
