package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

// grant is a loan that was just made.
type grant struct {
	borrower  cornelwall.Incarnation
	machine   string
	need      cornelwall.Need
	count     int
	loan      *loan
	contended bool // others wait too
}

// grantLoans lends what is free to those who wait, the earliest rank first. A higher class
// is worth some seconds of waiting, so that it goes first but starves nobody.
func (h *lender) grantLoans(now time.Time) []grant {
	if !h.recheckAt.IsZero() && !now.Before(h.recheckAt) {
		h.refresh(now)
	}
	if len(h.requests) == 0 {
		return nil
	}
	var gs []grant
	for _, w := range h.rankedRequests() {
		first := len(gs)
		for w.count > 0 {
			m := h.bestMachine(w.key.need)
			if m == nil {
				break
			}
			gs = h.grantOne(now, gs, first, w.key, m)
			w.count--
		}
		if w.count == 0 || !w.expires.After(now) {
			delete(h.requests, w.key)
		}
	}
	for i := range gs {
		gs[i].contended = h.contended(gs[i].borrower, gs[i].need.Kind())
	}
	return gs
}

// contended reports whether another entry waits for machines of the kind.
func (h *lender) contended(but cornelwall.Incarnation, kind cornelwall.Kind) bool {
	for key := range h.requests {
		if key.borrower != but && key.need.Kind() == kind {
			return true
		}
	}
	return false
}

// grantOne lends one part of the machine. It joins the grant of the same want and machine,
// which is among those from first on.
func (h *lender) grantOne(now time.Time, gs []grant, first int, key requestKey, m *machine) []grant {
	l := h.loan(now, loanKey{key.borrower, m.vm.Name, key.need})
	l.granted++
	l.lastChange = now
	h.reserve(now, m, key.need, 1)
	for i := first; i < len(gs); i++ {
		if gs[i].machine == m.vm.Name {
			gs[i].count++
			return gs
		}
	}
	return append(gs, grant{borrower: key.borrower, machine: m.vm.Name, need: key.need, count: 1, loan: l})
}

// rankedRequests returns the wants in the order in which they are met.
func (h *lender) rankedRequests() []*request {
	ws := make([]*request, 0, len(h.requests))
	for _, w := range h.requests {
		ws = append(ws, w)
	}
	if len(ws) == 1 {
		return ws
	}
	slices.SortFunc(ws, func(a, b *request) int {
		return cmp.Or(
			a.rank.Compare(b.rank),
			a.key.borrower.Compare(b.key.borrower),
			cmp.Compare(a.key.need.Cores, b.key.need.Cores),
			cmp.Compare(a.key.need.Memory, b.key.need.Memory),
			cmp.Compare(a.key.need.Accelerators, b.key.need.Accelerators))
	})
	return ws
}

// bestMachine returns the machine on which a task of the need is best placed, or nil.
func (h *lender) bestMachine(need cornelwall.Need) *machine {
	if need.Kind() == cornelwall.Executor {
		if h.executors.Len() > 0 && h.executors.Top().freeSlots() > 0 {
			return h.executors.Top()
		}
		return nil
	}
	var best *machine
	for _, m := range h.workers {
		if m.fits(need) && (best == nil || h.betterWorker(m, best, need)) {
			best = m
		}
	}
	return best
}

// betterWorker reports whether worker a is a better place than b: accelerators are kept for
// those who need them, then the racks are loaded evenly, so that the loss of one takes
// few tasks, then the worker with the least memory left over is filled up.
func (h *lender) betterWorker(a, b *machine, need cornelwall.Need) bool {
	p, q := a.freeResources(), b.freeResources()
	return cmp.Or(
		cmp.Compare(p.Accelerators, q.Accelerators),
		cmp.Compare(h.rackLoad[a.vm.Rack], h.rackLoad[b.vm.Rack]),
		cmp.Compare(p.Memory, q.Memory),
		cmp.Compare(a.vm.Name, b.vm.Name)) < 0
}
