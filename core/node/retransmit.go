package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const maxRetransmissions = 6 // of one reply; after that the forwarding entry polls for it

// retransmissionKey identifies a reply by its receiver and request.
type retransmissionKey struct {
	to  cornelwall.Incarnation
	req uint64
}

// retransmission is a reply to a forwarded request that may not have arrived.
type retransmission struct {
	reply    *cornelwall.ForwardReply
	due      time.Time // when it is next sent; zero after it was sent
	lastLoss time.Time // when it was last reported undelivered
	backoff  time.Duration
	tries    int
}

// scheduleRetransmission schedules another send of a reply to a peer, with exponential
// backoff, up to maxRetransmissions times.
func (n *Node) scheduleRetransmission(to cornelwall.Incarnation, reply *cornelwall.ForwardReply) {
	key := retransmissionKey{to: to, req: reply.Req}
	r := n.retransmissions[key]
	if r == nil {
		r = &retransmission{backoff: initialBackoff}
		n.retransmissions[key] = r
	}
	r.lastLoss = n.now
	if !r.due.IsZero() {
		return
	}
	r.reply = reply
	if r.tries++; r.tries > maxRetransmissions {
		delete(n.retransmissions, key)
		return
	}
	r.due = n.now.Add(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
	n.wakeBy(r.due)
}

// wakeBy makes sure that the node is stepped by the given time, to check retries and the
// deadline of a planned stop.
func (n *Node) wakeBy(at time.Time) {
	if n.wakeAt.IsZero() || at.Before(n.wakeAt) {
		n.wakeAt = at
	}
}

// retransmitDue checks forwards and sends the replies whose retransmission is due.
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

// forgetRetransmissions drops replies that were sent again and not reported undelivered
// since, so that they count as delivered.
func (n *Node) forgetRetransmissions() {
	for key, r := range n.retransmissions {
		if r.due.IsZero() && n.now.Sub(r.lastLoss) > 2*(n.cfg.PeerTimeout+maxBackoff) {
			delete(n.retransmissions, key)
		}
	}
}
