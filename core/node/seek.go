package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	seekAgain = time.Second      // between two questions to an entry that has not answered
	seekLife  = 10 * time.Second // of what the other entries said
)

// found is what the other entries know of an incarnation.
type found int

const (
	// notYet means that some have not answered, or that one of them hears it.
	notYet found = iota
	// nobodyKnows means that all have answered and that none hears it.
	nobodyKnows
)

// seeking is the questions after one incarnation that neither answers nor has a known
// heir. An entry that started after the incarnation closed, or that is far from it, has
// not heard of its heirs.
type seeking struct {
	since time.Time
	asked map[cornelwall.Incarnation]time.Time // entries by incarnation
	none  map[cornelwall.Incarnation]bool      // entries that do not hear it
}

// seek asks the entries that may know what became of an incarnation, and tells what
// they have said so far. The heirs that they named are known by then.
func (n *Node) seek(of cornelwall.Incarnation) found {
	s := n.seeks[of]
	if s == nil || n.now.Sub(s.since) > seekLife {
		s = &seeking{since: n.now, asked: map[cornelwall.Incarnation]time.Time{}, none: map[cornelwall.Incarnation]bool{}}
		n.seeks[of] = s
	}
	peers, whole := n.members.Witnesses(n.now, of.DataCentre)
	for _, p := range peers {
		if p.Incarnation == of || s.none[p.Incarnation] {
			continue
		}
		whole = false
		n.askAfter(s, p, of)
	}
	if whole && n.members.Status(n.now, of) == member.Gone {
		return nobodyKnows
	}
	return notYet
}

// askAfter asks one entry after an incarnation, and again if it does not answer.
func (n *Node) askAfter(s *seeking, p *member.Peer, of cornelwall.Incarnation) {
	if at, ok := s.asked[p.Incarnation]; ok && n.now.Sub(at) < seekAgain {
		return
	}
	s.asked[p.Incarnation] = n.now
	if p.Incarnation.Epoch == 0 {
		n.sendBeat(p, cornelwall.Heartbeat{}) // to learn its life
		return
	}
	n.send(p.Incarnation, cornelwall.Message{SuccessorQuery: &cornelwall.SuccessorQuery{Incarnation: of}})
}

// sought answers another entry's question after an incarnation.
func (n *Node) sought(from, of cornelwall.Incarnation) {
	n.send(from, cornelwall.Message{SuccessorReply: &cornelwall.SuccessorReply{
		Incarnation: of,
		Alive:       n.members.Status(n.now, of) == member.Alive,
		Successions: n.heirs.Chain(n.now, of),
	}})
}

// foundOut takes what another entry knows of an incarnation.
func (n *Node) foundOut(from cornelwall.Incarnation, a *cornelwall.SuccessorReply) {
	s := n.seeks[a.Incarnation]
	if s == nil {
		return
	}
	s.none[from] = !a.Alive // whoever it names is known from now on
	n.learn(a.Successions)
	n.checkForwards()
}

// forgetSeeks drops what the other entries said long ago.
func (n *Node) forgetSeeks() {
	for of, s := range n.seeks {
		if n.now.Sub(s.since) > seekLife {
			delete(n.seeks, of)
		}
	}
}
