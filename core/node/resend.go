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

// resendKey tells messages that are sent again apart.
type resendKey struct {
	to      cornelwall.Incarnation
	req     uint64 // of an answer
	machine string // of a returned loan
	need    cornelwall.Need
}

// resend is a message that may not have arrived.
type resend struct {
	message cornelwall.Message
	at      time.Time // of the next send; zero once it was sent
	last    time.Time // of the last loss
	wait    time.Duration
	tries   int
}

// resendLater sends an answer or a returned loan again after a while. Answers are given
// up after some tries; loans are not, since the home would count them as lent for good.
func (n *Node) resendLater(to cornelwall.Incarnation, m cornelwall.Message) {
	key := resendKey{to: to}
	if m.Back != nil {
		key.req = m.Back.Req
	} else {
		key.machine, key.need = m.Return.Machine, m.Return.Need
	}
	r := n.resends[key]
	if r == nil {
		r = &resend{wait: firstRetry}
		n.resends[key] = r
	}
	r.last = n.now
	if !r.at.IsZero() {
		r.message = joinReturns(r.message, m)
		return
	}
	r.message = m
	r.tries++
	if m.Back != nil && r.tries > maxResends {
		delete(n.resends, key)
		return
	}
	r.at = n.now.Add(r.wait)
	r.wait = min(2*r.wait, lastRetry)
	n.wake(r.at)
}

// joinReturns puts two returns of one loan that both wait into one message.
func joinReturns(a, b cornelwall.Message) cornelwall.Message {
	if a.Return == nil || b.Return == nil {
		return a
	}
	sum := *a.Return
	sum.Count += b.Return.Count
	sum.Done += b.Return.Done
	sum.Fail += b.Return.Fail
	sum.Draining = sum.Draining || b.Return.Draining
	return cornelwall.Message{Return: &sum}
}

// wake makes sure that messages are sent again at the time given.
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
			n.send(key.to, r.message)
		}
	}
}

// sortedResends returns the keys in a stable order.
func (n *Node) sortedResends() []resendKey {
	return slices.SortedFunc(maps.Keys(n.resends), func(a, b resendKey) int {
		return cmp.Or(a.to.Compare(b.to), cmp.Compare(a.req, b.req), cmp.Compare(a.machine, b.machine),
			cmp.Compare(a.need.Cores, b.need.Cores), cmp.Compare(a.need.Memory, b.need.Memory),
			cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
}

// forgetResends drops messages that have not come back, so that they have arrived.
func (n *Node) forgetResends() {
	for key, r := range n.resends {
		if r.at.IsZero() && n.now.Sub(r.last) > 2*(n.cfg.Away+lastRetry) {
			delete(n.resends, key)
		}
	}
}
