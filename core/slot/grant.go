package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

// grant is what a Loan message is made of: count units that are added to a loan, or 0 to repeat its
// totals.
type grant struct {
	borrower  cornelwall.Incarnation
	machine   string
	need      cornelwall.Need
	count     int
	loan      *loan
	contended bool // other entries wait for machines of the kind
}

// grantLoans lends the free capacity to the waiting entries, in order of rank. Each class
// ranks only classBonus earlier than the one below it, so that higher classes go first but lower
// ones do not starve.
func (le *lender) grantLoans(now time.Time) []grant {
	if !le.recheckAt.IsZero() && !now.Before(le.recheckAt) {
		le.refresh(now)
	}
	if len(le.requests) == 0 {
		return nil
	}
	var grants []grant
	for _, req := range le.rankedRequests() {
		first := len(grants)
		for req.count > 0 {
			m := le.bestMachine(req.key.need)
			if m == nil {
				break
			}
			grants = le.lendUnit(now, grants, first, req.key, m)
			req.count--
		}
		if req.count == 0 || !req.expires.After(now) {
			delete(le.requests, req.key)
		}
	}
	for i := range grants {
		grants[i].contended = le.contended(grants[i].borrower, grants[i].need.Kind())
	}
	return grants
}

// contended reports whether an entry other than the borrower waits for machines of the kind.
func (le *lender) contended(borrower cornelwall.Incarnation, kind cornelwall.Kind) bool {
	for key := range le.requests {
		if key.borrower != borrower && key.need.Kind() == kind {
			return true
		}
	}
	return false
}

// lendUnit lends one unit of the need on the machine. Grants from index first on belong to the same
// request; one of them for the same machine is extended rather than added.
func (le *lender) lendUnit(now time.Time, grants []grant, first int, key requestKey, m *machine) []grant {
	l := le.loan(now, loanKey{key.borrower, m.vm.Name, key.need})
	l.granted++
	l.lastChange = now
	le.reserve(now, m, key.need, 1)
	for i := first; i < len(grants); i++ {
		if grants[i].machine == m.vm.Name {
			grants[i].count++
			return grants
		}
	}
	return append(grants, grant{borrower: key.borrower, machine: m.vm.Name, need: key.need, count: 1, loan: l})
}

// rankedRequests returns the requests in the order in which they are served.
func (le *lender) rankedRequests() []*request {
	reqs := make([]*request, 0, len(le.requests))
	for _, req := range le.requests {
		reqs = append(reqs, req)
	}
	if len(reqs) == 1 {
		return reqs
	}
	slices.SortFunc(reqs, func(a, b *request) int {
		return cmp.Or(
			a.rank.Compare(b.rank),
			a.key.borrower.Compare(b.key.borrower),
			cmp.Compare(a.key.need.Cores, b.key.need.Cores),
			cmp.Compare(a.key.need.Memory, b.key.need.Memory),
			cmp.Compare(a.key.need.Accelerators, b.key.need.Accelerators))
	})
	return reqs
}

// bestMachine returns the machine with room on which a task of the need is best placed, or nil.
func (le *lender) bestMachine(need cornelwall.Need) *machine {
	if need.Kind() == cornelwall.Executor {
		if le.executors.Len() > 0 && le.executors.Top().freeSlots() > 0 {
			return le.executors.Top()
		}
		return nil
	}
	var best *machine
	for _, m := range le.workers {
		if m.fits(need) && (best == nil || le.betterWorker(m, best, need)) {
			best = m
		}
	}
	return best
}

// betterWorker reports whether worker a is a better place than b. The worker with fewer free
// accelerators goes first, to keep the others for tasks that need them; then the one in the less
// loaded rack, so that the loss of a rack hits few tasks; then the one with less free memory, so
// that workers fill up one by one.
func (le *lender) betterWorker(a, b *machine, need cornelwall.Need) bool {
	p, q := a.freeResources(), b.freeResources()
	return cmp.Or(
		cmp.Compare(p.Accelerators, q.Accelerators),
		cmp.Compare(le.rackLoad[a.vm.Rack], le.rackLoad[b.vm.Rack]),
		cmp.Compare(p.Memory, q.Memory),
		cmp.Compare(a.vm.Name, b.vm.Name)) < 0
}
