package dispatch

import (
	"time"

	"cornelwall"
)

// pulsed takes a pulse.
func (c *Core) pulsed(from cornelwall.Incarnation, m *cornelwall.Pulse) {
	for _, member := range m.Members {
		c.know(member)
	}
	p := c.know(cornelwall.Member{ID: from, Addr: m.Addr})
	if p == nil || m.Number <= p.seen {
		return // late, and no proof that the peer is alive now
	}
	p.seen, p.heard, p.dead, p.expired = m.Number, c.now, false, false
	p.leaving, p.version, p.ask = m.Leaving, m.Version, m.Ask
	renewed := p.theirSession != m.Session
	p.theirSession, p.waiting = m.Session, m.Waiting
	p.holds, p.lost = set(m.Holds), set(m.Lost)
	c.checkClaims(m.Holds)
	p.view.vacancy = m.Room
	c.fence = max(c.fence, m.Fence)
	if at := p.sent[m.Seen%pulsesKept]; m.Seen > 0 && p.number-m.Seen < pulsesKept && at.After(p.proven) {
		p.proven = at
	}
	p.open = c.now.Sub(p.proven) <= proofLife
	if renewed {
		c.tellRunning(p.id) // word that a run has changed hands may have been too late for it
	}
	if p.version > c.declared.Version {
		c.send(p.id, cornelwall.Message{Declare: &cornelwall.Declare{}})
	}
	if p.number == 0 || p.ask {
		c.pulseTo(p)
	}
	if p.ask && c.now.Sub(p.listTold) > listEvery {
		p.listTold = c.now
		c.send(p.id, cornelwall.Message{Known: &cornelwall.Known{Endpoints: c.known()}})
	}
}

// checkClaims looks at endpoints that a peer claims as well: the fence tells whose they
// are.
func (c *Core) checkClaims(ids []string) {
	for _, id := range ids {
		ep := c.endpoints[id]
		if ep == nil || ep.lease == nil || ep.lease.phase != phaseReady {
			continue
		}
		if l := ep.lease; l.looks == 0 && c.now.Sub(l.lookedAt) > claimEvery {
			c.look(l, 0)
		}
	}
}

func set(ids []string) map[string]bool {
	m := make(map[string]bool, len(ids))
	for _, id := range ids {
		m[id] = true
	}
	return m
}

// pulse sends the pulses that are due.
func (c *Core) pulse() {
	every := max(pulseEvery, time.Duration(len(c.peers))*pulsePerPeer)
	var due []*peer
	for _, p := range c.byID {
		wait := every
		if p.dead || !p.heard.IsZero() && c.now.Sub(p.heard) > awayAfter {
			wait = seedEvery
		}
		if c.now.Sub(p.pulsed) >= wait {
			due = append(due, p)
		}
	}
	c.pulseTo(due...)
	if c.platform || c.hearsAnyone() {
		return
	}
	for _, addr := range c.cfg.Seeds {
		if addr == c.cfg.Addr || c.now.Sub(c.seeds[addr]) < seedEvery {
			continue
		}
		c.seeds[addr] = c.now
		c.emit(cornelwall.Send{
			To: cornelwall.Incarnation{}, Addr: addr,
			Message: cornelwall.Message{Pulse: &cornelwall.Pulse{Addr: c.cfg.Addr, Number: uint64(c.now.UnixMilli()), Ask: true, Version: c.declared.Version}},
		})
	}
}

// pulseTo sends a pulse to each of the peers.
func (c *Core) pulseTo(peers ...*peer) {
	if len(peers) == 0 {
		return
	}
	own := c.ownPulse()
	for _, p := range peers {
		if p.number == 0 {
			p.number = uint64(c.now.UnixMilli()) // above that of any pulse to the address as a seed
		}
		p.number++
		p.sent[p.number%pulsesKept] = c.now
		p.pulsed = c.now
		m := own
		m.Number, m.Seen, m.Session = p.number, p.seen, p.session
		if p.ask {
			m.Members = c.members()
		}
		c.emit(cornelwall.Send{To: p.id, Addr: p.addr, Message: cornelwall.Message{Pulse: &m}})
	}
}

// ownPulse returns what pulses say alike to all peers.
func (c *Core) ownPulse() cornelwall.Pulse {
	m := cornelwall.Pulse{
		Addr: c.cfg.Addr, Leaving: c.leaving(), Version: c.declared.Version, Fence: c.fence,
		Room: c.vacancy(), Ask: !c.platform, Waiting: c.waitingByQueue(),
	}
	for _, ep := range c.byName {
		if ep.lease != nil {
			m.Holds = append(m.Holds, ep.ID)
		}
		if c.now.Before(ep.lostUntil) {
			m.Lost = append(m.Lost, ep.ID)
		}
	}
	return m
}

func (c *Core) members() []cornelwall.Member {
	list := []cornelwall.Member{{ID: c.cfg.Self, Addr: c.cfg.Addr}}
	for _, p := range c.byID {
		if c.alive(p) {
			list = append(list, cornelwall.Member{ID: p.id, Addr: p.addr})
		}
	}
	return list
}

// tellRoom adds word of room to what is sent to peers anyway.
func (c *Core) tellRoom() {
	var room *cornelwall.Vacancy
	for _, cmd := range c.out {
		s, ok := cmd.(cornelwall.Send)
		if !ok || s.Message.Pulse != nil {
			continue
		}
		p := c.peers[s.To]
		if p == nil || c.now.Sub(p.roomTold) < roomEvery {
			continue
		}
		p.roomTold = c.now
		if room == nil {
			v := c.vacancy()
			room = &v
		}
		c.emit(cornelwall.Send{To: p.id, Addr: p.addr, Message: cornelwall.Message{Room: room}})
	}
}
