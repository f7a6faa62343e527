// Package slot places tasks on machines by capacity leases between entries, called loans.
//
// Each executor and worker belongs to one entry of its data centre, its lender. The lender lends
// capacity, in units of a task's need, to the entries whose tasks wait, itself included. The
// borrower starts tasks on the machine itself. It may run several tasks on a unit one after the
// other, and returns it when no task needs it or when the loan has expired. Safety does not depend
// on loans: a machine that is lent twice refuses the starts for which it has no room, and those
// tasks count as not run.
//
// Lost, duplicate and reordered messages do not leak capacity: loans and returns carry totals,
// lender and borrower compare the totals of loans that have not changed for long, the loans of an
// incarnation that was lost are taken back, and the new lender of a machine takes over what is in
// use of it.
//
// # Usage
//
//	p := slot.New(self)
//	p.SetMachines(now, all, mine)
//	p.Receive(now, peer, message)
//	p.Place(now, host) // starts tasks and sends messages
package slot

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// maxIdle is how long an idle unit is kept before it is returned.
const maxIdle = 2 * time.Millisecond

// Placer places the tasks of one entry by loans. It implements [cornelwall.Placer].
type Placer struct {
	self            cornelwall.Incarnation
	lender          *lender
	borrower        *borrower
	sent            *sentRequests
	liveMachines    map[string]bool
	inUse           map[cornelwall.Kind]int // units in use
	newMachines     []string                // machines of this entry that it has not announced yet
	replies         []deferredSend          // reports of what is held and of returns, sent with the next Place
	retransmissions []deferredSend          // undelivered messages, sent again with a heartbeat
	idleDeadline    time.Time               // when the next idle unit is to be returned; zero is never
	tasksWaiting    bool                    // tasks of this entry wait
}

// deferredSend is a message to be sent later. Without a message, a Loan or a LoanReturn for the place is
// built when it is sent, from the totals of that time.
type deferredSend struct {
	to      cornelwall.Incarnation
	message *cornelwall.Message
	place   cornelwall.Place
	loan    bool      // send a Loan rather than a LoanReturn
	after   time.Time // of a retransmission: it waits until the peer was heard from after this time
}

var _ cornelwall.Placer = (*Placer)(nil)

// New returns the placer of the entry self.
func New(self cornelwall.Incarnation) *Placer {
	return &Placer{
		self: self, lender: newLender(self), borrower: newBorrower(), sent: newSentRequests(),
		liveMachines: map[string]bool{}, inUse: map[cornelwall.Kind]int{},
	}
}

// SetMachines replaces the known machines and those that belong to this entry.
func (pl *Placer) SetMachines(now time.Time, all map[string]cornelwall.VM, mine []cornelwall.VM) {
	clear(pl.liveMachines)
	for name, vm := range all {
		pl.liveMachines[name] = vm.State == cornelwall.Live
	}
	pl.newMachines = append(pl.newMachines, pl.lender.setMachines(now, mine)...)
}

// Receive handles a message from a peer.
func (pl *Placer) Receive(now time.Time, from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		pl.sent.recordFree(now, from, m.LoanRequest.Free)
		pl.lender.setRequest(now, from, m.LoanRequest)
	case m.Loan != nil:
		pl.sent.recordFree(now, from, m.Loan.Free)
		pl.sent.fulfil(from, m.Loan.Need, m.Loan.Count)
		pl.receiveLoan(now, from, m.Loan)
	case m.LoanReturn != nil:
		pl.sent.recordFree(now, from, m.LoanReturn.Free)
		pl.lender.acceptReturn(now, from, m.LoanReturn)
		pl.lender.recordOutcomes(now, m.LoanReturn)
	case m.TakeOwnership != nil:
		pl.receiveTakeOwnership(now, from, m.TakeOwnership)
	}
}

// receiveLoan adds a loan. If it only repeats the totals and the lender has missed a return, the
// return is sent again. A loan of a machine that this entry lends itself is returned at once: the
// sender does not know yet, or no longer, who lends it.
func (pl *Placer) receiveLoan(now time.Time, from cornelwall.Incarnation, l *cornelwall.Loan) {
	if pl.lender.machines[l.Machine] != nil {
		r := &cornelwall.LoanReturn{Machine: l.Machine, Need: l.Need, Count: l.Count, Series: l.Series, Total: l.Total}
		pl.replies = append(pl.replies, deferredSend{to: from, message: &cornelwall.Message{LoanReturn: r}})
		return
	}
	al := pl.borrower.applyLoan(now, from, l)
	if l.Count == 0 && al.returned > l.Returned {
		pl.replies = append(pl.replies, deferredSend{to: from, place: al.place})
	}
}

// receiveTakeOwnership reports to the new lender of machines what this entry holds of them.
func (pl *Placer) receiveTakeOwnership(now time.Time, from cornelwall.Incarnation, msg *cornelwall.TakeOwnership) {
	for _, name := range msg.Machines {
		for _, al := range pl.borrower.changeLender(now, from, name, msg.Series) {
			pl.replies = append(pl.replies, deferredSend{to: from, place: al.place})
		}
	}
}

// Undelivered schedules a message that may not have arrived to be sent again. A loan request is
// dropped instead.
func (pl *Placer) Undelivered(now time.Time, to cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		delete(pl.sent.open, sentKey{to, m.LoanRequest.Need})
		pl.sent.recordFree(now, to, 0)
	case m.Loan != nil:
		pl.retransmissions = append(pl.retransmissions, deferredSend{to: to, place: cornelwall.Place{Machine: m.Loan.Machine, Need: m.Loan.Need}, loan: true, after: now})
	case m.LoanReturn != nil:
		place := cornelwall.Place{Machine: m.LoanReturn.Machine, Need: m.LoanReturn.Need}
		pl.borrower.restoreDraining(place, m.LoanReturn.Draining)
		pl.retransmissions = append(pl.retransmissions, deferredSend{to: to, place: place, after: now})
	case m.TakeOwnership != nil:
		pl.retransmissions = append(pl.retransmissions, deferredSend{to: to, message: m, after: now})
	}
}

// PeerLost takes back what an incarnation that was lost has borrowed, and drops what it has lent and
// the requests to it.
func (pl *Placer) PeerLost(now time.Time, id cornelwall.Incarnation) {
	pl.lender.reclaim(now, id)
	pl.borrower.removeLender(id)
	pl.sent.removeLender(id)
}

// Partners returns the incarnations with which this entry has loans or open requests.
func (pl *Placer) Partners() []cornelwall.Incarnation {
	set := map[cornelwall.Incarnation]bool{}
	for key := range pl.lender.loans {
		set[key.borrower] = true
	}
	for key := range pl.lender.requests {
		set[key.borrower] = true
	}
	for _, al := range pl.borrower.allocations {
		set[al.lender] = true
	}
	for key := range pl.sent.open {
		set[key.lender] = true
	}
	delete(set, pl.self)
	delete(set, cornelwall.Incarnation{})
	return slices.SortedFunc(maps.Keys(set), cornelwall.Incarnation.Compare)
}

// Release frees the unit on which a task was started. On one of this entry's own machines it is
// returned to the lender at once, so that it goes to the request that ranks first. If the machine
// failed, refused the start, was not reachable or is draining, all idle units of the allocation are
// returned.
func (pl *Placer) Release(now time.Time, place cornelwall.Place, r cornelwall.StartReport) {
	pl.inUse[place.Need.Kind()]--
	al := pl.borrower.allocation(place)
	faulty := al.endTask(now, r)
	switch {
	case al.lender == pl.self:
		pl.returnOwn(now, al)
	case faulty:
		al.expires = time.Time{}
		pl.borrower.listIdle(al)
	default:
		pl.borrower.listIdle(al)
	}
}

// returnOwn returns the idle units of one of this entry's own machines.
func (pl *Placer) returnOwn(now time.Time, al *allocation) {
	r := al.returnIdle(now, al.idle)
	pl.lender.acceptReturn(now, pl.self, &r)
	pl.lender.recordOutcomes(now, &r)
}

// Usage handles a measurement of the resources in use on a worker; lag is its age.
func (pl *Placer) Usage(now time.Time, name string, used cornelwall.Need, lag time.Duration) {
	if m := pl.lender.machines[name]; m != nil {
		m.recordUsage(now, used, lag)
	}
}

// Place starts waiting tasks on idle units, lends free capacity, requests more and returns what is
// not needed.
func (pl *Placer) Place(now time.Time, host cornelwall.PlacerHost) {
	for _, reply := range pl.replies {
		pl.sendDeferred(host, reply)
	}
	pl.replies = nil
	pl.takeOwnership(now, host)
	pl.sent.expire(now)
	needs := host.Needs()
	for _, need := range needs {
		pl.startOnIdle(now, host, need)
		pl.requestOwn(now, host, need)
	}
	pl.grantLoans(now, host)
	for _, need := range needs {
		delete(pl.lender.requests, requestKey{pl.self, need})
		pl.requestCapacity(now, host, need)
	}
	pl.withdrawRequests(now, host)
	pl.returnIdle(now, host)
	pl.tasksWaiting = len(host.Needs()) > 0
}

// startOnIdle starts waiting tasks on idle units, except for as many as there are loans expected
// from open requests.
func (pl *Placer) startOnIdle(now time.Time, host cornelwall.PlacerHost, need cornelwall.Need) {
	for host.Waiting(need) > pl.sent.expectedLoans(now, need) {
		al := pl.borrower.findIdle(now, need)
		if al == nil {
			return
		}
		if !pl.startTask(now, host, al) {
			return
		}
	}
}

// startTask starts a waiting task on an idle unit. It reports false if no task can start. If the
// machine is not live, it starts none but lets the allocation expire and reports true.
func (pl *Placer) startTask(now time.Time, host cornelwall.PlacerHost, al *allocation) bool {
	if !pl.liveMachines[al.place.Machine] {
		al.expires = time.Time{}
		return true // the idle units are returned; another allocation may do
	}
	al.occupy(now)
	pl.inUse[al.place.Need.Kind()]++
	if host.StartNext(al.place) {
		return true
	}
	pl.inUse[al.place.Need.Kind()]--
	al.inUse--
	al.idle++
	return false
}

// requestOwn queues the waiting tasks of this entry at its own lender.
func (pl *Placer) requestOwn(now time.Time, host cornelwall.PlacerHost, need cornelwall.Need) {
	n := host.Waiting(need) - pl.sent.expectedLoans(now, need)
	if n <= 0 {
		return
	}
	class, rank := host.Head(need)
	pl.lender.setRequest(now, pl.self, &cornelwall.LoanRequest{Need: need, Count: n, Class: class,
		Age: cornelwall.Duration(now.Sub(rank)), TTL: cornelwall.Duration(standingTTL)})
}

// grantLoans lends the free capacity of this entry's own machines. Grants to itself are used at once
// and what is left of them is returned.
func (pl *Placer) grantLoans(now time.Time, host cornelwall.PlacerHost) {
	for _, g := range pl.lender.grantLoans(now) {
		m := loanMessage(&g)
		if g.borrower != pl.self {
			m.Free = pl.lender.freeSlots()
			host.Send(g.borrower, cornelwall.Message{Loan: m})
			continue
		}
		al := pl.borrower.applyLoan(now, pl.self, m)
		for al.idle > 0 && pl.startTask(now, host, al) && now.Before(al.expires) {
		}
		if al.idle > 0 {
			pl.returnOwn(now, al)
		}
	}
}

// loanMessage returns the message that carries a grant.
func loanMessage(g *grant) *cornelwall.Loan {
	ttl := uncontendedTTL
	if g.contended {
		ttl = contendedTTL
	}
	return &cornelwall.Loan{Machine: g.machine, Need: g.need, Count: g.count, Series: g.loan.series,
		Total: g.loan.granted, Returned: g.loan.returned, TTL: cornelwall.Duration(ttl)}
}

// returnIdle returns the units of allocations that have expired or were idle for maxIdle, and sets
// the deadline for the others.
func (pl *Placer) returnIdle(now time.Time, host cornelwall.PlacerHost) {
	pl.idleDeadline = time.Time{}
	for _, need := range pl.borrower.idleNeeds() {
		var kept []*allocation
		for _, al := range pl.borrower.idle[need] {
			switch {
			case al.idle == 0:
				al.listed = false
			case now.Before(al.expires) && now.Sub(al.idleSince) < maxIdle:
				kept = append(kept, al)
				if at := al.idleSince.Add(maxIdle); pl.idleDeadline.IsZero() || at.Before(pl.idleDeadline) {
					pl.idleDeadline = at
				}
			default:
				al.listed = false
				pl.sendReturn(now, host, al)
			}
		}
		if len(kept) == 0 {
			delete(pl.borrower.idle, need)
		} else {
			pl.borrower.idle[need] = kept
		}
	}
}

// sendReturn returns all idle units of an allocation to its lender.
func (pl *Placer) sendReturn(now time.Time, host cornelwall.PlacerHost, al *allocation) {
	r := al.returnIdle(now, al.idle)
	r.Free = pl.lender.freeSlots()
	host.Send(al.lender, cornelwall.Message{LoanReturn: &r})
}

// retransmitDue sends undelivered messages again to the peers that were heard from since. It drops
// those for peers that no longer answer.
func (pl *Placer) retransmitDue(host cornelwall.PlacerHost) {
	if len(pl.retransmissions) == 0 {
		return
	}
	heard := map[cornelwall.Incarnation]time.Time{}
	for _, peer := range host.Peers() {
		heard[peer.ID] = peer.At
	}
	pl.retransmissions = slices.DeleteFunc(pl.retransmissions, func(msg deferredSend) bool {
		at, alive := heard[msg.to]
		if alive && at.After(msg.after) {
			pl.sendDeferred(host, msg)
			return true
		}
		return !alive
	})
}

// sendDeferred sends a message, with the current totals if it carries any.
func (pl *Placer) sendDeferred(host cornelwall.PlacerHost, msg deferredSend) {
	if msg.message != nil {
		host.Send(msg.to, *msg.message)
		return
	}
	if msg.loan {
		if l := pl.lender.loans[loanKey{msg.to, msg.place.Machine, msg.place.Need}]; l != nil {
			m := loanMessage(&grant{machine: msg.place.Machine, need: msg.place.Need, loan: l, contended: true})
			host.Send(msg.to, cornelwall.Message{Loan: m})
		}
		return
	}
	if al := pl.borrower.allocations[msg.place]; al != nil && al.lender == msg.to {
		r := al.reportTotals()
		host.Send(msg.to, cornelwall.Message{LoanReturn: &r})
	}
}

// takeOwnership announces the new machines of this entry to the peers and asks what they hold of
// them. If no peer is reachable there is no report to wait for, and the machines are lent at once.
func (pl *Placer) takeOwnership(now time.Time, host cornelwall.PlacerHost) {
	if len(pl.newMachines) == 0 {
		return
	}
	names := pl.newMachines
	pl.newMachines = nil
	peers := host.Peers()
	pl.lender.lastSeries++
	msg := &cornelwall.TakeOwnership{Series: pl.lender.lastSeries, Machines: names}
	for i := range peers {
		host.Send(peers[i].ID, cornelwall.Message{TakeOwnership: msg})
	}
	for _, name := range names {
		for _, al := range pl.borrower.changeLender(now, pl.self, name, msg.Series) {
			pl.lender.acceptReturn(now, pl.self, &cornelwall.LoanReturn{Machine: name, Need: al.place.Need, Series: msg.Series, Using: al.inUse})
		}
	}
	if len(peers) == 0 {
		pl.lender.endTakeover(now, names)
	}
}

// Heartbeat sends the totals of loans that have not changed for long to their borrowers, sends
// undelivered messages again, drops outdated allocations and requests and recomputes the limits of
// the machines.
func (pl *Placer) Heartbeat(now time.Time, host cornelwall.PlacerHost) {
	for _, g := range pl.lender.loansToReconcile(now) {
		pl.reconcile(now, host, &g)
	}
	pl.retransmitDue(host)
	pl.borrower.prune(now)
	pl.lender.health.UpdateMedian()
	pl.lender.refresh(now)
	maps.DeleteFunc(pl.lender.requests, func(_ requestKey, req *request) bool { return !req.expires.After(now) })
	maps.DeleteFunc(pl.sent.nextSearch, func(_ cornelwall.Need, at time.Time) bool { return now.After(at) })
}

// reconcile sends the totals of a loan to its borrower. Units of this entry's own machines that it does
// not hold are returned at once.
func (pl *Placer) reconcile(now time.Time, host cornelwall.PlacerHost, g *grant) {
	m := loanMessage(g)
	if g.borrower == pl.self {
		pl.returnOwn(now, pl.borrower.applyLoan(now, pl.self, m))
		return
	}
	host.Send(g.borrower, cornelwall.Message{Loan: m})
}

// Next returns the time by which Place must be called again; zero is never.
func (pl *Placer) Next() time.Time {
	next := pl.idleDeadline
	for _, req := range pl.sent.open {
		next = earliest(next, req.expires)
	}
	if pl.tasksWaiting || len(pl.lender.requests) > 0 {
		next = earliest(next, pl.lender.recheckAt)
	}
	return next
}

// earliest returns the earlier of two times; zero is never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Capacity returns the slots and the free capacity of this entry's own machines.
func (pl *Placer) Capacity() cornelwall.Capacity { return pl.lender.capacity() }
