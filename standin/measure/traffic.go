package measure

import "cornelwall"

// Traffic counts the messages between entries and, among them, the wasted ones: those that a
// dispatcher could have done without.
type Traffic struct {
	LoanRequests, Loans, Returns int // messages
	Other                        int // heartbeats, profiles, forwarded requests and their answers
	Envelopes                    int // requests on the network, of one or more messages

	UnmetRequests int // loan requests that got no loan before the next one to the same lender, and withdrawals
	UnusedLoans   int // lent slots or resource units that were returned without having run a task
	Repeats       int // empty loans and returns, which only repeat an earlier message
	RefusedStarts int // starts that were refused or found no connection
}

// Wasted returns the number of wasted messages: two for each refused start (the start and its
// answer), two for each unused loan (the loan and its return), one for each unmet request and
// one for each repeat. Heartbeats do not belong to tasks and are not counted.
func (t *Traffic) Wasted() int {
	return 2*t.RefusedStarts + 2*t.UnusedLoans + t.UnmetRequests + t.Repeats
}

// loanTracker reconstructs the state of all loans from the messages and the starts, without
// access to the cores.
type loanTracker struct {
	Traffic
	units        map[unitsKey]*loanedUnits
	openRequests map[requestKey]bool // true while a request is unmet
}

// unitsKey identifies the units of a machine that one borrower holds.
type unitsKey struct {
	borrower cornelwall.Incarnation
	machine  string
}

// loanedUnits counts the lent units of a machine that a borrower holds: those that have run no
// task, those that have run one, and the tasks that run.
type loanedUnits struct{ unused, used, running int }

// requestKey identifies the open request of a borrower to a lender for a need.
type requestKey struct {
	borrower, lender cornelwall.Incarnation
	need             cornelwall.Need
}

func newLoanTracker() *loanTracker {
	return &loanTracker{units: map[unitsKey]*loanedUnits{}, openRequests: map[requestKey]bool{}}
}

func (l *loanTracker) unitsOf(borrower cornelwall.Incarnation, machine string) *loanedUnits {
	key := unitsKey{borrower, machine}
	p := l.units[key]
	if p == nil {
		p = &loanedUnits{}
		l.units[key] = p
	}
	return p
}

// recordSent counts the messages of an envelope.
func (l *loanTracker) recordSent(e *cornelwall.Envelope) {
	l.Envelopes++
	for i := range e.Messages {
		m := &e.Messages[i]
		switch {
		case m.LoanRequest != nil:
			l.recordRequest(requestKey{e.From, e.To, m.LoanRequest.Need}, m.LoanRequest)
		case m.Loan != nil:
			l.recordLoan(e.From, e.To, m.Loan)
		case m.LoanReturn != nil:
			l.recordReturn(e.From, m.LoanReturn)
		default:
			l.Other++
		}
	}
}

func (l *loanTracker) recordRequest(key requestKey, m *cornelwall.LoanRequest) {
	l.LoanRequests++
	if l.openRequests[key] {
		l.UnmetRequests++
	}
	if l.openRequests[key] = m.Count > 0; m.Count == 0 {
		l.UnmetRequests++
	}
}

func (l *loanTracker) recordLoan(lender, borrower cornelwall.Incarnation, m *cornelwall.Loan) {
	l.Loans++
	if m.Count == 0 {
		l.Repeats++
		return
	}
	delete(l.openRequests, requestKey{borrower, lender, m.Need})
	l.unitsOf(borrower, m.Machine).unused += m.Count
}

// recordReturn assumes that a borrower returns used units before unused ones.
func (l *loanTracker) recordReturn(borrower cornelwall.Incarnation, m *cornelwall.LoanReturn) {
	l.Returns++
	if m.Count == 0 && m.Done == 0 && m.MachineFaults == 0 {
		l.Repeats++
		return
	}
	p := l.unitsOf(borrower, m.Machine)
	used := min(m.Count, max(0, p.used-p.running))
	p.used -= used
	unused := min(m.Count-used, p.unused)
	p.unused -= unused
	l.UnusedLoans += unused
}

// recordStart records the start of a task and recordEnd its end. A start takes a used unit if
// one is idle.
func (l *loanTracker) recordStart(borrower cornelwall.Incarnation, machine string) {
	p := l.unitsOf(borrower, machine)
	if p.running >= p.used && p.unused > 0 {
		p.unused--
		p.used++
	}
	p.running++
}

func (l *loanTracker) recordEnd(borrower cornelwall.Incarnation, machine string) {
	l.unitsOf(borrower, machine).running--
}

// closeRequests counts the requests that are still open as unmet.
func (l *loanTracker) closeRequests() {
	for _, open := range l.openRequests {
		if open {
			l.UnmetRequests++
		}
	}
	clear(l.openRequests)
}
