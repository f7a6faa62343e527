package slot

import (
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

// usageWindow is how far back the reservations of a worker are kept, to compare usage reports with
// what was lent when they were made.
const usageWindow = 10 * time.Second

// machine is an executor or worker that this entry owns.
type machine struct {
	vm            cornelwall.VM
	limit         int // tasks that it may run at once
	lentTasks     int
	lentResources cornelwall.Need // of a worker
	external      cornelwall.Need // of a worker, in use by processes outside this system
	history       []reservation   // of a worker, the oldest first
	takeoverUntil time.Time       // not lent before this time, see takeoverWait
	index         int             // in the heap of executors
}

// reservation is what was lent of a worker from the time at on.
type reservation struct {
	at            time.Time
	lentResources cornelwall.Need
}

// freeSlots returns the number of further tasks that an executor may run.
func (m *machine) freeSlots() int { return m.limit - m.lentTasks }

// freeResources returns the resources of a worker that are neither lent nor used by others.
func (m *machine) freeResources() cornelwall.Need {
	return cornelwall.Need{
		Cores:        m.vm.Capacity.Cores - m.lentResources.Cores - m.external.Cores,
		Memory:       m.vm.Capacity.Memory - m.lentResources.Memory - m.external.Memory,
		Accelerators: m.vm.Capacity.Accelerators - m.lentResources.Accelerators - m.external.Accelerators,
	}
}

// fits reports whether a worker can run one more task of the need.
func (m *machine) fits(need cornelwall.Need) bool {
	return m.lentTasks < m.limit && need.Fits(m.freeResources())
}

// reserve adds n tasks of the need to what is lent; n may be negative.
func (m *machine) reserve(now time.Time, need cornelwall.Need, n int) {
	m.lentTasks += n
	if m.vm.Kind != cornelwall.Worker {
		return
	}
	if len(m.history) == 0 {
		m.history = append(m.history, reservation{lentResources: m.lentResources})
	}
	m.lentResources.Cores += n * need.Cores
	m.lentResources.Memory += n * need.Memory
	m.lentResources.Accelerators += n * need.Accelerators
	m.history = append(m.history, reservation{at: now, lentResources: m.lentResources})
	for len(m.history) > 1 && now.Sub(m.history[1].at) > usageWindow {
		m.history = slices.Delete(m.history, 0, 1)
	}
}

// recordUsage handles a measurement of what is in use on a worker; lag is its age. What exceeds the
// reservation of that time is used outside this system. A measurement never frees lent resources,
// since it does not include the tasks that started after it was made.
func (m *machine) recordUsage(now time.Time, used cornelwall.Need, lag time.Duration) {
	then := m.lentResources
	for _, r := range m.history {
		if r.at.After(now.Add(-lag)) {
			break
		}
		then = r.lentResources
	}
	if lag > usageWindow {
		return // older than the history
	}
	m.external = cornelwall.Need{
		Cores:        max(0, used.Cores-then.Cores),
		Memory:       max(0, used.Memory-then.Memory),
		Accelerators: max(0, used.Accelerators-then.Accelerators),
	}
}

// moreFreeSlots orders the heap of executors: the most free slots first, then by name.
func moreFreeSlots(a, b *machine) bool {
	if x, y := a.freeSlots(), b.freeSlots(); x != y {
		return x > y
	}
	return a.vm.Name < b.vm.Name
}

func newExecutors() *heap.Heap[*machine] {
	return heap.New(moreFreeSlots, func(m *machine) *int { return &m.index })
}
