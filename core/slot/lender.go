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
	// takeoverWait is how long a machine that is new to this lender is not lent, while the borrowers
	// of its previous lender report what they hold.
	takeoverWait = 100 * time.Millisecond
	// contendedTTL and uncontendedTTL are the TTL of a loan while other entries wait for machines
	// of the kind, and while none does.
	contendedTTL   = 500 * time.Millisecond
	uncontendedTTL = 5 * time.Second
	// reconcileAfter is the time without a change after which the totals of a loan are compared
	// with those of its borrower.
	reconcileAfter = 5 * time.Second
	// pruneAfter is how long a loan that was returned completely is kept.
	pruneAfter = time.Minute
	// classBonus is the waiting time by which each class ranks before the one below it.
	classBonus = 5 * time.Second
	// remotePenalty is added to the rank of requests from other data centres.
	remotePenalty = 100 * time.Millisecond
)

// lender lends the machines that this entry owns.
type lender struct {
	self       cornelwall.Incarnation
	health     *health.Table
	machines   map[string]*machine
	executors  *heap.Heap[*machine] // the one with the most free slots on top
	workers    []*machine           // by name
	loans      map[loanKey]*loan
	requests   map[requestKey]*request
	lastSeries uint64
	slots      int            // of all executors, within their limits
	lentSlots  int            // of the slots
	recheckAt  time.Time      // when a pause or takeover of a machine ends next; zero is never
	rackLoad   map[string]int // tasks on the workers of each rack
}

// loanKey identifies a loan.
type loanKey struct {
	borrower cornelwall.Incarnation
	machine  string
	need     cornelwall.Need
}

// loan is the capacity of a machine that a borrower holds for one need. Messages carry the totals
// rather than differences, so that lost and duplicate ones do no harm. When a loan starts again
// after it was dropped, it gets a new series; returns of another series are ignored.
type loan struct {
	series     uint64
	granted    uint64 // total of units lent
	returned   uint64 // total of units returned
	lastChange time.Time
}

// outstanding returns the number of units that the borrower holds.
func (l *loan) outstanding() int { return int(l.granted - l.returned) }

// requestKey identifies a request.
type requestKey struct {
	borrower cornelwall.Incarnation
	need     cornelwall.Need
}

// request is the number of tasks of one need for which an entry waits for capacity.
type request struct {
	key     requestKey
	count   int
	rank    time.Time // the earliest is served first
	expires time.Time
}

func newLender(self cornelwall.Incarnation) *lender {
	return &lender{
		self: self, health: health.New(),
		machines: map[string]*machine{}, loans: map[loanKey]*loan{}, requests: map[requestKey]*request{},
		executors: newExecutors(), rackLoad: map[string]int{},
	}
}

// setMachines replaces the machines of this lender and returns the names of those that are new to
// it. Loans of the machines that stay continue.
func (le *lender) setMachines(now time.Time, vms []cornelwall.VM) (added []string) {
	next := make(map[string]*machine, len(vms))
	for _, vm := range vms {
		m := le.machines[vm.Name]
		if m == nil {
			m = &machine{index: -1, takeoverUntil: now.Add(takeoverWait)}
			added = append(added, vm.Name)
		}
		m.vm = vm
		next[vm.Name] = m
	}
	for key := range le.loans {
		if next[key.machine] == nil {
			delete(le.loans, key)
		}
	}
	le.machines = next
	le.health.Retain(func(name string) bool { return next[name] != nil })
	le.refresh(now)
	slices.Sort(added)
	return added
}

// endTakeover makes new machines available at once, without takeoverWait. It is called if no peer is
// reachable that could report what it holds of them.
func (le *lender) endTakeover(now time.Time, names []string) {
	for _, name := range names {
		if m := le.machines[name]; m != nil {
			m.takeoverUntil = time.Time{}
		}
	}
	le.refresh(now)
}

// refresh recomputes the limits of all machines and what derives from them.
func (le *lender) refresh(now time.Time) {
	le.executors, le.workers = newExecutors(), le.workers[:0]
	le.recheckAt = time.Time{}
	le.slots, le.lentSlots = 0, 0
	clear(le.rackLoad)
	for _, name := range slices.Sorted(maps.Keys(le.machines)) {
		m := le.machines[name]
		le.setLimit(now, m)
		if m.vm.Kind == cornelwall.Executor {
			le.lentSlots += m.lentTasks
			le.slots += m.limit
			le.executors.Push(m)
		} else {
			le.rackLoad[m.vm.Rack] += m.lentTasks
			le.workers = append(le.workers, m)
		}
	}
}

// setLimit sets how many tasks a machine may run at once. If that is none until a known time, it
// schedules a recheck.
func (le *lender) setLimit(now time.Time, m *machine) {
	maxTasks := m.vm.Slots
	if m.vm.Kind == cornelwall.Worker {
		maxTasks = max(1, m.vm.Capacity.Cores+m.vm.Capacity.Accelerators)
	}
	until := le.health.PausedUntil(now, m.vm.Name)
	if m.takeoverUntil.After(now) && m.takeoverUntil.After(until) {
		until = m.takeoverUntil
	}
	switch {
	case m.vm.State != cornelwall.Live:
		m.limit = 0
	case !until.IsZero():
		m.limit = 0
		if le.recheckAt.IsZero() || until.Before(le.recheckAt) {
			le.recheckAt = until
		}
	default:
		m.limit = le.health.Limit(now, m.vm.Name, maxTasks)
	}
}

// updateLimit recomputes the limit of one machine.
func (le *lender) updateLimit(now time.Time, m *machine) {
	if m.vm.Kind == cornelwall.Executor {
		le.slots -= m.limit
	}
	le.setLimit(now, m)
	if m.vm.Kind == cornelwall.Executor {
		le.slots += m.limit
	}
	if m.index >= 0 && m.vm.Kind == cornelwall.Executor {
		le.executors.Fix(m)
	}
}

// setRequest replaces the request of an entry for a need; a count of 0 removes it.
func (le *lender) setRequest(now time.Time, borrower cornelwall.Incarnation, req *cornelwall.LoanRequest) {
	key := requestKey{borrower, req.Need}
	if req.Count == 0 {
		delete(le.requests, key)
		return
	}
	rank := now.Add(-time.Duration(req.Age) - time.Duration(req.Class)*classBonus)
	if borrower.DataCentre != le.self.DataCentre {
		rank = rank.Add(remotePenalty)
	}
	le.requests[key] = &request{key: key, count: req.Count, rank: rank, expires: now.Add(time.Duration(req.TTL))}
}

// loan returns the loan of the key. If there is none, it starts one with a new series.
func (le *lender) loan(now time.Time, key loanKey) *loan {
	l := le.loans[key]
	if l == nil {
		le.lastSeries++
		l = &loan{series: le.lastSeries, lastChange: now}
		le.loans[key] = l
	}
	return l
}

// reserve adds n tasks of the need to what is lent of a machine; n may be negative.
func (le *lender) reserve(now time.Time, m *machine, need cornelwall.Need, n int) {
	m.reserve(now, need, n)
	if m.vm.Kind == cornelwall.Executor {
		le.lentSlots += n
		le.executors.Fix(m)
	} else {
		le.rackLoad[m.vm.Rack] += n
	}
}

// acceptReturn takes units back from a borrower. It is idempotent: the total of the next message
// makes up for a lost one, and a duplicate changes nothing. A report of units in use for which
// there is no loan, sent by a borrower of the machine's previous lender, starts a loan.
func (le *lender) acceptReturn(now time.Time, borrower cornelwall.Incarnation, ret *cornelwall.LoanReturn) {
	m := le.machines[ret.Machine]
	l := le.loans[loanKey{borrower, ret.Machine, ret.Need}]
	if m == nil {
		return
	}
	if ret.Using > 0 && l == nil {
		l = le.loan(now, loanKey{borrower, ret.Machine, ret.Need})
		l.series, l.granted = ret.Series, uint64(ret.Using)
		le.reserve(now, m, ret.Need, ret.Using)
	}
	if l != nil && l.series == ret.Series && ret.Total > l.returned {
		n := min(ret.Total, l.granted) - l.returned
		l.returned += n
		l.lastChange = now
		le.reserve(now, m, ret.Need, -int(n))
	}
}

// recordOutcomes passes the outcomes of starts on a machine on to its health, and recomputes its
// limit.
func (le *lender) recordOutcomes(now time.Time, ret *cornelwall.LoanReturn) {
	m := le.machines[ret.Machine]
	if m == nil || ret.Done+ret.MachineFaults+ret.Busy+ret.ConnectFailures == 0 {
		return
	}
	if ret.Done > 0 {
		le.health.Done(ret.Machine, ret.Done, ret.SlowdownPercentSum)
	}
	if ret.MachineFaults > 0 {
		le.health.Failed(now, ret.Machine, ret.MachineFaults)
	}
	if ret.Busy > 0 {
		le.health.Busy(now, ret.Machine)
	}
	if ret.ConnectFailures > 0 {
		le.health.ConnectFailed(now, ret.Machine)
	}
	le.updateLimit(now, m)
}

// reclaim takes back all loans of an incarnation that was lost, and drops its requests.
func (le *lender) reclaim(now time.Time, borrower cornelwall.Incarnation) {
	for key, l := range le.loans {
		if key.borrower != borrower {
			continue
		}
		if m := le.machines[key.machine]; m != nil && l.outstanding() > 0 {
			le.reserve(now, m, key.need, -l.outstanding())
		}
		delete(le.loans, key)
	}
	maps.DeleteFunc(le.requests, func(key requestKey, _ *request) bool { return key.borrower == borrower })
}

// loansToReconcile returns the loans that have not changed for reconcileAfter, those to this entry
// included, so that both sides can compare their totals. It drops those that were returned long ago.
func (le *lender) loansToReconcile(now time.Time) []grant {
	var grants []grant
	for key, l := range le.loans {
		switch {
		case l.outstanding() == 0 && now.Sub(l.lastChange) > pruneAfter:
			delete(le.loans, key)
		case l.outstanding() > 0 && now.Sub(l.lastChange) > reconcileAfter:
			l.lastChange = now
			grants = append(grants, grant{borrower: key.borrower, machine: key.machine, need: key.need, loan: l})
		}
	}
	slices.SortFunc(grants, func(a, b grant) int {
		return cmp.Or(a.borrower.Compare(b.borrower), cmp.Compare(a.machine, b.machine), cmp.Compare(a.need.Cores, b.need.Cores),
			cmp.Compare(a.need.Memory, b.need.Memory), cmp.Compare(a.need.Accelerators, b.need.Accelerators))
	})
	return grants
}

// freeSlots returns the number of free executor slots.
func (le *lender) freeSlots() int { return max(0, le.slots-le.lentSlots) }

// capacity returns the total and free capacity of the machines that this entry owns.
func (le *lender) capacity() cornelwall.Capacity {
	total := cornelwall.Capacity{Slots: le.slots, Free: le.freeSlots()}
	for _, m := range le.workers {
		free := m.freeResources()
		total.Workers.Cores += max(0, free.Cores)
		total.Workers.Memory += max(0, free.Memory)
		total.Workers.Accelerators += max(0, free.Accelerators)
	}
	return total
}
