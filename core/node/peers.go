package node

import (
	"maps"
	"net/netip"
	"slices"

	"cornelwall"
	"cornelwall/core/member"
)

// receive handles an envelope from a peer. Of an envelope for another incarnation of this
// entry it handles only heartbeats, and of one without an epoch also the messages that
// any incarnation may answer.
func (n *Node) receive(e *cornelwall.Envelope) {
	meant := e.To == n.cfg.Self
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.Heartbeat != nil {
			n.receiveHeartbeat(e.From, e.To, m.Heartbeat)
			continue
		}
		if meant || (e.To.Epoch == 0 && m.ForAnyEpoch()) {
			n.handleMessage(e.From, m)
		}
	}
	if !meant && e.To.Epoch != 0 {
		n.send(e.From, cornelwall.Message{WrongIncarnation: &cornelwall.WrongIncarnation{Intended: e.To}})
	}
}

func (n *Node) handleMessage(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.WrongIncarnation != nil:
		n.peerReplaced(from, m.WrongIncarnation.Intended)
	case m.Forward != nil:
		n.serveForward(from, m.Forward)
	case m.ForwardReply != nil:
		n.receiveForwardReply(from, m.ForwardReply)
	case m.LoanRequest != nil, m.Loan != nil, m.TakeOwnership != nil:
		n.placer.Receive(n.now, from, m)
	case m.LoanReturn != nil:
		n.placer.Receive(n.now, from, m)
		if m.LoanReturn.Draining {
			n.noteDraining(m.LoanReturn.Machine)
		}
	case m.Versions != nil:
		n.sendProfiles(from, n.catalog.NewerThan(m.Versions.Have))
	case m.Profiles != nil:
		n.mergeProfiles(m.Profiles.Profiles, from)
	case m.VersionQuery != nil:
		n.answerVersionQuery(from, m.VersionQuery)
	case m.VersionReply != nil:
		n.receiveVersionReply(m.VersionReply)
	case m.Successions != nil:
		n.learnSuccessions(m.Successions.Successions)
	case m.RecordTransfer != nil:
		n.receiveRecords(from, m.RecordTransfer)
	case m.RecordTransferAck != nil:
		n.receiveTransferAck(from, m.RecordTransferAck)
	case m.SuccessorQuery != nil:
		n.answerSuccessorQuery(from, m.SuccessorQuery.Incarnation)
	case m.SuccessorReply != nil:
		n.receiveSuccessorReply(from, m.SuccessorReply)
	}
}

// receiveHeartbeat handles a heartbeat: it updates the peer, and answers with a probe, the
// echo of a probe, the versions of the profiles or a heartbeat as needed.
func (n *Node) receiveHeartbeat(from, to cornelwall.Incarnation, hb *cornelwall.Heartbeat) {
	if hb.Probe != 0 && !from.SameEntry(n.cfg.Self) {
		n.sendHeartbeatTo(from, hb.Addr, cornelwall.Heartbeat{IsReply: true, Echo: hb.Probe})
	}
	var before cornelwall.Incarnation
	var probe uint64
	wasLeaving := false
	if p := n.members.Find(from); p != nil {
		before, wasLeaving, probe = p.Incarnation, p.Leaving, p.Probe
	}
	proven := hb.Echo != 0 && hb.Echo == probe && to == n.cfg.Self
	switch n.members.RecordHeartbeat(n.now, from, hb, proven) {
	case member.NeedsProof:
		n.probeSender(from, hb.Addr)
		return
	case member.Joined:
		n.peerJoined(from, before)
	}
	p := n.members.Find(from)
	if p == nil || p.Incarnation != from {
		return // a heartbeat of an earlier incarnation
	}
	if hb.Leaving != wasLeaving {
		n.reassignMachines()
	}
	n.learnDraining(hb.Draining)
	if hb.ProfilesFresh {
		n.freshAt = n.now
	}
	if hb.Digest != n.catalog.Digest() {
		n.send(from, cornelwall.Message{Versions: &cornelwall.Versions{Have: n.catalog.Versions()}})
	}
	if !hb.IsReply && hb.Probe == 0 && !n.isNeighbour(from) {
		n.sendHeartbeat(p, cornelwall.Heartbeat{IsReply: true})
	}
}

// probeSender asks the sender of a heartbeat with an unknown epoch to echo a number, as
// the heartbeat may be a delayed one of an earlier incarnation.
func (n *Node) probeSender(from cornelwall.Incarnation, addr netip.AddrPort) {
	p := n.members.Find(from)
	if p.Probe == 0 {
		p.Probe = n.newID()
	}
	from.Epoch = 0
	n.sendHeartbeatTo(from, addr, cornelwall.Heartbeat{IsReply: true, Probe: p.Probe})
}

// peerJoined handles the first proven heartbeat of a new incarnation, which replaces the
// incarnation before if there was one.
func (n *Node) peerJoined(id, before cornelwall.Incarnation) {
	n.log("peer-joined", "peer", id)
	if before.Epoch != 0 {
		n.incarnationLost(before)
	}
	if successions := n.archive.AllSuccessions(n.now); len(successions) > 0 {
		n.send(id, cornelwall.Message{Successions: &cornelwall.Successions{Successions: successions}})
	}
	n.reassignMachines()
	n.checkForwards()
}

// isNeighbour reports whether this entry exchanges heartbeats with the incarnation.
func (n *Node) isNeighbour(id cornelwall.Incarnation) bool {
	for _, p := range n.members.Neighbours() {
		if p.Incarnation == id {
			return true
		}
	}
	return false
}

// peerReplaced handles a peer's notice that it received an envelope for its earlier
// incarnation old.
func (n *Node) peerReplaced(from, old cornelwall.Incarnation) {
	if n.members.RecordReplacement(n.now, from, old) {
		n.incarnationLost(old)
	}
	n.checkForwards()
}

// incarnationLost reports to the placer that an incarnation is dead, and reroutes the
// forwards that wait for it.
func (n *Node) incarnationLost(id cornelwall.Incarnation) {
	n.placer.PeerLost(n.now, id)
	n.checkForwards()
}

// heartbeatTick sends heartbeats that are due and does the periodic work.
func (n *Node) heartbeatTick() {
	if n.now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval / 2) // half the interval, so that periodic work is not late
	for _, p := range n.members.Neighbours() {
		n.sendHeartbeatIfDue(p)
	}
	for _, req := range slices.Sorted(maps.Keys(n.forwards)) {
		if p := n.members.Find(n.forwards[req].target); p != nil {
			n.sendHeartbeatIfDue(p)
		}
	}
	n.members.Prune(n.now)
	n.archive.Expire(n.now)
	for _, id := range n.placer.Partners() {
		if n.members.Status(n.now, id) != member.Alive {
			n.placer.PeerLost(n.now, id)
		}
	}
	n.reassignMachines()
	n.placer.Heartbeat(n.now, placerHost{n})
	n.pollUsage()
	n.electWatcher()
	n.checkForwards()
	n.finishStatusQueries()
	n.forgetSuccessorQueries()
	n.forgetRetransmissions()
}

// sendHeartbeatIfDue sends a heartbeat to a peer unless one was sent within the last
// three quarters of the interval.
func (n *Node) sendHeartbeatIfDue(p *member.Peer) {
	if n.now.Sub(p.HeartbeatSentAt) >= n.cfg.HeartbeatInterval*3/4 {
		p.HeartbeatSentAt = n.now
		n.sendHeartbeat(p, cornelwall.Heartbeat{})
	}
}

// sendHeartbeat sends a heartbeat to a peer, if there is one.
func (n *Node) sendHeartbeat(p *member.Peer, hb cornelwall.Heartbeat) {
	if p != nil {
		n.sendHeartbeatTo(p.Incarnation, p.Addr, hb)
	}
}

// sendHeartbeatTo fills in the state of this entry and sends the heartbeat.
func (n *Node) sendHeartbeatTo(to cornelwall.Incarnation, addr netip.AddrPort, hb cornelwall.Heartbeat) {
	if !addr.IsValid() {
		return
	}
	hb.Addr = n.cfg.Addr
	hb.Leaving = n.stopping
	hb.Digest = n.catalog.Digest()
	hb.ProfilesFresh = n.reportsFreshness()
	hb.Watching = n.watching
	hb.Capacity = n.placer.Capacity()
	hb.Draining = n.drainNotices()
	n.emit(cornelwall.Send{To: to, Addr: addr, Message: cornelwall.Message{Heartbeat: &hb}})
}

// undelivered handles an envelope that may not have arrived: its messages are retried
// where they need to be.
func (n *Node) undelivered(e *cornelwall.Envelope) {
	for i := range e.Messages {
		m := e.Messages[i]
		switch {
		case m.LoanRequest != nil, m.Loan != nil, m.LoanReturn != nil, m.TakeOwnership != nil:
			n.placer.Undelivered(n.now, e.To, &m)
		case m.Forward != nil:
			n.forwardUndelivered(e.To, m.Forward.Req)
		case m.ForwardReply != nil:
			n.scheduleRetransmission(e.To, m.ForwardReply)
		case m.RecordTransfer != nil:
			n.partUndelivered(e.To, m.RecordTransfer)
		}
	}
}
