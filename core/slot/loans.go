// Package slot shares out the machines among the entries by loans.
//
// Each executor and worker has one home entry in its data centre. The home lends parts
// of it to the entries whose tasks wait, itself included. The borrower starts tasks
// there itself, may use a part for several tasks, and returns it when it has no more
// use for it or the loan's time is over while others wait. A loan says nothing about
// safety: a machine that is lent twice refuses what is too much as not run.
//
// Lost, doubled and reordered messages do not lose parts of machines: loans and returns
// carry totals, loans that have not changed for long are compared, what an incarnation
// that is gone has borrowed is taken back, and a machine whose home changes is adopted
// by the new one with what is in use of it.
//
// # Usage
//
//	p := slot.New(self)
//	p.Machines(now, all, mine)
//	p.Receive(now, peer, message)
//	p.Place(now, demand) // starts tasks and sends messages
package slot

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// keepIdle is how long a part is kept that no task uses at the moment.
const maxIdle = 2 * time.Millisecond

// Placer places tasks by loans. It implements [cornelwall.Placer].
type Placer struct {
	self         cornelwall.Incarnation
	lender       *lender
	borrower     *borrower
	sent         *sentRequests
	liveMachines map[string]bool
	inUse        map[cornelwall.Kind]int // parts in use
	newMachines  []string                // machines that are new here
	replies      []resend                // due at once
	resends      []resend                // due with a heartbeat
	idleDeadline time.Time               // when an idle part goes back
	tasksWaiting bool                    // own tasks wait
}

// resend is a message to say again, as it may not have arrived.
type resend struct {
	to            cornelwall.Incarnation
	place         cornelwall.Place
	loan          bool
	takeOwnership *cornelwall.TakeOwnership
	after         time.Time // of a message that did not arrive: only once the peer was heard since
}

var _ cornelwall.Placer = (*Placer)(nil)

// New returns the placer of the entry self.
func New(self cornelwall.Incarnation) *Placer {
	return &Placer{
		self: self, lender: newLender(self), borrower: newBorrower(), sent: newSentRequests(),
		liveMachines: map[string]bool{}, inUse: map[cornelwall.Kind]int{},
	}
}

// SetMachines replaces the machines known and those of this home.
func (s *Placer) SetMachines(now time.Time, all map[string]cornelwall.VM, mine []cornelwall.VM) {
	clear(s.liveMachines)
	for name, vm := range all {
		s.liveMachines[name] = vm.State == cornelwall.Live
	}
	s.newMachines = append(s.newMachines, s.lender.setMachines(now, mine)...)
}

// Receive takes a message of a peer.
func (s *Placer) Receive(now time.Time, from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		s.sent.recordFree(now, from, m.LoanRequest.Free)
		s.lender.setRequest(now, from, m.LoanRequest)
	case m.Loan != nil:
		s.sent.recordFree(now, from, m.Loan.Free)
		s.sent.fulfil(from, m.Loan.Need, m.Loan.Count)
		s.receiveLoan(now, from, m.Loan)
	case m.LoanReturn != nil:
		s.sent.recordFree(now, from, m.LoanReturn.Free)
		s.lender.acceptReturn(now, from, m.LoanReturn)
		s.lender.recordOutcomes(now, m.LoanReturn)
	case m.TakeOwnership != nil:
		s.receiveTakeOwnership(now, from, m.TakeOwnership)
	}
}

// receiveLoan takes a loan. The home that asks for an account of an old one gets it.
func (s *Placer) receiveLoan(now time.Time, from cornelwall.Incarnation, l *cornelwall.Loan) {
	p := s.borrower.applyLoan(now, from, l)
	if l.Count == 0 && p.returned > l.Returned {
		s.replies = append(s.replies, resend{to: from, place: p.place})
	}
}

// receiveTakeOwnership tells the new home of machines what is held of them here.
func (s *Placer) receiveTakeOwnership(now time.Time, from cornelwall.Incarnation, a *cornelwall.TakeOwnership) {
	for _, name := range a.Machines {
		for _, p := range s.borrower.changeLender(now, from, name, a.Series) {
			s.replies = append(s.replies, resend{to: from, place: p.place})
		}
	}
}

// Undelivered plans to say again what may not have arrived.
func (s *Placer) Undelivered(now time.Time, to cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		delete(s.sent.open, sentKey{to, m.LoanRequest.Need})
		s.sent.recordFree(now, to, 0)
	case m.Loan != nil:
		s.resends = append(s.resends, resend{to: to, place: cornelwall.Place{Machine: m.Loan.Machine, Need: m.Loan.Need}, loan: true, after: now})
	case m.LoanReturn != nil:
		s.resends = append(s.resends, resend{to: to, place: cornelwall.Place{Machine: m.LoanReturn.Machine, Need: m.LoanReturn.Need}, after: now})
	case m.TakeOwnership != nil:
		s.resends = append(s.resends, resend{to: to, takeOwnership: m.TakeOwnership, after: now})
	}
}

// PeerLost takes back what an incarnation that is gone has borrowed and drops what it has
// lent.
func (s *Placer) PeerLost(now time.Time, id cornelwall.Incarnation) {
	s.lender.reclaim(now, id)
	s.borrower.removeLender(id)
	s.sent.removeLender(id)
}

// Partners returns the incarnations that borrow, lend or were asked to.
func (s *Placer) Partners() []cornelwall.Incarnation {
	set := map[cornelwall.Incarnation]bool{}
	for key := range s.lender.loans {
		set[key.borrower] = true
	}
	for key := range s.lender.requests {
		set[key.borrower] = true
	}
	for _, p := range s.borrower.allocations {
		set[p.lender] = true
	}
	for key := range s.sent.open {
		set[key.lender] = true
	}
	delete(set, s.self)
	delete(set, cornelwall.Incarnation{})
	return slices.SortedFunc(maps.Keys(set), cornelwall.Incarnation.Compare)
}

// Release gives back a part. One of this entry's own machines goes back at once, so that
// it goes to whoever is first; one of a bad machine goes back with all that is idle.
func (s *Placer) Release(now time.Time, place cornelwall.Place, r cornelwall.StartReport) {
	s.inUse[place.Need.Kind()]--
	p := s.borrower.allocation(place)
	bad := p.endTask(now, r)
	switch {
	case p.lender == s.self:
		s.returnOwn(now, p)
	case bad:
		p.expires = time.Time{}
		s.borrower.listIdle(p)
	default:
		s.borrower.listIdle(p)
	}
}

// returnOwn returns the idle parts of an own machine.
func (s *Placer) returnOwn(now time.Time, p *allocation) {
	r := p.returnIdle(now, p.idle)
	s.lender.acceptReturn(now, s.self, &r)
	s.lender.recordOutcomes(now, &r)
}

// Usage takes a worker's report of what its tasks take up.
func (s *Placer) Usage(now time.Time, name string, used cornelwall.Need, lag time.Duration) {
	if m := s.lender.machines[name]; m != nil {
		m.recordUsage(now, used, lag)
	}
}

// Place starts waiting tasks on what is held, lends, and asks for more.
func (s *Placer) Place(now time.Time, d cornelwall.PlacerHost) {
	for _, a := range s.replies {
		s.resend(d, a)
	}
	s.replies = nil
	s.takeOwnership(now, d)
	s.sent.expire(now)
	needs := d.Needs()
	for _, need := range needs {
		s.startOnIdle(now, d, need)
		s.requestOwn(now, d, need)
	}
	s.grantLoans(now, d)
	for _, need := range needs {
		delete(s.lender.requests, requestKey{s.self, need})
		s.requestCapacity(now, d, need)
	}
	s.withdrawRequests(now, d)
	s.returnIdle(now, d)
	s.tasksWaiting = len(d.Needs()) > 0
}

// startOnIdle starts tasks on idle parts, but for the tasks that have a loan on its way.
func (s *Placer) startOnIdle(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	for d.Waiting(need) > s.sent.expected(now, need) {
		p := s.borrower.findIdle(now, need)
		if p == nil {
			return
		}
		if !s.startTask(now, d, p) {
			return
		}
	}
}

// startTask starts a task on an idle part.
func (s *Placer) startTask(now time.Time, d cornelwall.PlacerHost, p *allocation) bool {
	if !s.liveMachines[p.place.Machine] {
		p.expires = time.Time{}
		return true // the part goes back, another may do
	}
	p.occupy(now)
	s.inUse[p.place.Need.Kind()]++
	if d.StartNext(p.place) {
		return true
	}
	s.inUse[p.place.Need.Kind()]--
	p.inUse--
	p.idle++
	return false
}

// requestOwn lets this entry's own tasks queue at its own home.
func (s *Placer) requestOwn(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	n := d.Waiting(need) - s.sent.expected(now, need)
	if n <= 0 {
		return
	}
	class, rank := d.Head(need)
	s.lender.setRequest(now, s.self, &cornelwall.LoanRequest{Need: need, Count: n, Class: class,
		Age: cornelwall.Duration(now.Sub(rank)), TTL: cornelwall.Duration(standingTTL)})
}

// grantLoans hands out what is free of this entry's own machines.
func (s *Placer) grantLoans(now time.Time, d cornelwall.PlacerHost) {
	for _, g := range s.lender.grantLoans(now) {
		m := loanMessage(&g)
		if g.borrower != s.self {
			m.Free = s.lender.freeSlots()
			d.Send(g.borrower, cornelwall.Message{Loan: m})
			continue
		}
		p := s.borrower.applyLoan(now, s.self, m)
		for p.idle > 0 && s.startTask(now, d, p) && now.Before(p.expires) {
		}
		if p.idle > 0 {
			s.returnOwn(now, p)
		}
	}
}

// loanMessage returns the message of a grant.
func loanMessage(g *grant) *cornelwall.Loan {
	life := uncontendedTTL
	if g.contended {
		life = contendedTTL
	}
	return &cornelwall.Loan{Machine: g.machine, Need: g.need, Count: g.count, Series: g.loan.series,
		Total: g.loan.granted, Returned: g.loan.returned, TTL: cornelwall.Duration(life)}
}

// returnIdle returns the idle parts that no task can use.
func (s *Placer) returnIdle(now time.Time, d cornelwall.PlacerHost) {
	s.idleDeadline = time.Time{}
	for _, need := range s.borrower.idleNeeds() {
		var kept []*allocation
		for _, p := range s.borrower.idle[need] {
			switch {
			case p.idle == 0:
				p.listed = false
			case now.Before(p.expires) && now.Sub(p.idleSince) < maxIdle:
				kept = append(kept, p)
				if at := p.idleSince.Add(maxIdle); s.idleDeadline.IsZero() || at.Before(s.idleDeadline) {
					s.idleDeadline = at
				}
			default:
				p.listed = false
				s.sendReturn(now, d, p)
			}
		}
		if len(kept) == 0 {
			delete(s.borrower.idle, need)
		} else {
			s.borrower.idle[need] = kept
		}
	}
}

func (s *Placer) sendReturn(now time.Time, d cornelwall.PlacerHost, p *allocation) {
	r := p.returnIdle(now, p.idle)
	r.Free = s.lender.freeSlots()
	d.Send(p.lender, cornelwall.Message{LoanReturn: &r})
}

// resendDue says again what may not have arrived, to the peers that were heard since.
func (s *Placer) resendDue(d cornelwall.PlacerHost) {
	if len(s.resends) == 0 {
		return
	}
	heard := map[cornelwall.Incarnation]time.Time{}
	for _, p := range d.Peers() {
		heard[p.ID] = p.At
	}
	s.resends = slices.DeleteFunc(s.resends, func(a resend) bool {
		at, alive := heard[a.to]
		if alive && at.After(a.after) {
			s.resend(d, a)
			return true
		}
		return !alive
	})
}

// resend sends a message with the totals of now.
func (s *Placer) resend(d cornelwall.PlacerHost, a resend) {
	if a.takeOwnership != nil {
		d.Send(a.to, cornelwall.Message{TakeOwnership: a.takeOwnership})
		return
	}
	if a.loan {
		if l := s.lender.loans[loanKey{a.to, a.place.Machine, a.place.Need}]; l != nil {
			m := loanMessage(&grant{machine: a.place.Machine, need: a.place.Need, loan: l, contended: true})
			d.Send(a.to, cornelwall.Message{Loan: m})
		}
		return
	}
	if p := s.borrower.allocations[a.place]; p != nil && p.lender == a.to {
		d.Send(a.to, cornelwall.Message{LoanReturn: &cornelwall.LoanReturn{Machine: a.place.Machine, Need: a.place.Need,
			Series: p.series, Total: p.returned, Using: int(p.granted - p.returned)}})
	}
}

// takeOwnership asks the peers who uses the machines that are new to this home.
func (s *Placer) takeOwnership(now time.Time, d cornelwall.PlacerHost) {
	if len(s.newMachines) == 0 {
		return
	}
	names := s.newMachines
	s.newMachines = nil
	peers := d.Peers()
	s.lender.lastSeries++
	a := &cornelwall.TakeOwnership{Series: s.lender.lastSeries, Machines: names}
	for i := range peers {
		d.Send(peers[i].ID, cornelwall.Message{TakeOwnership: a})
	}
	for _, name := range names {
		for _, p := range s.borrower.changeLender(now, s.self, name, a.Series) {
			s.lender.acceptReturn(now, s.self, &cornelwall.LoanReturn{Machine: name, Need: p.place.Need, Series: a.Series, Using: p.inUse})
		}
	}
	if len(peers) == 0 {
		s.lender.endTakeover(now, names)
	}
}

// Heartbeat compares old loans with their borrowers and the machines with each other.
func (s *Placer) Heartbeat(now time.Time, d cornelwall.PlacerHost) {
	for _, g := range s.lender.loansToReconcile(now) {
		d.Send(g.borrower, cornelwall.Message{Loan: loanMessage(&g)})
	}
	s.resendDue(d)
	s.borrower.prune(now)
	s.lender.health.UpdateMedian()
	s.lender.refresh(now)
	maps.DeleteFunc(s.lender.requests, func(_ requestKey, w *request) bool { return !w.expires.After(now) })
	maps.DeleteFunc(s.sent.nextSearch, func(_ cornelwall.Need, at time.Time) bool { return now.After(at) })
}

// Next returns when Place is to be called at the latest.
func (s *Placer) Next() time.Time {
	next := s.idleDeadline
	for _, k := range s.sent.open {
		next = earliest(next, k.expires)
	}
	if s.tasksWaiting || len(s.lender.requests) > 0 {
		next = earliest(next, s.lender.recheckAt)
	}
	return next
}

// earliest returns the earlier of two times, of which zero is never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Capacity returns what this entry's own machines have.
func (s *Placer) Capacity() cornelwall.Capacity { return s.lender.capacity() }
