// Package slot shares out the machines among the entries.
//
// Each executor and worker has one home entry in its data centre. The home lends parts
// of it (loans) to the entries whose tasks wait, itself included, and the borrower
// starts tasks there itself and returns the loan when it has no more use for it. A
// loan says nothing about safety: a machine that is lent twice refuses what is too
// much as not run.
//
// # Usage
//
//	h := slot.NewHome(self)
//	h.SetMachines(mine)
//	h.Want(now, peer, want)
//	for _, g := range h.Grant(now) { ... } // lend g.Loan to g.To
package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// Home lends the machines whose home this entry is.
type Home struct {
	machines map[string]*machine
	order    []*machine // by name
	wants    map[wantKey]*want
}

// machine is a machine of this home.
type machine struct {
	vm     cornelwall.VM
	used   cornelwall.Need // of a worker
	slots  int             // lent of an executor
	lent   map[loanKey]int
	paused time.Time // no new loans before
}

// loanKey tells the loans of a machine apart.
type loanKey struct {
	to   cornelwall.Incarnation
	need cornelwall.Need
}

// wantKey tells the wants apart.
type wantKey struct {
	from cornelwall.Incarnation
	need cornelwall.Need
}

// want is what an entry waits for.
type want struct {
	count int
	class cornelwall.Class
	since time.Time
}

// Grant is a loan to one entry.
type Grant struct {
	To   cornelwall.Incarnation
	VM   cornelwall.VM
	Loan cornelwall.Loan
}

// NewHome returns a home without machines.
func NewHome() *Home {
	return &Home{machines: map[string]*machine{}, wants: map[wantKey]*want{}}
}

// SetMachines replaces the machines of this home. Loans of machines that stay go on.
func (h *Home) SetMachines(vms []cornelwall.VM) {
	next := make(map[string]*machine, len(vms))
	h.order = h.order[:0]
	for _, vm := range vms {
		m := h.machines[vm.Name]
		if m == nil {
			m = &machine{lent: map[loanKey]int{}}
		}
		m.vm = vm
		next[vm.Name] = m
		h.order = append(h.order, m)
	}
	slices.SortFunc(h.order, func(a, b *machine) int { return cmp.Compare(a.vm.Name, b.vm.Name) })
	h.machines = next
}

// Want replaces what an entry waits for.
func (h *Home) Want(now time.Time, from cornelwall.Incarnation, w *cornelwall.Want) {
	key := wantKey{from, w.Need}
	if w.Count == 0 {
		delete(h.wants, key)
		return
	}
	h.wants[key] = &want{count: w.Count, class: w.Class, since: now.Add(-time.Duration(w.Age))}
}

// Grant lends what is free to those who wait, the highest class and the longest wait
// first.
func (h *Home) Grant(now time.Time) []Grant {
	var grants []Grant
	for _, key := range h.ranked() {
		w := h.wants[key]
		for w.count > 0 {
			m := h.best(now, key.need)
			if m == nil {
				break
			}
			m.lend(loanKey{key.from, key.need}, 1)
			w.count--
			grants = add(grants, key, m)
		}
		if w.count == 0 {
			delete(h.wants, key)
		}
	}
	return grants
}

func add(grants []Grant, key wantKey, m *machine) []Grant {
	for i := range grants {
		g := &grants[i]
		if g.To == key.from && g.Loan.Machine == m.vm.Name && g.Loan.Need == key.need {
			g.Loan.Count++
			return grants
		}
	}
	return append(grants, Grant{To: key.from, VM: m.vm,
		Loan: cornelwall.Loan{Machine: m.vm.Name, Need: key.need, Count: 1}})
}

// ranked returns the wants in the order in which they are met.
func (h *Home) ranked() []wantKey {
	return slices.SortedFunc(maps.Keys(h.wants), func(a, b wantKey) int {
		p, q := h.wants[a], h.wants[b]
		return cmp.Or(
			cmp.Compare(q.class, p.class),
			p.since.Compare(q.since),
			a.from.Compare(b.from),
			cmp.Compare(a.need.Cores, b.need.Cores),
			cmp.Compare(a.need.Memory, b.need.Memory),
			cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
}

// best returns the machine with the most room for the need, or nil.
func (h *Home) best(now time.Time, need cornelwall.Need) *machine {
	var best *machine
	for _, m := range h.order {
		if m.fits(now, need) && (best == nil || m.free() > best.free()) {
			best = m
		}
	}
	return best
}

func (m *machine) fits(now time.Time, need cornelwall.Need) bool {
	if m.vm.State != cornelwall.Live || now.Before(m.paused) || m.vm.Kind != need.Kind() {
		return false
	}
	if m.vm.Kind == cornelwall.Executor {
		return m.slots < m.vm.Slots
	}
	return need.Fits(cornelwall.Need{
		Cores:        m.vm.Room.Cores - m.used.Cores,
		Memory:       m.vm.Room.Memory - m.used.Memory,
		Accelerators: m.vm.Room.Accelerators - m.used.Accelerators,
	})
}

func (m *machine) free() int {
	if m.vm.Kind == cornelwall.Executor {
		return m.vm.Slots - m.slots
	}
	return m.vm.Room.Cores - m.used.Cores
}

func (m *machine) lend(key loanKey, n int) {
	m.lent[key] += n
	if m.lent[key] == 0 {
		delete(m.lent, key)
	}
	if m.vm.Kind == cornelwall.Executor {
		m.slots += n
		return
	}
	m.used.Cores += n * key.need.Cores
	m.used.Memory += n * key.need.Memory
	m.used.Accelerators += n * key.need.Accelerators
}

// Return takes back loans. It ignores what was not lent.
func (h *Home) Return(from cornelwall.Incarnation, r *cornelwall.Return) {
	m := h.machines[r.Machine]
	if m == nil {
		return
	}
	key := loanKey{from, r.Need}
	if n := min(r.Count, m.lent[key]); n > 0 {
		m.lend(key, -n)
	}
}

// Pause stops new loans of a machine until the time given.
func (h *Home) Pause(name string, until time.Time) {
	if m := h.machines[name]; m != nil && until.After(m.paused) {
		m.paused = until
	}
}

// Reclaim takes back everything that was lent to an incarnation that is gone.
func (h *Home) Reclaim(from cornelwall.Incarnation) {
	for _, m := range h.order {
		for key, n := range m.lent {
			if key.to == from {
				m.lend(key, -n)
			}
		}
	}
	maps.DeleteFunc(h.wants, func(key wantKey, _ *want) bool { return key.from == from })
}

// Borrowers returns the incarnations that hold loans or wait for them, in a stable
// order.
func (h *Home) Borrowers() []cornelwall.Incarnation {
	set := map[cornelwall.Incarnation]bool{}
	for key := range h.wants {
		set[key.from] = true
	}
	for _, m := range h.order {
		for key := range m.lent {
			set[key.to] = true
		}
	}
	return slices.SortedFunc(maps.Keys(set), cornelwall.Incarnation.Compare)
}
