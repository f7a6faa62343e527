package node

import (
	"maps"
	"net/netip"
	"slices"

	"cornelwall"
	"cornelwall/core/member"
)

// receive takes an envelope from a peer.
func (n *Node) receive(e *cornelwall.Envelope) {
	meant := e.To == n.cfg.Self
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.Heartbeat != nil {
			n.heard(e.From, e.To, m.Heartbeat)
			continue
		}
		if meant || (e.To.Epoch == 0 && m.ForAnyEpoch()) {
			n.handle(e.From, m)
		}
	}
	if !meant && e.To.Epoch != 0 {
		n.send(e.From, cornelwall.Message{WrongIncarnation: &cornelwall.WrongIncarnation{Intended: e.To}})
	}
}

func (n *Node) handle(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.WrongIncarnation != nil:
		n.replaced(from, m.WrongIncarnation.Intended)
	case m.Forward != nil:
		n.serveForward(from, m.Forward)
	case m.ForwardReply != nil:
		n.back(from, m.ForwardReply)
	case m.LoanRequest != nil, m.Loan != nil, m.TakeOwnership != nil:
		n.placer.Receive(n.now, from, m)
	case m.LoanReturn != nil:
		n.placer.Receive(n.now, from, m)
		if m.LoanReturn.Draining {
			n.drain(m.LoanReturn.Machine)
		}
	case m.Versions != nil:
		n.sendProfiles(from, n.catalog.NewerThan(m.Versions.Have))
	case m.Profiles != nil:
		n.merge(m.Profiles.Profiles, from)
	case m.VersionQuery != nil:
		n.told(from, m.VersionQuery)
	case m.VersionReply != nil:
		n.collect(m.VersionReply)
	case m.Successions != nil:
		n.learn(m.Successions.Successions)
	case m.RecordTransfer != nil:
		n.inherit(from, m.RecordTransfer)
	case m.RecordTransferAck != nil:
		n.confirmed(from, m.RecordTransferAck)
	case m.SuccessorQuery != nil:
		n.sought(from, m.SuccessorQuery.Incarnation)
	case m.SuccessorReply != nil:
		n.foundOut(from, m.SuccessorReply)
	}
}

// heard takes a heartbeat.
func (n *Node) heard(from, to cornelwall.Incarnation, b *cornelwall.Heartbeat) {
	if b.Probe != 0 && !from.SameEntry(n.cfg.Self) {
		n.beatTo(from, b.Addr, cornelwall.Heartbeat{IsReply: true, Echo: b.Probe})
	}
	var before cornelwall.Incarnation
	var probe uint64
	wasLeaving := false
	if p := n.members.Find(from); p != nil {
		before, wasLeaving, probe = p.Incarnation, p.Leaving, p.Probe
	}
	proven := b.Echo != 0 && b.Echo == probe && to == n.cfg.Self
	switch n.members.Heard(n.now, from, b, proven) {
	case member.Unproven:
		n.probe(from, b.Addr)
		return
	case member.Joined:
		n.joined(from, before)
	}
	p := n.members.Find(from)
	if p == nil || p.Incarnation != from {
		return // an old life
	}
	if b.Leaving != wasLeaving {
		n.rehome()
	}
	if b.ProfilesFresh {
		n.freshAt = n.now
	}
	if b.Digest != n.catalog.Digest() {
		n.send(from, cornelwall.Message{Versions: &cornelwall.Versions{Have: n.catalog.Versions()}})
	}
	if !b.IsReply && b.Probe == 0 && !n.isNear(from) {
		n.sendBeat(p, cornelwall.Heartbeat{IsReply: true})
	}
}

// probe asks a sender that claims another life than the one known to echo a number, as
// its heartbeat may be an old one.
func (n *Node) probe(from cornelwall.Incarnation, addr netip.AddrPort) {
	p := n.members.Find(from)
	if p.Probe == 0 {
		p.Probe = n.id()
	}
	from.Epoch = 0
	n.beatTo(from, addr, cornelwall.Heartbeat{IsReply: true, Probe: p.Probe})
}

// joined takes in a new incarnation in place of the one before, if there was one.
func (n *Node) joined(id, before cornelwall.Incarnation) {
	n.log("peer-joined", "peer", id)
	if before.Epoch != 0 {
		n.lost(before)
	}
	if hs := n.heirs.Known(n.now); len(hs) > 0 {
		n.send(id, cornelwall.Message{Successions: &cornelwall.Successions{Successions: hs}})
	}
	n.rehome()
	n.checkForwards()
}

func (n *Node) isNear(id cornelwall.Incarnation) bool {
	for _, p := range n.members.Near() {
		if p.Incarnation == id {
			return true
		}
	}
	return false
}

// replaced takes the word of a peer that an envelope for another life came to it.
func (n *Node) replaced(from, old cornelwall.Incarnation) {
	if n.members.Replaced(n.now, from, old) {
		n.lost(old)
	}
	n.checkForwards()
}

// lost takes back what an incarnation held and steers again what waited for it.
func (n *Node) lost(id cornelwall.Incarnation) {
	n.placer.PeerLost(n.now, id)
	n.checkForwards()
}

// beat sends heartbeats when they are due and looks after what depends on them.
func (n *Node) beat() {
	if n.now.Before(n.nextBeat) {
		return
	}
	n.nextBeat = n.now.Add(n.cfg.Beat / 2) // half, so that what depends on it is not late
	for _, p := range n.members.Near() {
		n.beatInTurn(p)
	}
	for _, req := range slices.Sorted(maps.Keys(n.forwards)) {
		if p := n.members.Find(n.forwards[req].to); p != nil {
			n.beatInTurn(p)
		}
	}
	n.members.Forget(n.now)
	n.heirs.Forget(n.now)
	for _, id := range n.placer.Partners() {
		if n.members.Status(n.now, id) != member.Alive {
			n.placer.PeerLost(n.now, id)
		}
	}
	n.rehome()
	n.placer.Heartbeat(n.now, demand{n})
	n.pollUsage()
	n.electWatcher()
	n.checkForwards()
	n.endInspects()
	n.forgetSeeks()
	n.forgetResends()
}

// beatInTurn sends a heartbeat to a peer that has had none for about the time between two.
func (n *Node) beatInTurn(p *member.Peer) {
	if n.now.Sub(p.Beaten) >= n.cfg.Beat*3/4 {
		p.Beaten = n.now
		n.sendBeat(p, cornelwall.Heartbeat{})
	}
}

// sendBeat sends a heartbeat to a peer.
func (n *Node) sendBeat(p *member.Peer, b cornelwall.Heartbeat) {
	if p != nil {
		n.beatTo(p.Incarnation, p.Addr, b)
	}
}

// beatTo fills in a heartbeat and sends it.
func (n *Node) beatTo(to cornelwall.Incarnation, addr netip.AddrPort, b cornelwall.Heartbeat) {
	if !addr.IsValid() {
		return
	}
	b.Addr = n.cfg.Addr
	b.Leaving = n.leaving
	b.Digest = n.catalog.Digest()
	b.ProfilesFresh = n.passesOn()
	b.Watching = n.watching
	b.Capacity = n.placer.Capacity()
	n.emit(cornelwall.Send{To: to, Addr: addr, Message: cornelwall.Message{Heartbeat: &b}})
}

// undelivered looks after messages that may not have arrived.
func (n *Node) undelivered(e *cornelwall.Envelope) {
	for i := range e.Messages {
		m := e.Messages[i]
		switch {
		case m.LoanRequest != nil, m.Loan != nil, m.LoanReturn != nil, m.TakeOwnership != nil:
			n.placer.Undelivered(n.now, e.To, &m)
		case m.Forward != nil:
			n.forwardLost(e.To, m.Forward.Req)
		case m.ForwardReply != nil:
			n.resendLater(e.To, m.ForwardReply)
		case m.RecordTransfer != nil:
			n.partLost(e.To, m.RecordTransfer)
		}
	}
}
