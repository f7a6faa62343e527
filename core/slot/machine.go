package slot

import (
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/heap"
)

// usageWindow is how long a worker's reservations are remembered, to compare them
// with usage reports that lag.
const usageWindow = 10 * time.Second

// machine is a machine of this home.
type machine struct {
	vm            cornelwall.VM
	limit         int             // tasks at once, by its health
	lentTasks     int             // tasks
	lentResources cornelwall.Need // of a worker, lent
	external      cornelwall.Need // of a worker, used by others than this system
	history       []reservation   // of a worker
	takeoverUntil time.Time       // no loans before, while borrowers of the last home report
	index         int             // in the heap of executors
}

// reservation is what was lent of a worker from a time on.
type reservation struct {
	at            time.Time
	lentResources cornelwall.Need
}

// freeSlots returns how many tasks an executor could take.
func (m *machine) freeSlots() int { return m.limit - m.lentTasks }

// freeResources returns what is free of a worker.
func (m *machine) freeResources() cornelwall.Need {
	return cornelwall.Need{
		Cores:        m.vm.Capacity.Cores - m.lentResources.Cores - m.external.Cores,
		Memory:       m.vm.Capacity.Memory - m.lentResources.Memory - m.external.Memory,
		Accelerators: m.vm.Capacity.Accelerators - m.lentResources.Accelerators - m.external.Accelerators,
	}
}

// fits reports whether a worker can take a task of the need.
func (m *machine) fits(need cornelwall.Need) bool {
	return m.lentTasks < m.limit && need.Fits(m.freeResources())
}

// reserve adds n tasks of the need to what is lent, or takes them off if n is negative.
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

// recordUsage takes a report of what all tasks on a worker took up so long ago. What is more
// than was lent then is used by others. Reports never free what is lent: a task that
// starts later than the report was made is not in it.
func (m *machine) recordUsage(now time.Time, used cornelwall.Need, lag time.Duration) {
	then := m.lentResources
	for _, r := range m.history {
		if r.at.After(now.Add(-lag)) {
			break
		}
		then = r.lentResources
	}
	if lag > usageWindow {
		return // too old to tell
	}
	m.external = cornelwall.Need{
		Cores:        max(0, used.Cores-then.Cores),
		Memory:       max(0, used.Memory-then.Memory),
		Accelerators: max(0, used.Accelerators-then.Accelerators),
	}
}

// moreFreeSlots reports whether a goes before b in the heap of executors.
func moreFreeSlots(a, b *machine) bool {
	if x, y := a.freeSlots(), b.freeSlots(); x != y {
		return x > y
	}
	return a.vm.Name < b.vm.Name
}

func newExecutors() *heap.Heap[*machine] {
	return heap.New(moreFreeSlots, func(m *machine) *int { return &m.index })
}
