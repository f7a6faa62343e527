package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	queryRetryInterval = time.Second      // between two questions to an entry that has not answered
	queryTTL           = 10 * time.Second // of what the other entries said
)

// queryStatus is what the other entries know of an incarnation.
type queryStatus int

const (
	// queryPending means that some have not answered, or that one of them hears it.
	queryPending queryStatus = iota
	// queryExhausted means that all have answered and that none hears it.
	queryExhausted
)

// successorQuery is the questions after one incarnation that neither answers nor has a known
// heir. An entry that started after the incarnation closed, or that is far from it, has
// not heard of its heirs.
type successorQuery struct {
	since      time.Time
	queriedAt  map[cornelwall.Incarnation]time.Time // entries by incarnation
	notHeardBy map[cornelwall.Incarnation]bool      // entries that do not hear it
}

// querySuccessors asks the entries that may know what became of an incarnation, and tells what
// they have said so far. The heirs that they named are known by then.
func (n *Node) querySuccessors(of cornelwall.Incarnation) queryStatus {
	s := n.successorQueries[of]
	if s == nil || n.now.Sub(s.since) > queryTTL {
		s = &successorQuery{since: n.now, queriedAt: map[cornelwall.Incarnation]time.Time{}, notHeardBy: map[cornelwall.Incarnation]bool{}}
		n.successorQueries[of] = s
	}
	peers, whole := n.members.SuccessorQueryTargets(n.now, of.DataCentre)
	for _, p := range peers {
		if p.Incarnation == of || s.notHeardBy[p.Incarnation] {
			continue
		}
		whole = false
		n.queryPeer(s, p, of)
	}
	if whole && n.members.Status(n.now, of) == member.Dead {
		return queryExhausted
	}
	return queryPending
}

// queryPeer asks one entry after an incarnation, and again if it does not answer.
func (n *Node) queryPeer(s *successorQuery, p *member.Peer, of cornelwall.Incarnation) {
	if at, ok := s.queriedAt[p.Incarnation]; ok && n.now.Sub(at) < queryRetryInterval {
		return
	}
	s.queriedAt[p.Incarnation] = n.now
	if p.Incarnation.Epoch == 0 {
		n.sendHeartbeat(p, cornelwall.Heartbeat{}) // to learn its life
		return
	}
	n.send(p.Incarnation, cornelwall.Message{SuccessorQuery: &cornelwall.SuccessorQuery{Incarnation: of}})
}

// answerSuccessorQuery answers another entry's question after an incarnation.
func (n *Node) answerSuccessorQuery(from, of cornelwall.Incarnation) {
	n.send(from, cornelwall.Message{SuccessorReply: &cornelwall.SuccessorReply{
		Incarnation: of,
		Alive:       n.members.Status(n.now, of) == member.Alive,
		Successions: n.archive.SuccessionChain(n.now, of),
	}})
}

// receiveSuccessorReply takes what another entry knows of an incarnation.
func (n *Node) receiveSuccessorReply(from cornelwall.Incarnation, a *cornelwall.SuccessorReply) {
	s := n.successorQueries[a.Incarnation]
	if s == nil {
		return
	}
	s.notHeardBy[from] = !a.Alive // whoever it names is known from now on
	n.learnSuccessions(a.Successions)
	n.checkForwards()
}

// forgetSuccessorQueries drops what the other entries said long ago.
func (n *Node) forgetSuccessorQueries() {
	for of, s := range n.successorQueries {
		if n.now.Sub(s.since) > queryTTL {
			delete(n.successorQueries, of)
		}
	}
}
