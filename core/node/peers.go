package node

import (
	"cornelwall"
	"cornelwall/core/member"
)

// receive takes an envelope from a peer.
func (n *Node) receive(e *cornelwall.Envelope) {
	meant := e.To == n.cfg.Self
	for i := range e.Messages {
		m := &e.Messages[i]
		if m.Beat != nil {
			n.heard(e.From, m.Beat)
			continue
		}
		if meant {
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
		n.replaced(m.Wrong.Meant)
	case m.Forward != nil:
		n.serveForward(from, m.Forward)
	case m.Back != nil:
		n.back(m.Back)
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
	}
}

// heard takes a heartbeat.
func (n *Node) heard(from cornelwall.Incarnation, b *cornelwall.Beat) {
	p := n.members.Find(from)
	var before cornelwall.Incarnation
	wasLeaving := false
	if p != nil {
		before, wasLeaving = p.Incarnation, p.Leaving
	}
	if n.members.Heard(n.now, from, b) {
		if before.Life != 0 {
			n.lost(before)
		}
		n.log("peer-joined", "peer", from)
		if hs := n.heirs.Known(); len(hs) > 0 {
			n.send(from, cornelwall.Message{Heirs: &cornelwall.Heirs{Heirs: hs}})
		}
		n.rehome()
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
	if !b.Answer && !n.isNear(from) {
		n.sendBeat(n.members.Find(from), true)
	}
}

func (n *Node) isNear(id cornelwall.Incarnation) bool {
	for _, p := range n.members.Near() {
		if p.Incarnation == id {
			return true
		}
	}
	return false
}

// replaced records that a peer's address has another life now.
func (n *Node) replaced(old cornelwall.Incarnation) {
	n.members.Replaced(old)
	n.lost(old)
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
	n.nextBeat = n.now.Add(n.cfg.Beat)
	sent := map[cornelwall.Incarnation]bool{}
	for _, p := range n.members.Near() {
		sent[p.Incarnation] = true
		n.sendBeat(p, false)
	}
	for _, f := range n.forwards {
		if p := n.members.Find(f.to); p != nil && !sent[p.Incarnation] {
			sent[p.Incarnation] = true
			n.sendBeat(p, false)
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
	n.electWatcher()
	n.checkForwards()
	n.endInspects()
	resend := n.resend
	n.resend = nil
	for _, s := range resend {
		n.send(s.To, s.Message)
	}
}

func (n *Node) sendBeat(p *member.Peer, answer bool) {
	if p == nil || !p.Addr.IsValid() {
		return
	}
	n.emit(cornelwall.Send{To: p.Incarnation, Addr: p.Addr, Message: cornelwall.Message{Beat: &cornelwall.Beat{
		Addr:    n.cfg.Addr,
		Leaving: n.leaving,
		Digest:  n.catalog.Digest(),
		Fresh:   n.watching && !n.stale(),
		Watcher: n.watching,
		Answer:  answer,
		Room:    n.placer.Room(),
	}}})
}

// undelivered looks after messages that may not have arrived.
func (n *Node) undelivered(e *cornelwall.Envelope) {
	for i := range e.Messages {
		m := e.Messages[i]
		switch {
		case m.Want != nil, m.Loan != nil, m.Return != nil, m.Adopt != nil:
			n.placer.Undelivered(n.now, e.To, &m)
		case m.Forward != nil:
			if f := n.forwards[m.Forward.Req]; f != nil && f.to == e.To {
				n.resend = append(n.resend, cornelwall.Send{To: e.To, Message: m})
			}
		case m.Back != nil, m.Inherited != nil:
			if n.members.Status(n.now, e.To) != member.Gone {
				n.resend = append(n.resend, cornelwall.Send{To: e.To, Message: m})
			}
		}
	}
}
