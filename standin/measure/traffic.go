package measure

import "cornelwall"

// Traffic counts the messages between entries, and of them those that a dispatcher
// could have done without.
type Traffic struct {
	LoanRequests, Loans, Returns int // messages
	Other                        int // heartbeats, profiles, forwarded requests and their answers
	Envelopes                    int // requests on the network, of one or more messages

	UnmetRequests int // wants that no loan met before the next want to the same home, and withdrawn wants
	UnusedLoans   int // parts of machines that were lent and came back without having run a task
	Repeats       int // loans and returns of nothing, which only repeat what was said
	RefusedStarts int // starts that were refused or met no connection
}

// Wasted returns the wasted messages: two for each refused start (the start and its
// answer), two for each unused part (the loan and its return), one for each want in
// vain and one for each repeat. Heartbeats are not of the tasks and not counted.
func (t *Traffic) Wasted() int {
	return 2*t.RefusedStarts + 2*t.UnusedLoans + t.UnmetRequests + t.Repeats
}

// loanTracker follows the loans from the outside, by the messages and the starts.
type loanTracker struct {
	Traffic
	units        map[unitsKey]*loanedUnits
	openRequests map[requestKey]bool // a want has not been met yet
}

// unitsKey is a machine as one borrower sees it.
type unitsKey struct {
	borrower cornelwall.Incarnation
	machine  string
}

// loanedUnits counts the parts of a machine that a borrower holds.
type loanedUnits struct{ unused, used, running int }

// requestKey is a borrower, a home and a need.
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

// recordSent notes an envelope.
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

func (l *loanTracker) recordRequest(key requestKey, w *cornelwall.LoanRequest) {
	l.LoanRequests++
	if l.openRequests[key] {
		l.UnmetRequests++
	}
	if l.openRequests[key] = w.Count > 0; w.Count == 0 {
		l.UnmetRequests++
	}
}

func (l *loanTracker) recordLoan(home, borrower cornelwall.Incarnation, m *cornelwall.Loan) {
	l.Loans++
	if m.Count == 0 {
		l.Repeats++
		return
	}
	delete(l.openRequests, requestKey{borrower, home, m.Need})
	l.unitsOf(borrower, m.Machine).unused += m.Count
}

// recordReturn takes it that used parts go back before fresh ones.
func (l *loanTracker) recordReturn(borrower cornelwall.Incarnation, m *cornelwall.LoanReturn) {
	l.Returns++
	if m.Count == 0 && m.Done == 0 && m.MachineFaults == 0 {
		l.Repeats++
		return
	}
	p := l.unitsOf(borrower, m.Machine)
	used := min(m.Count, max(0, p.used-p.running))
	p.used -= used
	fresh := min(m.Count-used, p.unused)
	p.unused -= fresh
	l.UnusedLoans += fresh
}

// recordStart notes a start and ended its end.
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

// closeRequests counts the wants that were never met.
func (l *loanTracker) closeRequests() {
	for _, open := range l.openRequests {
		if open {
			l.UnmetRequests++
		}
	}
	clear(l.openRequests)
}
