package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cornelwall"
)

func queueLoad(capacities ...cornelwall.FreeCapacity) *QueueLoad {
	var l QueueLoad
	for i := range capacities {
		l.Add(&capacities[i])
	}
	return &l
}

// TestAhead guards against an admission by the best holder alone, which all owners would fill at once.
func TestAhead(t *testing.T) {
	crowded := cornelwall.FreeCapacity{Total: 16000, Queued: []int{0, 16000 * 300, 16000 * 100, 0}}
	idle := cornelwall.FreeCapacity{Total: 16000}
	for _, tc := range []struct {
		name  string
		load  *QueueLoad
		class int
		want  time.Duration
	}{
		{"no holder", &QueueLoad{}, 0, 0},
		{"no capacity", queueLoad(cornelwall.FreeCapacity{}), 0, 0},
		{"lower classes go behind", queueLoad(crowded), 0, 0},
		{"own class", queueLoad(crowded), 1, 300 * ms},
		{"higher classes go first", queueLoad(crowded), 2, 400 * ms},
		{"mean of all holders", queueLoad(crowded, idle), 2, 200 * ms},
		{"implausible", queueLoad(cornelwall.FreeCapacity{Total: 16000, Queued: []int{-16000 * 300, 16000 * 100}}), 1, 100 * ms},
		{"no capacity left", queueLoad(cornelwall.FreeCapacity{Queued: []int{1000}}), 0, 0},
		{"report of an older entry without classes", queueLoad(idle), 7, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.load.Ahead(tc.class), tc.want)
		})
	}
}

// TestOvertaken guards against batches of a low class that are taken and then overtaken until they can't be on time.
func TestOvertaken(t *testing.T) {
	l := ServiceLoad{Demand: ClassDemand{20, 30, 100}, Capacity: 100, Entries: 3}
	assert.Equal(t, l.Overtaken(100*ms, 0), 100*ms)
	assert.Equal(t, l.Overtaken(100*ms, 1), 125*ms)
	assert.Equal(t, l.Overtaken(100*ms, 2), 200*ms)
	assert.Equal(t, l.Overtaken(100*ms, 3), 400*ms) // more demand than capacity
	assert.Equal(t, (&ServiceLoad{}).Overtaken(100*ms, 2), 100*ms)
}

// TestAdmitQueued admits a batch of a task of 400 ms that is due after 600 ms and of use for 1800 ms. It guards against
// batches that are taken although they will be late, in the place of others that can be on time.
func TestAdmitQueued(t *testing.T) {
	base := Batch{Due: now.Add(600 * ms), UsefulUntil: now.Add(1800 * ms), Deadline: now.Add(2 * time.Second), CriticalPath: 400 * ms}
	for _, tc := range []struct {
		name   string
		change func(*Batch)
		ahead  time.Duration
		want   Admission
	}{
		{"nothing queued", func(*Batch) {}, 0, Admit},
		{"on time", func(*Batch) {}, 200 * ms, Admit},
		{"late", func(*Batch) {}, 201 * ms, RefuseShed},
		{"of no use", func(*Batch) {}, 1500 * ms, RefuseFull},
		{"late in any case, nothing queued", func(b *Batch) { b.Due = now.Add(300 * ms) }, 0, Admit},
		{"late in any case, short queue", func(b *Batch) { b.Due = now.Add(300 * ms) }, 100 * ms, Admit},
		{"late in any case, long queue", func(b *Batch) { b.Due = now.Add(300 * ms) }, 101 * ms, RefuseShed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := base
			tc.change(&b)
			assert.Equal(t, b.AdmitQueued(now, tc.ahead), tc.want)
		})
	}
}

// TestMakesWay guards against a batch that keeps its places in the queues although it can't be on time, and
// against one that is refused although its tasks have run or nobody else waits.
func TestMakesWay(t *testing.T) {
	base := Batch{Due: now.Add(160 * ms), UsefulUntil: now.Add(480 * ms), Deadline: now.Add(time.Second), CriticalPath: 60 * ms, LongestUnstarted: 60 * ms, Crowded: true}
	for _, tc := range []struct {
		name   string
		change func(*Batch)
		after  time.Duration
		want   Verdict
	}{
		{"can be on time", func(*Batch) {}, 130 * ms, Proceed},
		{"can't", func(*Batch) {}, 131 * ms, WithdrawWaiting},
		{"can't, nothing assigned", func(b *Batch) { b.Unassigned = true }, 131 * ms, Refuse},
		{"can't, but nobody else waits", func(b *Batch) { b.Crowded = false }, 131 * ms, Proceed},
		{"can't, but a task has run", func(b *Batch) { b.Started = true }, 131 * ms, Proceed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := base
			tc.change(&b)
			assert.Equal(t, b.Judge(now.Add(tc.after)), tc.want)
		})
	}
}

// TestIsCrowded guards against a batch that makes way for its own waiting tasks.
func TestIsCrowded(t *testing.T) {
	l := queueLoad(cornelwall.FreeCapacity{Total: 16000, Queued: []int{16000 * 30, 0, 16000 * 12, 0}}, cornelwall.FreeCapacity{Total: 16000})
	assert.Equal(t, l.Drain(), 21*ms)
	assert.Assert(t, l.IsCrowded(0))
	assert.Assert(t, !l.IsCrowded(16000*30))
	assert.Assert(t, !new(QueueLoad).IsCrowded(0))
}

// TestClassShares guards against a class that gets nothing as long as higher ones have work.
func TestClassShares(t *testing.T) {
	var s ClassShares
	assert.Assert(t, !s.IsStarved(now, 2)) // nothing has started
	s.Record(now, 0, 8000, time.Second)
	assert.Assert(t, s.IsStarved(now, 2))
	s.Record(now, 2, 8000, 200*ms)
	assert.Assert(t, !s.IsStarved(now, 2))
	assert.Assert(t, s.IsStarved(now, 1))
	assert.Assert(t, !s.IsStarved(now.Add(time.Hour), 1)) // long ago
	assert.Assert(t, s.IsStarved(now, 17) == s.IsStarved(now, cornelwall.FreeCapacityClasses-1))
}

// TestRank orders runs of batches of 100 ms that are due after 200 ms.
func TestRank(t *testing.T) {
	type waiting struct {
		Waiting
		here    int
		cores   int
		starved bool
	}
	run := func(change func(*waiting)) Rank {
		w := waiting{Waiting: Waiting{Remaining: 1, BatchSize: 1, Estimate: 100 * ms, Due: now.Add(200 * ms), UsefulUntil: now.Add(600 * ms)}, here: 1, cores: 8000}
		change(&w)
		return w.RankAmong(now, w.here, 0.5, w.cores, w.starved)
	}
	for _, tc := range []struct {
		name          string
		first, second func(*waiting)
	}{
		{"higher class", func(*waiting) {}, func(w *waiting) { w.Class = 1 }},
		{"higher class, half of the other batch has run", func(*waiting) {}, func(w *waiting) { w.Class, w.Remaining = 1, 0.5 }},
		{"last task of a batch of a lower class", func(w *waiting) { w.Class, w.Remaining = 1, 0.25 }, func(*waiting) {}},
		{"lower class that can be on time", func(w *waiting) { w.Class = 1 }, func(w *waiting) { w.Due = now.Add(99 * ms) }},
		{"last task of a late batch", func(w *waiting) { w.Due, w.Remaining = now.Add(99*ms), 0.125 }, func(*waiting) {}},
		{"late before useless", func(w *waiting) { w.Due = now.Add(99 * ms) }, func(w *waiting) { w.Due, w.UsefulUntil = now, now.Add(99*ms) }},
		{"starved class", func(w *waiting) { w.Class, w.starved = 2, true }, func(w *waiting) { w.Remaining = 0.02 }},
		{"starved, but late", func(*waiting) {}, func(w *waiting) { w.Class, w.starved, w.Due = 2, true, now.Add(99*ms) }},
		{"large task", func(w *waiting) { w.cores = 9000 }, func(*waiting) {}},
		{"due earlier", func(w *waiting) { w.Due = now.Add(150 * ms) }, func(*waiting) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, run(tc.first).Compare(run(tc.second)) < 0)
			assert.Assert(t, run(tc.second).Compare(run(tc.first)) > 0)
		})
	}
}

// TestEarliestFit guards against an endpoint that is kept free for a run which never fits there.
func TestEarliestFit(t *testing.T) {
	cores := func(n int) cornelwall.Resources { return cornelwall.Resources{Cores: n} }
	runs := []Occupied{{cores(7000), now.Add(300 * ms)}, {cores(6000), now.Add(50 * ms)}, {cores(1000), now.Add(-10 * ms)}}
	for _, tc := range []struct {
		name string
		need int
		want time.Duration
		ok   bool
	}{
		{"at once", 2000, 0, true},
		{"once an overdue run ends", 3000, 0, true},
		{"after the first end", 9000, 50 * ms, true},
		{"after all", 16000, 300 * ms, true},
		{"never", 16001, 300 * ms, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, ok := EarliestFit(now, cores(tc.need), cores(2000), runs)
			assert.Equal(t, ok, tc.ok)
			assert.Equal(t, at.Sub(now), tc.want)
		})
	}
}

// TestReservation guards against small tasks that take each place before it is large enough for a large one, and against
// reservations that leave capacity unused.
func TestReservation(t *testing.T) {
	r := Reservation{Need: cornelwall.Resources{Cores: 9000}, At: now.Add(100 * ms)}
	need, free := cornelwall.Resources{Cores: 6000}, cornelwall.Resources{Cores: 8000}
	assert.Assert(t, !r.Allows(need, free, now.Add(101*ms)))
	assert.Assert(t, r.Allows(need, free, now.Add(100*ms)))
	assert.Assert(t, r.Allows(need, cornelwall.Resources{Cores: 15000}, now.Add(time.Second)))

	w := Waiting{Estimate: 60 * ms, Due: now.Add(160 * ms)}
	assert.Assert(t, !w.MayReserve(now.Add(24*ms), now))
	assert.Assert(t, w.MayReserve(now.Add(25*ms), now))
	assert.Assert(t, w.MayReserve(now.Add(100*ms), now))
	assert.Assert(t, !w.MayReserve(now.Add(101*ms), now)) // can't be on time
	assert.Equal(t, MaxReservations(3), 0)
	assert.Equal(t, MaxReservations(8), 2)
}
