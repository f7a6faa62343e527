package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const maxRetransmissions = 6 // of one answer; the asker asks again

// retransmissionKey tells answers that are sent again apart.
type retransmissionKey struct {
	to  cornelwall.Incarnation
	req uint64
}

// retransmission is an answer that may not have arrived.
type retransmission struct {
	reply    *cornelwall.ForwardReply
	due      time.Time // of the next send; zero once it was sent
	lastLoss time.Time // of the last loss
	backoff  time.Duration
	tries    int
}

// scheduleRetransmission sends an answer to another entry again after a while, a few times.
func (n *Node) scheduleRetransmission(to cornelwall.Incarnation, b *cornelwall.ForwardReply) {
	key := retransmissionKey{to: to, req: b.Req}
	r := n.retransmissions[key]
	if r == nil {
		r = &retransmission{backoff: initialBackoff}
		n.retransmissions[key] = r
	}
	r.lastLoss = n.now
	if !r.due.IsZero() {
		return
	}
	r.reply = b
	if r.tries++; r.tries > maxRetransmissions {
		delete(n.retransmissions, key)
		return
	}
	r.due = n.now.Add(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
	n.wakeBy(r.due)
}

// wakeBy makes sure that the node steps at the time given and looks at what is to be sent
// again.
func (n *Node) wakeBy(at time.Time) {
	if n.wakeAt.IsZero() || at.Before(n.wakeAt) {
		n.wakeAt = at
	}
}

// retransmitDue sends what is due to be sent again.
func (n *Node) retransmitDue() {
	if n.wakeAt.IsZero() || n.now.Before(n.wakeAt) {
		return
	}
	n.wakeAt = time.Time{}
	n.checkForwards()
	for _, key := range n.sortedRetransmissions() {
		r := n.retransmissions[key]
		switch {
		case r.due.IsZero():
		case n.members.Status(n.now, key.to) == member.Dead:
			delete(n.retransmissions, key)
		case n.now.Before(r.due):
			n.wakeBy(r.due)
		default:
			r.due = time.Time{}
			n.countReason(cornelwall.ReasonPeer, true)
			n.send(key.to, cornelwall.Message{ForwardReply: r.reply})
		}
	}
}

// sortedRetransmissions returns the keys in a stable order.
func (n *Node) sortedRetransmissions() []retransmissionKey {
	return slices.SortedFunc(maps.Keys(n.retransmissions), func(a, b retransmissionKey) int {
		return cmp.Or(a.to.Compare(b.to), cmp.Compare(a.req, b.req))
	})
}

// forgetRetransmissions drops answers that have not come back, so that they have arrived.
func (n *Node) forgetRetransmissions() {
	for key, r := range n.retransmissions {
		if r.due.IsZero() && n.now.Sub(r.lastLoss) > 2*(n.cfg.PeerTimeout+maxBackoff) {
			delete(n.retransmissions, key)
		}
	}
}
