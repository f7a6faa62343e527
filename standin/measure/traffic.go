package measure

import "cornelwall"

// Traffic counts the messages between entries, and of them those that a dispatcher
// could have done without.
type Traffic struct {
	Wants, Loans, Returns int // messages
	Other                 int // heartbeats, profiles, forwarded requests and their answers
	Envelopes             int // requests on the network, of one or more messages

	Vain    int // wants that no loan met before the next want to the same home, and withdrawn wants
	Unused  int // parts of machines that were lent and came back without having run a task
	Repeats int // loans and returns of nothing, which only repeat what was said
	Refused int // starts that were refused or met no connection
}

// Wasted returns the wasted messages: two for each refused start (the start and its
// answer), two for each unused part (the loan and its return), one for each want in
// vain and one for each repeat. Heartbeats are not of the tasks and not counted.
func (t *Traffic) Wasted() int { return 2*t.Refused + 2*t.Unused + t.Vain + t.Repeats }

// ledger follows the loans from the outside, by the messages and the starts.
type ledger struct {
	Traffic
	parts map[partKey]*parts
	open  map[pairKey]bool // a want has not been met yet
}

// partKey is a machine as one borrower sees it.
type partKey struct {
	borrower cornelwall.Incarnation
	machine  string
}

// parts counts the parts of a machine that a borrower holds.
type parts struct{ fresh, used, running int }

// pairKey is a borrower, a home and a need.
type pairKey struct {
	borrower, home cornelwall.Incarnation
	need           cornelwall.Need
}

func newLedger() *ledger {
	return &ledger{parts: map[partKey]*parts{}, open: map[pairKey]bool{}}
}

func (l *ledger) part(borrower cornelwall.Incarnation, machine string) *parts {
	key := partKey{borrower, machine}
	p := l.parts[key]
	if p == nil {
		p = &parts{}
		l.parts[key] = p
	}
	return p
}

// sent notes an envelope.
func (l *ledger) sent(e *cornelwall.Envelope) {
	l.Envelopes++
	for i := range e.Messages {
		m := &e.Messages[i]
		switch {
		case m.LoanRequest != nil:
			l.want(pairKey{e.From, e.To, m.LoanRequest.Need}, m.LoanRequest)
		case m.Loan != nil:
			l.loan(e.From, e.To, m.Loan)
		case m.LoanReturn != nil:
			l.giveBack(e.From, m.LoanReturn)
		default:
			l.Other++
		}
	}
}

func (l *ledger) want(key pairKey, w *cornelwall.LoanRequest) {
	l.Wants++
	if l.open[key] {
		l.Vain++
	}
	if l.open[key] = w.Count > 0; w.Count == 0 {
		l.Vain++
	}
}

func (l *ledger) loan(home, borrower cornelwall.Incarnation, m *cornelwall.Loan) {
	l.Loans++
	if m.Count == 0 {
		l.Repeats++
		return
	}
	delete(l.open, pairKey{borrower, home, m.Need})
	l.part(borrower, m.Machine).fresh += m.Count
}

// giveBack takes it that used parts go back before fresh ones.
func (l *ledger) giveBack(borrower cornelwall.Incarnation, m *cornelwall.LoanReturn) {
	l.Returns++
	if m.Count == 0 && m.Done == 0 && m.MachineFaults == 0 {
		l.Repeats++
		return
	}
	p := l.part(borrower, m.Machine)
	used := min(m.Count, max(0, p.used-p.running))
	p.used -= used
	fresh := min(m.Count-used, p.fresh)
	p.fresh -= fresh
	l.Unused += fresh
}

// began notes a start and ended its end.
func (l *ledger) began(borrower cornelwall.Incarnation, machine string) {
	p := l.part(borrower, machine)
	if p.running >= p.used && p.fresh > 0 {
		p.fresh--
		p.used++
	}
	p.running++
}

func (l *ledger) ended(borrower cornelwall.Incarnation, machine string) {
	l.part(borrower, machine).running--
}

// finish counts the wants that were never met.
func (l *ledger) finish() {
	for _, open := range l.open {
		if open {
			l.Vain++
		}
	}
	clear(l.open)
}
