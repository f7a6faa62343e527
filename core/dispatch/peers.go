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

// receive takes an envelope of another entry.
func (c *Core) receive(e cornelwall.Envelope) {
	if e.To.Life != 0 && e.To != c.cfg.Self {
		return // meant for an earlier life, which did what it did
	}
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.Pulse != nil {
			c.pulsed(e.From, m.Pulse)
			continue
		}
		if c.peers[e.From] != nil {
			c.message(e.From, m)
		}
	}
}

// message takes one message that is no pulse.
func (c *Core) message(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.Room != nil:
		c.peers[from].view.vacancy = *m.Room
	case m.Assign != nil:
		c.assigned(from, m.Assign)
	case m.Boost != nil:
		c.boost(m.Boost)
	case m.Withdraw != nil:
		c.withdraw(from, m.Withdraw)
	case m.Over != nil:
		for i := range m.Over.Runs {
			c.over(&m.Over.Runs[i])
		}
	case m.Began != nil:
		c.began(from, m.Began)
	case m.Taken != nil:
		c.taken(from, m.Taken)
	case m.Handover != nil:
		c.adopt(from, m.Handover)
	case m.Decline != nil:
		c.declined(from, m.Decline.Endpoint)
	case m.Known != nil:
		c.addEndpoints(m.Known.Endpoints)
	case m.Declare != nil && m.Declare.Declaration != nil:
		c.declare(m.Declare.Declaration)
	case m.Declare != nil:
		if c.declared.Version != 0 {
			c.send(from, cornelwall.Message{Declare: &cornelwall.Declare{Declaration: &c.declared}})
		}
	case m.Revoke != nil:
		c.revoke(m.Revoke.ID)
	}
}

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

// undelivered takes back what may not have arrived. Tasks are withdrawn. What the other
// side waits for is sent again, as it does no harm twice; the rest is lost.
func (c *Core) undelivered(ev cornelwall.Undelivered) {
	p := c.peers[ev.Envelope.To]
	if p == nil {
		return
	}
	if ev.Refused {
		c.died(p, "refused")
	}
	for _, m := range ev.Envelope.Messages {
		switch {
		case m.Assign != nil && ev.Refused:
			for i := range m.Assign.Tasks {
				c.over(&cornelwall.OverRun{RunID: m.Assign.Tasks[i].RunID, How: cornelwall.RunUnstarted})
			}
		case m.Assign != nil:
			runs := make([]cornelwall.RunID, 0, len(m.Assign.Tasks))
			for i := range m.Assign.Tasks {
				runs = append(runs, m.Assign.Tasks[i].RunID)
			}
			p.resend = append(p.resend, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: runs}})
		case m.Withdraw != nil || m.Over != nil || m.Began != nil || m.Taken != nil || m.Handover != nil:
			p.resend = append(p.resend, m)
		}
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

// tellRunning tells an owner of all its runs here.
func (c *Core) tellRunning(owner cornelwall.Incarnation) {
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == owner && r.state == runRunning }) {
		c.runBegan(r)
	}
}

// stopUnproven stops the runs of owners that have not proved for long that they hear this
// entry: they may have given them up.
func (c *Core) stopUnproven() {
	for _, r := range runsThat(c.runs, func(r *run) bool {
		return r.owner != c.cfg.Self && r.state != runStopping && c.now.Sub(c.lastProof(r)) > proofLife
	}) {
		c.log("owner-unproven", "task", r.id.Task, "run", r.id.Run, "owner", r.owner, "age", c.now.Sub(c.lastProof(r)))
		c.withdrawRun(r, false)
	}
}

// lastProof returns when the owner of a run last proved that it hears this entry. The
// order to run it is such a proof.
func (c *Core) lastProof(r *run) time.Time {
	if p := c.peers[r.owner]; p != nil && !p.dead && p.proven.After(r.came) {
		return p.proven
	}
	return r.came
}

// closeSession stops all that runs for an owner. What it sent before starts nothing more.
func (c *Core) closeSession(p *peer) {
	p.open = false
	p.session++
	for _, r := range runsThat(c.runs, func(r *run) bool { return r.owner == p.id }) {
		c.withdrawRun(r, false)
	}
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
