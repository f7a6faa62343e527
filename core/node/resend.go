package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/member"
)

const maxResends = 6 // of one answer; the asker asks again

// resendKey tells answers that are sent again apart.
type resendKey struct {
	to  cornelwall.Incarnation
	req uint64
}

// resend is an answer that may not have arrived.
type resend struct {
	answer *cornelwall.ForwardReply
	at     time.Time // of the next send; zero once it was sent
	last   time.Time // of the last loss
	wait   time.Duration
	tries  int
}

// resendLater sends an answer to another entry again after a while, a few times.
func (n *Node) resendLater(to cornelwall.Incarnation, b *cornelwall.ForwardReply) {
	key := resendKey{to: to, req: b.Req}
	r := n.resends[key]
	if r == nil {
		r = &resend{wait: firstRetry}
		n.resends[key] = r
	}
	r.last = n.now
	if !r.at.IsZero() {
		return
	}
	r.answer = b
	if r.tries++; r.tries > maxResends {
		delete(n.resends, key)
		return
	}
	r.at = n.now.Add(r.wait)
	r.wait = min(2*r.wait, lastRetry)
	n.wake(r.at)
}

// wake makes sure that the node steps at the time given and looks at what is to be sent
// again.
func (n *Node) wake(at time.Time) {
	if n.wakeAt.IsZero() || at.Before(n.wakeAt) {
		n.wakeAt = at
	}
}

// sendAgain sends what is due to be sent again.
func (n *Node) sendAgain() {
	if n.wakeAt.IsZero() || n.now.Before(n.wakeAt) {
		return
	}
	n.wakeAt = time.Time{}
	n.checkForwards()
	for _, key := range n.sortedResends() {
		r := n.resends[key]
		switch {
		case r.at.IsZero():
		case n.members.Status(n.now, key.to) == member.Gone:
			delete(n.resends, key)
		case n.now.Before(r.at):
			n.wake(r.at)
		default:
			r.at = time.Time{}
			n.count(cornelwall.ReasonPeer, true)
			n.send(key.to, cornelwall.Message{ForwardReply: r.answer})
		}
	}
}

// sortedResends returns the keys in a stable order.
func (n *Node) sortedResends() []resendKey {
	return slices.SortedFunc(maps.Keys(n.resends), func(a, b resendKey) int {
		return cmp.Or(a.to.Compare(b.to), cmp.Compare(a.req, b.req))
	})
}

// forgetResends drops answers that have not come back, so that they have arrived.
func (n *Node) forgetResends() {
	for key, r := range n.resends {
		if r.at.IsZero() && n.now.Sub(r.last) > 2*(n.cfg.Away+lastRetry) {
			delete(n.resends, key)
		}
	}
}
