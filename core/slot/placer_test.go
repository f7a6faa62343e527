package slot_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cornelwall"
	"cornelwall/core/slot"
	_ "cornelwall/standin/seeded"
)

var start = time.Unix(1700000000, 0)

// entry is a placer with its host: the waiting tasks and the running ones.
type entry struct {
	*slot.Placer
	id      cornelwall.Incarnation
	waiting int
	running []cornelwall.Place
	network *network
}

// network carries messages between entries, and may lose or duplicate them.
type network struct {
	now     time.Time
	entries []*entry
	queue   []delivery
	copies  func() int // copies of a message that arrive; -1 loses it and reports it as undelivered
}

type delivery struct {
	from, to *entry
	m        cornelwall.Message
}

func (e *entry) Needs() []cornelwall.Need {
	if e.waiting == 0 {
		return nil
	}
	return []cornelwall.Need{{}}
}
func (e *entry) Waiting(cornelwall.Need) int { return e.waiting }
func (e *entry) Head(cornelwall.Need) (cornelwall.Class, time.Time) {
	return cornelwall.Normal, e.network.now
}
func (e *entry) ExpectedRunTime() time.Duration { return 300 * time.Millisecond }

func (e *entry) StartNext(p cornelwall.Place) bool {
	if e.waiting == 0 {
		return false
	}
	e.waiting--
	e.running = append(e.running, p)
	return true
}

func (e *entry) Peers() []cornelwall.PeerCapacity {
	var ps []cornelwall.PeerCapacity
	for _, p := range e.network.entries {
		if p != e {
			ps = append(ps, cornelwall.PeerCapacity{ID: p.id, Capacity: p.Capacity(), At: e.network.now})
		}
	}
	return ps
}

func (e *entry) Send(to cornelwall.Incarnation, m cornelwall.Message) {
	for _, p := range e.network.entries {
		if p.id == to {
			e.network.queue = append(e.network.queue, delivery{e, p, m})
		}
	}
}

// deliver delivers all messages and calls Place on their receivers.
func (n *network) deliver() {
	for len(n.queue) > 0 {
		s := n.queue[0]
		n.queue = n.queue[1:]
		copies := n.copies()
		if copies < 0 {
			s.from.Undelivered(n.now, s.to.id, &s.m)
		}
		for range copies {
			s.to.Receive(n.now, s.from.id, &s.m)
			s.to.Place(n.now, s.to)
		}
	}
}

// advance moves the time forward in steps, with a heartbeat of each entry.
func (n *network) advance(d time.Duration) {
	const step = 500 * time.Millisecond
	for t := time.Duration(0); t < d; t += step {
		n.now = n.now.Add(step)
		for _, e := range n.entries {
			e.Heartbeat(n.now, e)
			e.Place(n.now, e)
			n.deliver()
		}
	}
}

// endTask ends the i-th running task.
func (e *entry) endTask(i int) {
	p := e.running[i]
	e.running = append(e.running[:i], e.running[i+1:]...)
	e.Release(e.network.now, p, cornelwall.StartReport{Started: true})
	e.Place(e.network.now, e)
	e.network.deliver()
}

// machines returns n executors of 8 slots.
func machines(n int) []cornelwall.VM {
	var vms []cornelwall.VM
	for i := range n {
		vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("x%d", i), Kind: cornelwall.Executor, DataCentre: "ikeja", Slots: 8})
	}
	return vms
}

// newNetwork returns entries that each own some executors.
func newNetwork(entries, each int) *network {
	n := &network{now: start, copies: func() int { return 1 }}
	for i := range entries {
		id := cornelwall.Incarnation{DataCentre: "ikeja", Entry: fmt.Sprintf("e%d", i), Epoch: 1}
		n.entries = append(n.entries, &entry{Placer: slot.New(id), id: id, network: n})
	}
	vms := machines(entries * each)
	all := map[string]cornelwall.VM{}
	for _, vm := range vms {
		all[vm.Name] = vm
	}
	for i, e := range n.entries {
		e.SetMachines(n.now, all, vms[i*each:(i+1)*each])
	}
	n.advance(time.Second)
	return n
}

// TestNoSlotLeaks runs tasks over a network that loses messages, with and without a report of it,
// and duplicates them. It checks that every slot is free again in the end.
func TestNoSlotLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(3, 2)
		n.copies = func() int { return rapid.SampledFrom([]int{1, 1, 1, 0, 2, -1}).Draw(t, "copies") }
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			e := n.entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			if len(e.running) > 0 && rapid.Bool().Draw(t, "end") {
				e.endTask(rapid.IntRange(0, len(e.running)-1).Draw(t, "task"))
				continue
			}
			e.waiting += rapid.IntRange(1, 40).Draw(t, "tasks")
			e.Place(n.now, e)
			n.deliver()
		}
		n.copies = func() int { return 1 }
		for range 100 {
			for _, e := range n.entries {
				for len(e.running) > 0 {
					e.endTask(0)
				}
			}
			n.advance(time.Second)
		}
		for _, e := range n.entries {
			assert.Equal(t, e.waiting, 0)
			assert.Equal(t, e.Capacity().Free, 16, "entry %s leaked slots", e.id.Entry)
		}
	})
}

// TestBorrow runs more tasks than the entry has slots and checks that a peer lends.
func TestBorrow(t *testing.T) {
	n := newNetwork(2, 2)
	e := n.entries[0]
	e.waiting = 28
	e.Place(n.now, e)
	n.deliver()
	assert.Equal(t, len(e.running), 28)
	assert.Equal(t, n.entries[1].Capacity().Free, 4)
	for len(e.running) > 0 {
		e.endTask(0)
	}
	n.advance(time.Second)
	assert.Equal(t, n.entries[1].Capacity().Free, 16)
}

// TestBorrowFromSmallLender asks a peer with a few slots, which never has many free.
func TestBorrowFromSmallLender(t *testing.T) {
	n := newNetwork(2, 1)
	e := n.entries[0]
	n.entries[1].waiting = 5
	n.entries[1].Place(n.now, n.entries[1])
	e.waiting = 11
	e.Place(n.now, e)
	n.deliver()
	assert.Equal(t, len(e.running), 11)
}

// TestTakeOwnership moves all machines to another entry while tasks run on them. The new lender must
// not lend the slots that are in use.
func TestTakeOwnership(t *testing.T) {
	n := newNetwork(2, 2)
	a, b := n.entries[0], n.entries[1]
	a.waiting = 12
	a.Place(n.now, a)
	assert.Equal(t, len(a.running), 12)
	vms := machines(4)
	all := map[string]cornelwall.VM{}
	for _, vm := range vms {
		all[vm.Name] = vm
	}
	a.SetMachines(n.now, all, nil)
	b.SetMachines(n.now, all, vms)
	n.advance(time.Second)
	assert.Equal(t, b.Capacity().Free, 4*8-12)
	for len(a.running) > 0 {
		a.endTask(0)
	}
	n.advance(time.Second)
	assert.Equal(t, b.Capacity().Free, 4*8)
}

// TestBorrowerLost takes back the loans of an entry that was lost.
func TestBorrowerLost(t *testing.T) {
	n := newNetwork(2, 2)
	a, b := n.entries[0], n.entries[1]
	a.waiting = 28
	a.Place(n.now, a)
	n.deliver()
	assert.Equal(t, b.Capacity().Free, 4)
	b.PeerLost(n.now, a.id)
	assert.Equal(t, b.Capacity().Free, 16)
}

// TestLateUsageReports checks that usage reports never free what was lent after they were made, and
// that resources used by others are not lent.
func TestLateUsageReports(t *testing.T) {
	id := cornelwall.Incarnation{DataCentre: "ikeja", Entry: "e0", Epoch: 1}
	n := &network{now: start, copies: func() int { return 1 }}
	w := &workerEntry{entry: entry{Placer: slot.New(id), id: id, network: n}, need: cornelwall.Need{Cores: 4}}
	vm := cornelwall.VM{Name: "w0", Kind: cornelwall.Worker, DataCentre: "ikeja", Capacity: cornelwall.Need{Cores: 16, Memory: 64}}
	w.SetMachines(start, map[string]cornelwall.VM{"w0": vm}, []cornelwall.VM{vm})
	w.Place(start, w)
	place := func(after time.Duration, tasks int) int {
		w.waiting, w.running = tasks, nil
		w.Place(start.Add(after), w)
		return len(w.running)
	}
	assert.Equal(t, place(time.Second, 2), 2)
	// The report was made before the two started: 4 cores are used by others.
	w.Usage(start.Add(2*time.Second), "w0", cornelwall.Need{Cores: 4}, 1500*time.Millisecond)
	assert.Equal(t, place(2*time.Second, 9), 1)
	// The report was made while the first two ran: nothing is used by others.
	w.Usage(start.Add(3*time.Second), "w0", cornelwall.Need{Cores: 8}, 1500*time.Millisecond)
	assert.Equal(t, place(3*time.Second, 9), 1)
	assert.Equal(t, place(4*time.Second, 9), 0)
}

// workerEntry is an entry whose tasks need workers.
type workerEntry struct {
	entry
	need cornelwall.Need
}

func (e *workerEntry) Needs() []cornelwall.Need {
	if e.waiting == 0 {
		return nil
	}
	return []cornelwall.Need{e.need}
}

// BenchmarkPlace starts and ends a task on the only free slot of an entry with so many executors.
func BenchmarkPlace(b *testing.B) {
	for _, executors := range []int{30, 60, 120, 240} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			n := newNetwork(1, executors)
			e := n.entries[0]
			e.waiting = executors*8 - 1
			e.Place(n.now, e)
			for b.Loop() {
				e.waiting++
				e.Place(n.now, e)
				p := e.running[len(e.running)-1]
				e.running = e.running[:len(e.running)-1]
				e.Release(n.now, p, cornelwall.StartReport{Started: true})
			}
		})
	}
}

// BenchmarkRefresh measures a heartbeat of an entry with so many executors.
func BenchmarkRefresh(b *testing.B) {
	for _, executors := range []int{30, 60, 120, 240} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			n := newNetwork(1, executors)
			for b.Loop() {
				n.entries[0].Heartbeat(n.now, n.entries[0])
			}
		})
	}
}

// TestOwnLoansAfterStaleTakeOwnership guards against slots that stay lent to their own lender after a late TakeOwnership.
func TestOwnLoansAfterStaleTakeOwnership(t *testing.T) {
	n := newNetwork(2, 2)
	a, b := n.entries[0], n.entries[1]
	a.waiting = 16
	a.Place(n.now, a)
	assert.Equal(t, a.Capacity().Free, 0)
	stale := cornelwall.Message{TakeOwnership: &cornelwall.TakeOwnership{Series: 1, Machines: []string{"x0", "x1"}}}
	a.Receive(n.now, b.id, &stale)
	a.Place(n.now, a)
	n.deliver()
	for len(a.running) > 0 {
		a.endTask(0)
	}
	n.advance(10 * time.Second)
	assert.Equal(t, a.Capacity().Free, 16, "slots leaked")
}
