package dispatch

import (
	"slices"
	"time"

	"cornelwall"
)

const (
	heartbeatInterval = 100 * time.Millisecond // between two heartbeats to a peer
	piggybackInterval = 10 * time.Millisecond  // between two heartbeats to a peer that precede other messages
	replyInterval     = 20 * time.Millisecond  // between two heartbeats to a peer in reply
	membersInterval   = 500 * time.Millisecond // between two lists of the members to a peer without a list of endpoints

	remoteProbeInterval = 4 // one of so many probes without the platform goes to another data centre
)

// handleHeartbeat processes a heartbeat of another entry.
func (c *Core) handleHeartbeat(from cornelwall.Incarnation, m *cornelwall.SessionHeartbeat) {
	for _, member := range m.Members {
		c.getOrAddPeer(member, false)
	}
	p := c.getOrAddPeer(cornelwall.Member{ID: from, Addr: m.Addr, Weight: m.Weight}, false)
	if p == nil {
		return
	}
	if m.IsToSeed() {
		c.answerSeedHeartbeat(p, m)
		return
	}
	if m.Seq <= p.receivedSeq {
		return // delayed, and so no proof that the peer is alive now
	}
	if m.WantHeartbeats {
		c.addLink(p)
	}
	c.expireProof(p)
	first, wasOpen := p.sentSeq == 0, p.sessionOpen
	p.receivedSeq, p.heardAt, p.unansweredSince, p.dead, p.runsExpired = m.Seq, c.now, time.Time{}, false, false
	p.leaving, p.noEndpointList, p.platformLost, p.wantsHeartbeats = m.Leaving, m.NoEndpointList, m.PlatformLost, m.WantHeartbeats
	c.noteStopping(p, m)
	newSession := p.theirSession != m.Session
	p.theirSession, p.waitingJobs, p.slowdown = m.Session, m.Waiting, m.Slowdown
	p.view.Capacity = m.FreeCapacity
	c.handleLoadReport(p, m.Load)
	c.highestFence = max(c.highestFence, m.MaxFence)
	if at, ok := p.sentTime(m.AckedSeq); ok && at.After(p.provenAt) {
		p.provenAt = at
		p.roundTrips.RecordBound(c.now.Sub(at))
	}
	p.sessionOpen = c.now.Sub(p.provenAt) <= proofTTL
	if len(m.Withdrawn) > 0 {
		c.handleWithdraw(p.id, &cornelwall.Withdraw{Runs: m.Withdrawn})
	}
	if newSession || p.sessionOpen && !wasOpen {
		c.reportRunning(p.id) // the report that this entry has taken over a run may have reached it too late
	}
	if p.sessionOpen && !wasOpen {
		c.sendCrashes(p)
	}
	c.noteVersion(p, m.Version)
	c.noteEvacuations(p, m)
	if first || m.ReplyNow || c.needsReply(p, wasOpen) {
		c.sendHeartbeats(p)
	}
	if m.SendList {
		c.sendFullList(p)
	}
}

// needsReply reports whether a heartbeat of a peer is answered at once: the peer needs a reply as proof
// that its messages arrive, or to learn what other entries there are.
func (c *Core) needsReply(p *peer, wasOpen bool) bool {
	if !(p.wantsHeartbeats && (!wasOpen || !p.sessionOpen) || p.platformLost || p.noEndpointList) {
		return false
	}
	return p.sessionOpen && !wasOpen || c.now.Sub(p.heartbeatAt) >= replyInterval
}

// answerSeedHeartbeat answers a heartbeat that went to the address of this entry as a seed. It is none of
// the numbered ones between the two entries, and proves nothing; the reply asks for one that does,
// which may also ask for the list of endpoints.
func (c *Core) answerSeedHeartbeat(p *peer, m *cornelwall.SessionHeartbeat) {
	p.noEndpointList, p.platformLost = m.NoEndpointList, m.PlatformLost
	c.noteVersion(p, m.Version)
	p.replyNow = true
	c.sendHeartbeats(p)
}

// sentTime returns when a heartbeat was sent to the peer, if that is still known.
func (p *peer) sentTime(seq uint64) (at time.Time, ok bool) {
	return p.sentAt[seq%heartbeatWindow], seq > 0 && p.sentSeq-seq < heartbeatWindow
}

// isInformed reports whether this entry knows the queues and the endpoints. It may have been
// started while the platform was down, and so may the peers that it hears.
func (c *Core) isInformed() bool { return c.queueConfig.Version != 0 && c.listRev != 0 }

// sendDueHeartbeats sends the heartbeats that are due. While the platform does not answer, they also
// go to the seeds, unless a peer answers and this entry knows what it needs to serve callers.
func (c *Core) sendDueHeartbeats() {
	var due []*peer
	for _, p := range c.links {
		if !c.wantsLink(p) && !(p.wantsHeartbeats && c.isResponsive(p)) {
			continue
		}
		wait := heartbeatInterval
		if p.dead || c.unansweredFor(p) > deadTimeout {
			wait = seedInterval
		}
		if c.now.Sub(p.heartbeatAt) >= wait {
			due = append(due, p)
		}
	}
	c.sendHeartbeats(due...)
	if !c.platformUp {
		c.probeNextPeer()
	}
	if c.platformUp || c.hearsAnyPeer() && c.isInformed() {
		return
	}
	for _, addr := range c.cfg.Seeds {
		if addr == c.cfg.Addr || c.now.Sub(c.seedContacted[addr]) < seedInterval {
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

// probeNextPeer sends a heartbeat to the peer of this data centre that was sent none for the
// longest time. Without the platform, only its answer can show that it is alive. At most one goes
// out per tick, however many entries there are. Some go to other data centres: all entries of this
// one may have lost the platform, and know nothing newer.
func (c *Core) probeNextPeer() {
	c.probes++
	remote := c.probes%remoteProbeInterval == 0
	var next *peer
	for _, p := range c.peersByID {
		if (p.id.DataCentre != c.cfg.Self.DataCentre) == remote && !p.dead && (next == nil || p.heartbeatAt.Before(next.heartbeatAt)) {
			next = p
		}
	}
	if next != nil && c.now.Sub(next.heartbeatAt) >= heartbeatInterval {
		c.sendHeartbeats(next)
	}
}

// sendHeartbeats sends a heartbeat to each of the peers.
func (c *Core) sendHeartbeats(peers ...*peer) {
	if len(peers) == 0 {
		return
	}
	own := c.baseHeartbeat()
	for _, p := range peers {
		c.emit(cornelwall.Send{To: p.id, Addr: p.addr, Unordered: true, Message: cornelwall.Message{SessionHeartbeat: c.nextHeartbeat(own, p)}})
	}
}

// nextHeartbeat returns a copy of a heartbeat, completed for a peer, and records it as sent.
func (c *Core) nextHeartbeat(m cornelwall.SessionHeartbeat, p *peer) *cornelwall.SessionHeartbeat {
	if p.sentSeq == 0 {
		p.sentSeq = uint64(c.now.UnixMilli()) // above that of any heartbeat sent to its address as a seed
	}
	p.sentSeq++
	p.sentAt[p.sentSeq%heartbeatWindow] = c.now
	p.heartbeatAt = c.now
	if p.unansweredSince.IsZero() && (c.wantsLink(p) || m.PlatformLost) {
		p.unansweredSince = c.now
	}
	m.Seq, m.AckedSeq, m.Session, m.WantHeartbeats = p.sentSeq, p.receivedSeq, p.session, c.wantsLink(p)
	m.ReplyNow, p.replyNow = p.replyNow, false
	withdrawn, complete := c.pendingEnds.unconfirmed(p.id, c.now)
	if m.Withdrawn = withdrawn; !complete {
		m.AckedSeq = 0 // no proof for runs whose withdrawal the peer may not know
	}
	if p.noEndpointList && c.now.Sub(p.membersSentAt) >= membersInterval {
		p.membersSentAt = c.now
		m.Members = c.aliveMembers()
	}
	m.SendList = c.takeListRequest(p)
	m.Load = c.takeLoadReport(p)
	return &m
}

// baseHeartbeat returns a heartbeat with the fields that are the same for all peers.
func (c *Core) baseHeartbeat() cornelwall.SessionHeartbeat {
	return cornelwall.SessionHeartbeat{
		Addr: c.cfg.Addr, Weight: c.cfg.Weight, Leaving: c.isStopping(), Version: c.queueConfig.Version, MaxFence: c.highestFence,
		FreeCapacity: c.freeCapacity(), PlatformLost: !c.platformUp, NoEndpointList: c.listRev == 0, Waiting: c.waitingByQueue(), Slowdown: c.medianSlowdown,
		Evacuations: c.evacuations.list, EvacuationsAsOf: c.evacuations.completeAsOf, EvacuationsDoubted: c.doubtsEvacuations(),
		KeepsCancellations: c.isStopping() && c.keepsCancellations(),
	}
}

// aliveMembers returns this entry and the peers that are alive.
func (c *Core) aliveMembers() []cornelwall.Member {
	list := []cornelwall.Member{{ID: c.cfg.Self, Addr: c.cfg.Addr, Weight: c.cfg.Weight, KeepsCancellations: c.keepsCancellations(), RecordsOwners: true}}
	for _, p := range c.peersByID {
		if c.isAlive(p) {
			list = append(list, cornelwall.Member{ID: p.id, Addr: p.addr, Weight: p.weight, KeepsCancellations: p.cancels.keeps, RecordsOwners: p.recordsOwners})
		}
	}
	return list
}

// piggybackHeartbeats puts a heartbeat before the messages that this step sends to a peer. It
// carries proof of reachability and the free capacity. A peer with an open session needs none if
// it was sent one within piggybackInterval; another peer would ignore messages that arrive before
// the first heartbeat.
func (c *Core) piggybackHeartbeats() {
	var heartbeats []cornelwall.Command
	var own cornelwall.SessionHeartbeat
	var added map[*peer]bool
	for _, cmd := range c.commands {
		s, ok := cmd.(cornelwall.Send)
		if !ok || s.Unordered || s.Bulk || s.Message.EndpointUpdate != nil {
			continue
		}
		p := c.peers[s.To]
		if p == nil || added[p] || needsNoHeartbeat(p, &s.Message) || p.sessionOpen && c.now.Sub(p.heartbeatAt) < piggybackInterval {
			continue
		}
		if heartbeats == nil {
			own, added = c.baseHeartbeat(), map[*peer]bool{}
		}
		added[p] = true
		heartbeats = append(heartbeats, cornelwall.Send{To: p.id, Addr: p.addr, Message: cornelwall.Message{SessionHeartbeat: c.nextHeartbeat(own, p)}})
	}
	if len(heartbeats) > 0 {
		c.commands = slices.Concat(heartbeats, c.commands)
	}
}

// needsNoHeartbeat reports whether a message to a peer needs no heartbeat before it: an answer, or a message that is repeated with a
// heartbeat if the peer does not know this entry.
func needsNoHeartbeat(p *peer, m *cornelwall.Message) bool {
	switch {
	case m.CancellationsKept != nil, m.OwnershipReplies != nil:
		return true
	case m.Cancellations != nil:
		return p.cancels.repeats == 0
	case m.OwnershipClaims != nil:
		return p.witnessMissedAt.IsZero()
	}
	return false
}
