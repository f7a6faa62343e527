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
		if m.Beat != nil {
			n.heard(e.From, e.To, m.Beat)
			continue
		}
		if meant || (e.To.Life == 0 && m.ForAnyLife()) {
			n.handle(e.From, m)
		}
	}
	if !meant && e.To.Life != 0 {
		n.send(e.From, cornelwall.Message{Wrong: &cornelwall.Wrong{Meant: e.To}})
	}
}

func (n *Node) handle(from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.Wrong != nil:
		n.replaced(from, m.Wrong.Meant)
	case m.Forward != nil:
		n.serveForward(from, m.Forward)
	case m.Back != nil:
		n.back(from, m.Back)
	case m.Want != nil, m.Loan != nil, m.Adopt != nil:
		n.placer.Receive(n.now, from, m)
	case m.Return != nil:
		n.placer.Receive(n.now, from, m)
		if m.Return.Draining {
			n.drain(m.Return.Machine)
		}
	case m.Versions != nil:
		n.sendProfiles(from, n.catalog.NewerThan(m.Versions.Have))
	case m.Catalog != nil:
		n.merge(m.Catalog.Profiles, from)
	case m.Ask != nil:
		n.told(from, m.Ask)
	case m.Told != nil:
		n.collect(m.Told)
	case m.Heirs != nil:
		n.learn(m.Heirs.Heirs)
	case m.Inherit != nil:
		n.inherit(from, m.Inherit)
	case m.Inherited != nil:
		n.confirmed(from, m.Inherited)
	case m.Seek != nil:
		n.sought(from, m.Seek.Of)
	case m.Sought != nil:
		n.foundOut(from, m.Sought)
	}
}

// heard takes a heartbeat.
func (n *Node) heard(from, to cornelwall.Incarnation, b *cornelwall.Beat) {
	if b.Probe != 0 && !from.SameEntry(n.cfg.Self) {
		n.beatTo(from, b.Addr, cornelwall.Beat{Answer: true, Echo: b.Probe})
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
	if b.Fresh {
		n.freshAt = n.now
	}
	if b.Digest != n.catalog.Digest() {
		n.send(from, cornelwall.Message{Versions: &cornelwall.Versions{Have: n.catalog.Versions()}})
	}
	if !b.Answer && b.Probe == 0 && !n.isNear(from) {
		n.sendBeat(p, cornelwall.Beat{Answer: true})
	}
}

// probe asks a sender that claims another life than the one known to echo a number, as
// its heartbeat may be an old one.
func (n *Node) probe(from cornelwall.Incarnation, addr netip.AddrPort) {
	p := n.members.Find(from)
	if p.Probe == 0 {
		p.Probe = n.id()
	}
	from.Life = 0
	n.beatTo(from, addr, cornelwall.Beat{Answer: true, Probe: p.Probe})
}

// joined takes in a new incarnation in place of the one before, if there was one.
func (n *Node) joined(id, before cornelwall.Incarnation) {
	n.log("peer-joined", "peer", id)
	if before.Life != 0 {
		n.lost(before)
	}
	if hs := n.heirs.Known(n.now); len(hs) > 0 {
		n.send(id, cornelwall.Message{Heirs: &cornelwall.Heirs{Heirs: hs}})
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
	n.placer.Lost(n.now, id)
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
			n.placer.Lost(n.now, id)
		}
	}
	n.rehome()
	n.placer.Beat(n.now, demand{n})
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
		n.sendBeat(p, cornelwall.Beat{})
	}
}

// sendBeat sends a heartbeat to a peer.
func (n *Node) sendBeat(p *member.Peer, b cornelwall.Beat) {
	if p != nil {
		n.beatTo(p.Incarnation, p.Addr, b)
	}
}

// beatTo fills in a heartbeat and sends it.
func (n *Node) beatTo(to cornelwall.Incarnation, addr netip.AddrPort, b cornelwall.Beat) {
	if !addr.IsValid() {
		return
	}
	b.Addr = n.cfg.Addr
	b.Leaving = n.leaving
	b.Digest = n.catalog.Digest()
	b.Fresh = n.passesOn()
	b.Watcher = n.watching
	b.Room = n.placer.Room()
	n.emit(cornelwall.Send{To: to, Addr: addr, Message: cornelwall.Message{Beat: &b}})
}

// undelivered looks after messages that may not have arrived.
func (n *Node) undelivered(e *cornelwall.Envelope) {
	for i := range e.Messages {
		m := e.Messages[i]
		switch {
		case m.Want != nil, m.Loan != nil, m.Return != nil, m.Adopt != nil:
			n.placer.Undelivered(n.now, e.To, &m)
		case m.Forward != nil:
			n.forwardLost(e.To, m.Forward.Req)
		case m.Back != nil:
			n.resendLater(e.To, m.Back)
		case m.Inherit != nil:
			n.partLost(e.To, m.Inherit)
		}
	}
}
