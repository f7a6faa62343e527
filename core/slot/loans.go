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
const keepIdle = 2 * time.Millisecond

// Loans places tasks by loans. It implements [cornelwall.Placer].
type Loans struct {
	self     cornelwall.Incarnation
	home     *home
	borrower *borrower
	asks     *asks
	live     map[string]bool
	using    map[cornelwall.Kind]int // parts in use
	adopting []string                // machines that are new here
	answers  []repeat                // due at once
	again    []repeat                // due with a heartbeat
	idleAt   time.Time               // when an idle part goes back
	short    bool                    // own tasks wait
}

// repeat is a message to say again, as it may not have arrived.
type repeat struct {
	to    cornelwall.Incarnation
	place cornelwall.Place
	loan  bool
	adopt *cornelwall.TakeOwnership
	after time.Time // of a message that did not arrive: only once the peer was heard since
}

var _ cornelwall.Placer = (*Loans)(nil)

// New returns the placer of the entry self.
func New(self cornelwall.Incarnation) *Loans {
	return &Loans{
		self: self, home: newHome(self), borrower: newBorrower(), asks: newAsks(),
		live: map[string]bool{}, using: map[cornelwall.Kind]int{},
	}
}

// SetMachines replaces the machines known and those of this home.
func (s *Loans) SetMachines(now time.Time, all map[string]cornelwall.VM, mine []cornelwall.VM) {
	clear(s.live)
	for name, vm := range all {
		s.live[name] = vm.State == cornelwall.Live
	}
	s.adopting = append(s.adopting, s.home.setMachines(now, mine)...)
}

// Receive takes a message of a peer.
func (s *Loans) Receive(now time.Time, from cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		s.asks.heard(now, from, m.LoanRequest.Free)
		s.home.setWant(now, from, m.LoanRequest)
	case m.Loan != nil:
		s.asks.heard(now, from, m.Loan.Free)
		s.asks.met(from, m.Loan.Need, m.Loan.Count)
		s.lent(now, from, m.Loan)
	case m.LoanReturn != nil:
		s.asks.heard(now, from, m.LoanReturn.Free)
		s.home.giveBack(now, from, m.LoanReturn)
		s.home.report(now, m.LoanReturn)
	case m.TakeOwnership != nil:
		s.adopted(now, from, m.TakeOwnership)
	}
}

// lent takes a loan. The home that asks for an account of an old one gets it.
func (s *Loans) lent(now time.Time, from cornelwall.Incarnation, l *cornelwall.Loan) {
	p := s.borrower.credit(now, from, l)
	if l.Count == 0 && p.returned > l.Returned {
		s.answers = append(s.answers, repeat{to: from, place: p.place})
	}
}

// adopted tells the new home of machines what is held of them here.
func (s *Loans) adopted(now time.Time, from cornelwall.Incarnation, a *cornelwall.TakeOwnership) {
	for _, name := range a.Machines {
		for _, p := range s.borrower.adopt(now, from, name, a.Series) {
			s.answers = append(s.answers, repeat{to: from, place: p.place})
		}
	}
}

// Undelivered plans to say again what may not have arrived.
func (s *Loans) Undelivered(now time.Time, to cornelwall.Incarnation, m *cornelwall.Message) {
	switch {
	case m.LoanRequest != nil:
		delete(s.asks.open, askKey{to, m.LoanRequest.Need})
		s.asks.heard(now, to, 0)
	case m.Loan != nil:
		s.again = append(s.again, repeat{to: to, place: cornelwall.Place{Machine: m.Loan.Machine, Need: m.Loan.Need}, loan: true, after: now})
	case m.LoanReturn != nil:
		s.again = append(s.again, repeat{to: to, place: cornelwall.Place{Machine: m.LoanReturn.Machine, Need: m.LoanReturn.Need}, after: now})
	case m.TakeOwnership != nil:
		s.again = append(s.again, repeat{to: to, adopt: m.TakeOwnership, after: now})
	}
}

// PeerLost takes back what an incarnation that is gone has borrowed and drops what it has
// lent.
func (s *Loans) PeerLost(now time.Time, id cornelwall.Incarnation) {
	s.home.reclaim(now, id)
	s.borrower.lost(id)
	s.asks.lost(id)
}

// Partners returns the incarnations that borrow, lend or were asked to.
func (s *Loans) Partners() []cornelwall.Incarnation {
	set := map[cornelwall.Incarnation]bool{}
	for key := range s.home.loans {
		set[key.to] = true
	}
	for key := range s.home.wants {
		set[key.from] = true
	}
	for _, p := range s.borrower.parts {
		set[p.home] = true
	}
	for key := range s.asks.open {
		set[key.to] = true
	}
	delete(set, s.self)
	delete(set, cornelwall.Incarnation{})
	return slices.SortedFunc(maps.Keys(set), cornelwall.Incarnation.Compare)
}

// Release gives back a part. One of this entry's own machines goes back at once, so that
// it goes to whoever is first; one of a bad machine goes back with all that is idle.
func (s *Loans) Release(now time.Time, place cornelwall.Place, r cornelwall.StartReport) {
	s.using[place.Need.Kind()]--
	p := s.borrower.part(place)
	bad := p.ended(now, r)
	switch {
	case p.home == s.self:
		s.settleOwn(now, p)
	case bad:
		p.until = time.Time{}
		s.borrower.stack(p)
	default:
		s.borrower.stack(p)
	}
}

// settleOwn returns the idle parts of an own machine.
func (s *Loans) settleOwn(now time.Time, p *part) {
	r := p.settle(now, p.idle)
	s.home.giveBack(now, s.self, &r)
	s.home.report(now, &r)
}

// Usage takes a worker's report of what its tasks take up.
func (s *Loans) Usage(now time.Time, name string, used cornelwall.Need, lag time.Duration) {
	if m := s.home.machines[name]; m != nil {
		m.usage(now, used, lag)
	}
}

// Place starts waiting tasks on what is held, lends, and asks for more.
func (s *Loans) Place(now time.Time, d cornelwall.PlacerHost) {
	for _, a := range s.answers {
		s.say(d, a)
	}
	s.answers = nil
	s.adopt(now, d)
	s.asks.expire(now)
	needs := d.Needs()
	for _, need := range needs {
		s.useIdle(now, d, need)
		s.ownWant(now, d, need)
	}
	s.lend(now, d)
	for _, need := range needs {
		delete(s.home.wants, wantKey{s.self, need})
		s.lookAround(now, d, need)
	}
	s.withdraw(now, d)
	s.giveBack(now, d)
	s.short = len(d.Needs()) > 0
}

// useIdle starts tasks on idle parts, but for the tasks that have a loan on its way.
func (s *Loans) useIdle(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	for d.Waiting(need) > s.asks.spoken(now, need) {
		p := s.borrower.take(now, need)
		if p == nil {
			return
		}
		if !s.begin(now, d, p) {
			return
		}
	}
}

// begin starts a task on an idle part.
func (s *Loans) begin(now time.Time, d cornelwall.PlacerHost, p *part) bool {
	if !s.live[p.place.Machine] {
		p.until = time.Time{}
		return true // the part goes back, another may do
	}
	p.use(now)
	s.using[p.place.Need.Kind()]++
	if d.StartNext(p.place) {
		return true
	}
	s.using[p.place.Need.Kind()]--
	p.using--
	p.idle++
	return false
}

// ownWant lets this entry's own tasks queue at its own home.
func (s *Loans) ownWant(now time.Time, d cornelwall.PlacerHost, need cornelwall.Need) {
	n := d.Waiting(need) - s.asks.spoken(now, need)
	if n <= 0 {
		return
	}
	class, rank := d.Head(need)
	s.home.setWant(now, s.self, &cornelwall.LoanRequest{Need: need, Count: n, Class: class,
		Age: cornelwall.Duration(now.Sub(rank)), TTL: cornelwall.Duration(standing)})
}

// lend hands out what is free of this entry's own machines.
func (s *Loans) lend(now time.Time, d cornelwall.PlacerHost) {
	for _, g := range s.home.grants(now) {
		m := loanOf(&g)
		if g.to != s.self {
			m.Free = s.home.free()
			d.Send(g.to, cornelwall.Message{Loan: m})
			continue
		}
		p := s.borrower.credit(now, s.self, m)
		for p.idle > 0 && s.begin(now, d, p) && now.Before(p.until) {
		}
		if p.idle > 0 {
			s.settleOwn(now, p)
		}
	}
}

// loanOf returns the message of a grant.
func loanOf(g *grant) *cornelwall.Loan {
	life := unpressed
	if g.pressed {
		life = pressedLife
	}
	return &cornelwall.Loan{Machine: g.machine, Need: g.need, Count: g.count, Series: g.loan.series,
		Total: g.loan.total, Returned: g.loan.back, TTL: cornelwall.Duration(life)}
}

// giveBack returns the idle parts that no task can use.
func (s *Loans) giveBack(now time.Time, d cornelwall.PlacerHost) {
	s.idleAt = time.Time{}
	for _, need := range s.borrower.idleNeeds() {
		var kept []*part
		for _, p := range s.borrower.idle[need] {
			switch {
			case p.idle == 0:
				p.stacked = false
			case now.Before(p.until) && now.Sub(p.since) < keepIdle:
				kept = append(kept, p)
				if at := p.since.Add(keepIdle); s.idleAt.IsZero() || at.Before(s.idleAt) {
					s.idleAt = at
				}
			default:
				p.stacked = false
				s.sendBack(now, d, p)
			}
		}
		if len(kept) == 0 {
			delete(s.borrower.idle, need)
		} else {
			s.borrower.idle[need] = kept
		}
	}
}

func (s *Loans) sendBack(now time.Time, d cornelwall.PlacerHost, p *part) {
	r := p.settle(now, p.idle)
	r.Free = s.home.free()
	d.Send(p.home, cornelwall.Message{LoanReturn: &r})
}

// repeatDue says again what may not have arrived, to the peers that were heard since.
func (s *Loans) repeatDue(d cornelwall.PlacerHost) {
	if len(s.again) == 0 {
		return
	}
	heard := map[cornelwall.Incarnation]time.Time{}
	for _, p := range d.Peers() {
		heard[p.ID] = p.At
	}
	s.again = slices.DeleteFunc(s.again, func(a repeat) bool {
		at, alive := heard[a.to]
		if alive && at.After(a.after) {
			s.say(d, a)
			return true
		}
		return !alive
	})
}

// say sends a message with the totals of now.
func (s *Loans) say(d cornelwall.PlacerHost, a repeat) {
	if a.adopt != nil {
		d.Send(a.to, cornelwall.Message{TakeOwnership: a.adopt})
		return
	}
	if a.loan {
		if l := s.home.loans[loanKey{a.to, a.place.Machine, a.place.Need}]; l != nil {
			m := loanOf(&grant{machine: a.place.Machine, need: a.place.Need, loan: l, pressed: true})
			d.Send(a.to, cornelwall.Message{Loan: m})
		}
		return
	}
	if p := s.borrower.parts[a.place]; p != nil && p.home == a.to {
		d.Send(a.to, cornelwall.Message{LoanReturn: &cornelwall.LoanReturn{Machine: a.place.Machine, Need: a.place.Need,
			Series: p.series, Total: p.returned, Using: int(p.seen - p.returned)}})
	}
}

// adopt asks the peers who uses the machines that are new to this home.
func (s *Loans) adopt(now time.Time, d cornelwall.PlacerHost) {
	if len(s.adopting) == 0 {
		return
	}
	names := s.adopting
	s.adopting = nil
	peers := d.Peers()
	s.home.series++
	a := &cornelwall.TakeOwnership{Series: s.home.series, Machines: names}
	for i := range peers {
		d.Send(peers[i].ID, cornelwall.Message{TakeOwnership: a})
	}
	for _, name := range names {
		for _, p := range s.borrower.adopt(now, s.self, name, a.Series) {
			s.home.giveBack(now, s.self, &cornelwall.LoanReturn{Machine: name, Need: p.place.Need, Series: a.Series, Using: p.using})
		}
	}
	if len(peers) == 0 {
		s.home.ready(now, names)
	}
}

// Heartbeat compares old loans with their borrowers and the machines with each other.
func (s *Loans) Heartbeat(now time.Time, d cornelwall.PlacerHost) {
	for _, g := range s.home.audits(now) {
		d.Send(g.to, cornelwall.Message{Loan: loanOf(&g)})
	}
	s.repeatDue(d)
	s.borrower.forget(now)
	s.home.health.Compare()
	s.home.refresh(now)
	maps.DeleteFunc(s.home.wants, func(_ wantKey, w *want) bool { return !w.until.After(now) })
	maps.DeleteFunc(s.asks.next, func(_ cornelwall.Need, at time.Time) bool { return now.After(at) })
}

// Next returns when Place is to be called at the latest.
func (s *Loans) Next() time.Time {
	next := s.idleAt
	for _, k := range s.asks.open {
		next = earliest(next, k.until)
	}
	if s.short || len(s.home.wants) > 0 {
		next = earliest(next, s.home.wake)
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
func (s *Loans) Capacity() cornelwall.Capacity { return s.home.room() }
