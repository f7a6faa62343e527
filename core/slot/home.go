package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/health"
	"cornelwall/core/heap"
)

const (
	adoptWait   = 100 * time.Millisecond // for the borrowers of a machine that changed its home
	pressedLife = 500 * time.Millisecond // of a loan while others wait
	unpressed   = 5 * time.Second        // and while nobody does
	auditAfter  = 5 * time.Second        // without a change of a loan
	forgetAfter = time.Minute            // of a loan that was returned
	classAge    = 5 * time.Second        // of waiting that a class is worth
	farHandicap = 100 * time.Millisecond // by which a want from another data centre is put off
)

// home lends the machines whose home this entry is.
type home struct {
	self      cornelwall.Incarnation
	health    *health.Table
	machines  map[string]*machine
	executors *heap.Heap[*machine] // the one with the most room on top
	workers   []*machine           // by name
	loans     map[loanKey]*loan
	wants     map[wantKey]*want
	series    uint64
	slots     int       // of all executors
	lent      int       // of these slots
	wake      time.Time // when the health of a machine changes by itself
	racks     map[string]int
}

// loanKey tells the loans apart.
type loanKey struct {
	to      cornelwall.Incarnation
	machine string
	need    cornelwall.Need
}

// loan is what an entry has of a machine.
type loan struct {
	series  uint64
	total   uint64 // lent in the series
	back    uint64 // returned
	changed time.Time
}

func (l *loan) out() int { return int(l.total - l.back) }

// wantKey tells the wants apart.
type wantKey struct {
	from cornelwall.Incarnation
	need cornelwall.Need
}

// want is what an entry waits for.
type want struct {
	key   wantKey
	count int
	rank  time.Time // the earliest goes first
	until time.Time
}

func newHome(self cornelwall.Incarnation) *home {
	return &home{
		self: self, health: health.New(),
		machines: map[string]*machine{}, loans: map[loanKey]*loan{}, wants: map[wantKey]*want{},
		executors: newExecutors(), racks: map[string]int{},
	}
}

// setMachines replaces the machines of this home and returns the names of those that
// are new to it. Loans of machines that stay go on.
func (h *home) setMachines(now time.Time, vms []cornelwall.VM) (fresh []string) {
	next := make(map[string]*machine, len(vms))
	for _, vm := range vms {
		m := h.machines[vm.Name]
		if m == nil {
			m = &machine{index: -1, adopt: now.Add(adoptWait)}
			fresh = append(fresh, vm.Name)
		}
		m.vm = vm
		next[vm.Name] = m
	}
	for key := range h.loans {
		if next[key.machine] == nil {
			delete(h.loans, key)
		}
	}
	h.machines = next
	h.health.Keep(func(name string) bool { return next[name] != nil })
	h.refresh(now)
	slices.Sort(fresh)
	return fresh
}

// ready lends machines at once that no other entry can have lent before.
func (h *home) ready(now time.Time, names []string) {
	for _, name := range names {
		if m := h.machines[name]; m != nil {
			m.adopt = time.Time{}
		}
	}
	h.refresh(now)
}

// refresh works out again what each machine may run.
func (h *home) refresh(now time.Time) {
	h.executors, h.workers = newExecutors(), h.workers[:0]
	h.wake = time.Time{}
	h.slots, h.lent = 0, 0
	clear(h.racks)
	for _, name := range slices.Sorted(maps.Keys(h.machines)) {
		m := h.machines[name]
		h.judge(now, m)
		if m.vm.Kind == cornelwall.Executor {
			h.lent += m.lent
			h.slots += m.limit
			h.executors.Push(m)
		} else {
			h.racks[m.vm.Rack] += m.lent
			h.workers = append(h.workers, m)
		}
	}
}

// judge sets how many tasks a machine may run, and plans to look again if that changes
// by itself.
func (h *home) judge(now time.Time, m *machine) {
	most := m.vm.Slots
	if m.vm.Kind == cornelwall.Worker {
		most = max(1, m.vm.Capacity.Cores+m.vm.Capacity.Accelerators)
	}
	until := h.health.Until(now, m.vm.Name)
	if m.adopt.After(now) && m.adopt.After(until) {
		until = m.adopt
	}
	switch {
	case m.vm.State != cornelwall.Live:
		m.limit = 0
	case !until.IsZero():
		m.limit = 0
		if h.wake.IsZero() || until.Before(h.wake) {
			h.wake = until
		}
	default:
		m.limit = h.health.Limit(now, m.vm.Name, most)
	}
}

// changed works out again what one machine may run.
func (h *home) changed(now time.Time, m *machine) {
	if m.vm.Kind == cornelwall.Executor {
		h.slots -= m.limit
	}
	h.judge(now, m)
	if m.vm.Kind == cornelwall.Executor {
		h.slots += m.limit
	}
	if m.index >= 0 && m.vm.Kind == cornelwall.Executor {
		h.executors.Fix(m)
	}
}

// setWant replaces what an entry waits for.
func (h *home) setWant(now time.Time, from cornelwall.Incarnation, w *cornelwall.LoanRequest) {
	key := wantKey{from, w.Need}
	if w.Count == 0 {
		delete(h.wants, key)
		return
	}
	rank := now.Add(-time.Duration(w.Age) - time.Duration(w.Class)*classAge)
	if from.DataCentre != h.self.DataCentre {
		rank = rank.Add(farHandicap)
	}
	h.wants[key] = &want{key: key, count: w.Count, rank: rank, until: now.Add(time.Duration(w.TTL))}
}

func (h *home) loan(now time.Time, key loanKey) *loan {
	l := h.loans[key]
	if l == nil {
		h.series++
		l = &loan{series: h.series, changed: now}
		h.loans[key] = l
	}
	return l
}

func (h *home) reserve(now time.Time, m *machine, need cornelwall.Need, n int) {
	m.reserve(now, need, n)
	if m.vm.Kind == cornelwall.Executor {
		h.lent += n
		h.executors.Fix(m)
	} else {
		h.racks[m.vm.Rack] += n
	}
}

// giveBack takes parts back from a borrower. A message that was lost is made up by the
// total of the next, and one that comes twice changes nothing.
func (h *home) giveBack(now time.Time, from cornelwall.Incarnation, r *cornelwall.LoanReturn) {
	m := h.machines[r.Machine]
	l := h.loans[loanKey{from, r.Machine, r.Need}]
	if m == nil {
		return
	}
	if r.Using > 0 && l == nil {
		l = h.loan(now, loanKey{from, r.Machine, r.Need})
		l.series, l.total = r.Series, uint64(r.Using)
		h.reserve(now, m, r.Need, r.Using)
	}
	if l != nil && l.series == r.Series && r.Total > l.back {
		n := min(r.Total, l.total) - l.back
		l.back += n
		l.changed = now
		h.reserve(now, m, r.Need, -int(n))
	}
}

// report takes word of how starts on a machine ended.
func (h *home) report(now time.Time, r *cornelwall.LoanReturn) {
	m := h.machines[r.Machine]
	if m == nil || r.Done+r.MachineFaults+r.Busy+r.Lost == 0 {
		return
	}
	if r.Done > 0 {
		h.health.Done(r.Machine, r.Done, r.SlowdownPercentSum)
	}
	if r.MachineFaults > 0 {
		h.health.Failed(now, r.Machine, r.MachineFaults)
	}
	if r.Busy > 0 {
		h.health.Busy(now, r.Machine)
	}
	if r.Lost > 0 {
		h.health.Unreached(now, r.Machine)
	}
	h.changed(now, m)
}

// reclaim takes back everything that was lent to an incarnation that is gone.
func (h *home) reclaim(now time.Time, from cornelwall.Incarnation) {
	for key, l := range h.loans {
		if key.to != from {
			continue
		}
		if m := h.machines[key.machine]; m != nil && l.out() > 0 {
			h.reserve(now, m, key.need, -l.out())
		}
		delete(h.loans, key)
	}
	maps.DeleteFunc(h.wants, func(key wantKey, _ *want) bool { return key.from == from })
}

// audits returns the loans to other entries that have not changed for long, so that
// both sides can compare their totals, and forgets those that were returned long ago.
func (h *home) audits(now time.Time) []grant {
	var gs []grant
	for key, l := range h.loans {
		switch {
		case l.out() == 0 && now.Sub(l.changed) > forgetAfter:
			delete(h.loans, key)
		case l.out() > 0 && key.to != h.self && now.Sub(l.changed) > auditAfter:
			l.changed = now
			gs = append(gs, grant{to: key.to, machine: key.machine, need: key.need, loan: l})
		}
	}
	slices.SortFunc(gs, func(a, b grant) int {
		return cmp.Or(a.to.Compare(b.to), cmp.Compare(a.machine, b.machine), cmp.Compare(a.need.Cores, b.need.Cores),
			cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
	return gs
}

// free returns the number of slots that are free.
func (h *home) free() int { return max(0, h.slots-h.lent) }

// room returns what this home has.
func (h *home) room() cornelwall.Capacity {
	r := cornelwall.Capacity{Slots: h.slots, Free: h.free()}
	for _, m := range h.workers {
		free := m.free()
		r.Workers.Cores += max(0, free.Cores)
		r.Workers.Memory += max(0, free.Memory)
		r.Workers.Accelerators += max(0, free.Accelerators)
	}
	return r
}
