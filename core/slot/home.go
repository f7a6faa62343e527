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
	takeoverWait   = 100 * time.Millisecond // for the borrowers of a machine that changed its home
	contendedTTL   = 500 * time.Millisecond // of a loan while others wait
	uncontendedTTL = 5 * time.Second        // and while nobody does
	reconcileAfter = 5 * time.Second        // without a change of a loan
	pruneAfter     = time.Minute            // of a loan that was returned
	classBonus     = 5 * time.Second        // of waiting that a class is worth
	remotePenalty  = 100 * time.Millisecond // by which a want from another data centre is put off
)

// lender lends the machines whose home this entry is.
type lender struct {
	self       cornelwall.Incarnation
	health     *health.Table
	machines   map[string]*machine
	executors  *heap.Heap[*machine] // the one with the most room on top
	workers    []*machine           // by name
	loans      map[loanKey]*loan
	requests   map[requestKey]*request
	lastSeries uint64
	slots      int       // of all executors
	lentSlots  int       // of these slots
	recheckAt  time.Time // when the health of a machine changes by itself
	rackLoad   map[string]int
}

// loanKey tells the loans apart.
type loanKey struct {
	borrower cornelwall.Incarnation
	machine  string
	need     cornelwall.Need
}

// loan is what an entry has of a machine.
type loan struct {
	series     uint64
	granted    uint64 // lent in the series
	returned   uint64 // returned
	lastChange time.Time
}

func (l *loan) outstanding() int { return int(l.granted - l.returned) }

// requestKey tells the wants apart.
type requestKey struct {
	borrower cornelwall.Incarnation
	need     cornelwall.Need
}

// request is what an entry waits for.
type request struct {
	key     requestKey
	count   int
	rank    time.Time // the earliest goes first
	expires time.Time
}

func newLender(self cornelwall.Incarnation) *lender {
	return &lender{
		self: self, health: health.New(),
		machines: map[string]*machine{}, loans: map[loanKey]*loan{}, requests: map[requestKey]*request{},
		executors: newExecutors(), rackLoad: map[string]int{},
	}
}

// setMachines replaces the machines of this home and returns the names of those that
// are new to it. Loans of machines that stay go on.
func (h *lender) setMachines(now time.Time, vms []cornelwall.VM) (fresh []string) {
	next := make(map[string]*machine, len(vms))
	for _, vm := range vms {
		m := h.machines[vm.Name]
		if m == nil {
			m = &machine{index: -1, takeoverUntil: now.Add(takeoverWait)}
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
	h.health.Retain(func(name string) bool { return next[name] != nil })
	h.refresh(now)
	slices.Sort(fresh)
	return fresh
}

// endTakeover lends machines at once that no other entry can have lent before.
func (h *lender) endTakeover(now time.Time, names []string) {
	for _, name := range names {
		if m := h.machines[name]; m != nil {
			m.takeoverUntil = time.Time{}
		}
	}
	h.refresh(now)
}

// refresh works out again what each machine may run.
func (h *lender) refresh(now time.Time) {
	h.executors, h.workers = newExecutors(), h.workers[:0]
	h.recheckAt = time.Time{}
	h.slots, h.lentSlots = 0, 0
	clear(h.rackLoad)
	for _, name := range slices.Sorted(maps.Keys(h.machines)) {
		m := h.machines[name]
		h.setLimit(now, m)
		if m.vm.Kind == cornelwall.Executor {
			h.lentSlots += m.lentTasks
			h.slots += m.limit
			h.executors.Push(m)
		} else {
			h.rackLoad[m.vm.Rack] += m.lentTasks
			h.workers = append(h.workers, m)
		}
	}
}

// setLimit sets how many tasks a machine may run, and plans to look again if that changes
// by itself.
func (h *lender) setLimit(now time.Time, m *machine) {
	most := m.vm.Slots
	if m.vm.Kind == cornelwall.Worker {
		most = max(1, m.vm.Capacity.Cores+m.vm.Capacity.Accelerators)
	}
	until := h.health.PausedUntil(now, m.vm.Name)
	if m.takeoverUntil.After(now) && m.takeoverUntil.After(until) {
		until = m.takeoverUntil
	}
	switch {
	case m.vm.State != cornelwall.Live:
		m.limit = 0
	case !until.IsZero():
		m.limit = 0
		if h.recheckAt.IsZero() || until.Before(h.recheckAt) {
			h.recheckAt = until
		}
	default:
		m.limit = h.health.Limit(now, m.vm.Name, most)
	}
}

// updateLimit works out again what one machine may run.
func (h *lender) updateLimit(now time.Time, m *machine) {
	if m.vm.Kind == cornelwall.Executor {
		h.slots -= m.limit
	}
	h.setLimit(now, m)
	if m.vm.Kind == cornelwall.Executor {
		h.slots += m.limit
	}
	if m.index >= 0 && m.vm.Kind == cornelwall.Executor {
		h.executors.Fix(m)
	}
}

// setRequest replaces what an entry waits for.
func (h *lender) setRequest(now time.Time, from cornelwall.Incarnation, w *cornelwall.LoanRequest) {
	key := requestKey{from, w.Need}
	if w.Count == 0 {
		delete(h.requests, key)
		return
	}
	rank := now.Add(-time.Duration(w.Age) - time.Duration(w.Class)*classBonus)
	if from.DataCentre != h.self.DataCentre {
		rank = rank.Add(remotePenalty)
	}
	h.requests[key] = &request{key: key, count: w.Count, rank: rank, expires: now.Add(time.Duration(w.TTL))}
}

func (h *lender) loan(now time.Time, key loanKey) *loan {
	l := h.loans[key]
	if l == nil {
		h.lastSeries++
		l = &loan{series: h.lastSeries, lastChange: now}
		h.loans[key] = l
	}
	return l
}

func (h *lender) reserve(now time.Time, m *machine, need cornelwall.Need, n int) {
	m.reserve(now, need, n)
	if m.vm.Kind == cornelwall.Executor {
		h.lentSlots += n
		h.executors.Fix(m)
	} else {
		h.rackLoad[m.vm.Rack] += n
	}
}

// acceptReturn takes parts back from a borrower. A message that was lost is made up by the
// total of the next, and one that comes twice changes nothing.
func (h *lender) acceptReturn(now time.Time, from cornelwall.Incarnation, r *cornelwall.LoanReturn) {
	m := h.machines[r.Machine]
	l := h.loans[loanKey{from, r.Machine, r.Need}]
	if m == nil {
		return
	}
	if r.Using > 0 && l == nil {
		l = h.loan(now, loanKey{from, r.Machine, r.Need})
		l.series, l.granted = r.Series, uint64(r.Using)
		h.reserve(now, m, r.Need, r.Using)
	}
	if l != nil && l.series == r.Series && r.Total > l.returned {
		n := min(r.Total, l.granted) - l.returned
		l.returned += n
		l.lastChange = now
		h.reserve(now, m, r.Need, -int(n))
	}
}

// recordOutcomes takes word of how starts on a machine ended.
func (h *lender) recordOutcomes(now time.Time, r *cornelwall.LoanReturn) {
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
		h.health.ConnectFailed(now, r.Machine)
	}
	h.updateLimit(now, m)
}

// reclaim takes back everything that was lent to an incarnation that is gone.
func (h *lender) reclaim(now time.Time, from cornelwall.Incarnation) {
	for key, l := range h.loans {
		if key.borrower != from {
			continue
		}
		if m := h.machines[key.machine]; m != nil && l.outstanding() > 0 {
			h.reserve(now, m, key.need, -l.outstanding())
		}
		delete(h.loans, key)
	}
	maps.DeleteFunc(h.requests, func(key requestKey, _ *request) bool { return key.borrower == from })
}

// loansToReconcile returns the loans to other entries that have not changed for long, so that
// both sides can compare their totals, and forgets those that were returned long ago.
func (h *lender) loansToReconcile(now time.Time) []grant {
	var gs []grant
	for key, l := range h.loans {
		switch {
		case l.outstanding() == 0 && now.Sub(l.lastChange) > pruneAfter:
			delete(h.loans, key)
		case l.outstanding() > 0 && key.borrower != h.self && now.Sub(l.lastChange) > reconcileAfter:
			l.lastChange = now
			gs = append(gs, grant{borrower: key.borrower, machine: key.machine, need: key.need, loan: l})
		}
	}
	slices.SortFunc(gs, func(a, b grant) int {
		return cmp.Or(a.borrower.Compare(b.borrower), cmp.Compare(a.machine, b.machine), cmp.Compare(a.need.Cores, b.need.Cores),
			cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
	return gs
}

// freeSlots returns the number of slots that are free.
func (h *lender) freeSlots() int { return max(0, h.slots-h.lentSlots) }

// capacity returns what this home has.
func (h *lender) capacity() cornelwall.Capacity {
	r := cornelwall.Capacity{Slots: h.slots, Free: h.freeSlots()}
	for _, m := range h.workers {
		free := m.freeResources()
		r.Workers.Cores += max(0, free.Cores)
		r.Workers.Memory += max(0, free.Memory)
		r.Workers.Accelerators += max(0, free.Accelerators)
	}
	return r
}
