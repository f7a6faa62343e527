package slot

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

// grant is a loan that was just made.
type grant struct {
	to      cornelwall.Incarnation
	machine string
	need    cornelwall.Need
	count   int
	loan    *loan
	pressed bool // others wait too
}

// grants lends what is free to those who wait, the earliest rank first. A higher class
// is worth some seconds of waiting, so that it goes first but starves nobody.
func (h *home) grants(now time.Time) []grant {
	if !h.wake.IsZero() && !now.Before(h.wake) {
		h.refresh(now)
	}
	if len(h.wants) == 0 {
		return nil
	}
	var gs []grant
	for _, w := range h.ranked() {
		first := len(gs)
		for w.count > 0 {
			m := h.best(w.key.need)
			if m == nil {
				break
			}
			gs = h.lend(now, gs, first, w.key, m)
			w.count--
		}
		if w.count == 0 || !w.until.After(now) {
			delete(h.wants, w.key)
		}
	}
	for i := range gs {
		gs[i].pressed = h.pressed(gs[i].to, gs[i].need.Kind())
	}
	return gs
}

// pressed reports whether another entry waits for machines of the kind.
func (h *home) pressed(but cornelwall.Incarnation, kind cornelwall.Kind) bool {
	for key := range h.wants {
		if key.from != but && key.need.Kind() == kind {
			return true
		}
	}
	return false
}

// lend lends one part of the machine. It joins the grant of the same want and machine,
// which is among those from first on.
func (h *home) lend(now time.Time, gs []grant, first int, key wantKey, m *machine) []grant {
	l := h.loan(now, loanKey{key.from, m.vm.Name, key.need})
	l.total++
	l.changed = now
	h.reserve(now, m, key.need, 1)
	for i := first; i < len(gs); i++ {
		if gs[i].machine == m.vm.Name {
			gs[i].count++
			return gs
		}
	}
	return append(gs, grant{to: key.from, machine: m.vm.Name, need: key.need, count: 1, loan: l})
}

// ranked returns the wants in the order in which they are met.
func (h *home) ranked() []*want {
	ws := make([]*want, 0, len(h.wants))
	for _, w := range h.wants {
		ws = append(ws, w)
	}
	if len(ws) == 1 {
		return ws
	}
	slices.SortFunc(ws, func(a, b *want) int {
		return cmp.Or(
			a.rank.Compare(b.rank),
			a.key.from.Compare(b.key.from),
			cmp.Compare(a.key.need.Cores, b.key.need.Cores),
			cmp.Compare(a.key.need.Memory, b.key.need.Memory),
			cmp.Compare(a.key.need.Accelerators, b.key.need.Accelerators))
	})
	return ws
}

// best returns the machine on which a task of the need is best placed, or nil.
func (h *home) best(need cornelwall.Need) *machine {
	if need.Kind() == cornelwall.Executor {
		if h.executors.Len() > 0 && h.executors.Top().room() > 0 {
			return h.executors.Top()
		}
		return nil
	}
	var best *machine
	for _, m := range h.workers {
		if m.fits(need) && (best == nil || h.better(m, best, need)) {
			best = m
		}
	}
	return best
}

// better reports whether worker a is a better place than b: accelerators are kept for
// those who need them, then the racks are loaded evenly, so that the loss of one takes
// few tasks, then the worker with the least memory left over is filled up.
func (h *home) better(a, b *machine, need cornelwall.Need) bool {
	p, q := a.free(), b.free()
	return cmp.Or(
		cmp.Compare(p.Accelerators, q.Accelerators),
		cmp.Compare(h.racks[a.vm.Rack], h.racks[b.vm.Rack]),
		cmp.Compare(p.Memory, q.Memory),
		cmp.Compare(a.vm.Name, b.vm.Name)) < 0
}
