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
	vm     cornelwall.VM
	limit  int             // tasks at once, by its health
	lent   int             // tasks
	used   cornelwall.Need // of a worker, lent
	others cornelwall.Need // of a worker, used by others than this system
	past   []reserved      // of a worker
	adopt  time.Time       // no loans before, while borrowers of the last home report
	index  int             // in the heap of executors
}

// reserved is what was lent of a worker from a time on.
type reserved struct {
	at   time.Time
	used cornelwall.Need
}

// room returns how many tasks an executor could take.
func (m *machine) room() int { return m.limit - m.lent }

// free returns what is free of a worker.
func (m *machine) free() cornelwall.Need {
	return cornelwall.Need{
		Cores:        m.vm.Capacity.Cores - m.used.Cores - m.others.Cores,
		Memory:       m.vm.Capacity.Memory - m.used.Memory - m.others.Memory,
		Accelerators: m.vm.Capacity.Accelerators - m.used.Accelerators - m.others.Accelerators,
	}
}

// fits reports whether a worker can take a task of the need.
func (m *machine) fits(need cornelwall.Need) bool { return m.lent < m.limit && need.Fits(m.free()) }

// reserve adds n tasks of the need to what is lent, or takes them off if n is negative.
func (m *machine) reserve(now time.Time, need cornelwall.Need, n int) {
	m.lent += n
	if m.vm.Kind != cornelwall.Worker {
		return
	}
	if len(m.past) == 0 {
		m.past = append(m.past, reserved{used: m.used})
	}
	m.used.Cores += n * need.Cores
	m.used.Memory += n * need.Memory
	m.used.Accelerators += n * need.Accelerators
	m.past = append(m.past, reserved{at: now, used: m.used})
	for len(m.past) > 1 && now.Sub(m.past[1].at) > usageWindow {
		m.past = slices.Delete(m.past, 0, 1)
	}
}

// usage takes a report of what all tasks on a worker took up so long ago. What is more
// than was lent then is used by others. Reports never free what is lent: a task that
// starts later than the report was made is not in it.
func (m *machine) usage(now time.Time, used cornelwall.Need, lag time.Duration) {
	then := m.used
	for _, r := range m.past {
		if r.at.After(now.Add(-lag)) {
			break
		}
		then = r.used
	}
	if lag > usageWindow {
		return // too old to tell
	}
	m.others = cornelwall.Need{
		Cores:        max(0, used.Cores-then.Cores),
		Memory:       max(0, used.Memory-then.Memory),
		Accelerators: max(0, used.Accelerators-then.Accelerators),
	}
}

// roomier reports whether a goes before b in the heap of executors.
func roomier(a, b *machine) bool {
	if x, y := a.room(), b.room(); x != y {
		return x > y
	}
	return a.vm.Name < b.vm.Name
}

func newExecutors() *heap.Heap[*machine] {
	return heap.New(roomier, func(m *machine) *int { return &m.index })
}
