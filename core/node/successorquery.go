package node

import (
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const (
	queryRetryInterval = time.Second      // interval between queries to a peer that has not replied
	queryTTL           = 10 * time.Second // age at which a query and its replies are discarded
)

// queryStatus is what the other entries have replied about an incarnation.
type queryStatus int

const (
	// queryPending means that a reply is missing, or that an entry still hears the
	// incarnation.
	queryPending queryStatus = iota
	// queryExhausted means that all have replied and that none hears the incarnation.
	queryExhausted
)

// successorQuery is the query to other entries about an incarnation that neither answers
// nor has a known successor. An entry that started after the incarnation closed, or that
// exchanges no heartbeats with it, has not learned of its successors.
type successorQuery struct {
	since      time.Time
	queriedAt  map[cornelwall.Incarnation]time.Time // by peer: when it was last queried
	notHeardBy map[cornelwall.Incarnation]bool      // peers that replied that they do not hear the incarnation
}

// querySuccessors queries the entries that may know what became of an incarnation, and
// returns the status of their replies so far. Successors that they named have been
// recorded by then.
func (n *Node) querySuccessors(id cornelwall.Incarnation) queryStatus {
	q := n.successorQueries[id]
	if q == nil || n.now.Sub(q.since) > queryTTL {
		q = &successorQuery{since: n.now, queriedAt: map[cornelwall.Incarnation]time.Time{}, notHeardBy: map[cornelwall.Incarnation]bool{}}
		n.successorQueries[id] = q
	}
	peers, allReplied := n.members.SuccessorQueryTargets(n.now, id.DataCentre)
	for _, p := range peers {
		if p.Incarnation == id || q.notHeardBy[p.Incarnation] {
			continue
		}
		allReplied = false
		n.queryPeer(q, p, id)
	}
	if allReplied && n.members.Status(n.now, id) == member.Dead {
		return queryExhausted
	}
	return queryPending
}

// queryPeer queries one peer about an incarnation, and queries it again if it has not
// replied.
func (n *Node) queryPeer(q *successorQuery, p *member.Peer, id cornelwall.Incarnation) {
	if at, ok := q.queriedAt[p.Incarnation]; ok && n.now.Sub(at) < queryRetryInterval {
		return
	}
	q.queriedAt[p.Incarnation] = n.now
	if p.Incarnation.Epoch == 0 {
		n.sendHeartbeat(p, cornelwall.Heartbeat{}) // its reply tells its epoch
		return
	}
	n.send(p.Incarnation, cornelwall.Message{SuccessorQuery: &cornelwall.SuccessorQuery{Incarnation: id}})
}

// answerSuccessorQuery answers a peer's query about an incarnation.
func (n *Node) answerSuccessorQuery(from, id cornelwall.Incarnation) {
	n.send(from, cornelwall.Message{SuccessorReply: &cornelwall.SuccessorReply{
		Incarnation: id,
		Alive:       n.members.Status(n.now, id) == member.Alive,
		Successions: n.archive.SuccessionChain(n.now, id),
	}})
}

// receiveSuccessorReply records what a peer knows about an incarnation.
func (n *Node) receiveSuccessorReply(from cornelwall.Incarnation, reply *cornelwall.SuccessorReply) {
	q := n.successorQueries[reply.Incarnation]
	if q == nil {
		return
	}
	q.notHeardBy[from] = !reply.Alive // the successors that it names are recorded below
	n.learnSuccessions(reply.Successions)
	n.checkForwards()
}

// forgetSuccessorQueries drops queries whose replies are outdated.
func (n *Node) forgetSuccessorQueries() {
	for id, q := range n.successorQueries {
		if n.now.Sub(q.since) > queryTTL {
			delete(n.successorQueries, id)
		}
	}
}
