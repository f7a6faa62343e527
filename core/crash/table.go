// Package crash keeps what is known of the crashes of endpoints under runs.
//
// Every entry has a Table with the crashes that all holders have told of, since a batch may come to any entry next.
// It decides nothing about endpoints; what it concludes about tasks is policy.SuspicionOf.
//
//	t := crash.NewTable()
//	t.Merge(&rc, now, from)
//	if t.Suspicion(now, task) >= policy.OnHold { ... }
package crash

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	minRetention = 10 * time.Minute // of the crashes of a task, after the last one
	// retentionFactor is how much longer crashes that withhold a task are kept than they do, so that the next one counts with them.
	retentionFactor = 2
)

// maxRecords is the number of crashes that are kept; those heard of first go first.
const maxRecords = 4096

// Record is what is known of the crash of an endpoint under a run.
type Record struct {
	cornelwall.RunCrash
	at   time.Time
	seq  uint64                 // of its last change, see Table.lastSeq
	from cornelwall.Incarnation // peer that has told of it last; zero if this entry has found it
}

// Table holds the crashes of endpoints under runs, of all holders. Every entry has one, since a
// batch may come to any of them next.
type Table struct {
	byRun      map[cornelwall.RunID]*Record
	byTask     map[string]*taskCrashes
	byBatch    map[string]*batchCrashes
	byEndpoint map[string][]*Record // those that were not withdrawn
	inOrder    []*Record            // as they were heard of; the first goes first
	lastSeq    uint64               // rises with each change that peers are told of
}

// taskCrashes are the crashes under the runs of a task, and what is concluded from them.
type taskCrashes struct {
	list      []*Record
	stale     bool      // the list has changed since the other fields were determined
	counted   int       // of list; each boot of an endpoint counts once
	newest    time.Time // of list
	suspicion policy.Suspicion
}

// batchCrashes are the crashes under the runs of a batch, and what is concluded from them.
type batchCrashes struct {
	list   []*Record
	stale  bool // the list has changed since the other field was determined
	inTurn bool // see Table.InTurn
}

// endpointBoot is one boot of an endpoint.
type endpointBoot struct {
	id   string
	boot int64
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{
		byRun: map[cornelwall.RunID]*Record{}, byTask: map[string]*taskCrashes{}, byBatch: map[string]*batchCrashes{},
		byEndpoint: map[string][]*Record{},
	}
}

// Merge adds a crash, or what is new of it, and reports whether that changes anything. A state is only
// replaced by a later one, or by that of a later find.
func (t *Table) Merge(rc *cornelwall.RunCrash, at time.Time, from cornelwall.Incarnation) bool {
	known := t.byRun[rc.RunID]
	if known == nil {
		t.add(&Record{RunCrash: *rc, at: at, from: from})
		return true
	}
	if cmp.Or(cmp.Compare(rc.Find, known.Find), cmp.Compare(rc.State, known.State)) <= 0 {
		return false
	}
	if rc.Find > known.Find {
		known.Find, known.at = rc.Find, at
	}
	t.SetState(known, rc.State)
	known.from = from
	return true
}

func (t *Table) add(x *Record) {
	if len(t.inOrder) >= maxRecords {
		t.removeOldest()
	}
	t.lastSeq++
	x.seq = t.lastSeq
	t.byRun[x.RunID] = x
	t.inOrder = append(t.inOrder, x)
	if x.State != cornelwall.CrashWithdrawn {
		t.byEndpoint[x.Endpoint] = append(t.byEndpoint[x.Endpoint], x)
	}
	batch := cornelwall.BatchOf(x.Task)
	if t.byBatch[batch] == nil {
		t.byBatch[batch] = &batchCrashes{}
	}
	t.byBatch[batch].list = append(t.byBatch[batch].list, x)
	if t.byTask[x.Task] == nil {
		t.byTask[x.Task] = &taskCrashes{}
	}
	t.byTask[x.Task].list = append(t.byTask[x.Task].list, x)
	t.markChanged(x.Task)
}

// SetState sets the state of a crash. Its next reports go to all peers, whoever has told of it.
func (t *Table) SetState(x *Record, state cornelwall.CrashState) {
	t.lastSeq++
	if x.State == cornelwall.CrashWithdrawn {
		t.byEndpoint[x.Endpoint] = append(t.byEndpoint[x.Endpoint], x)
	}
	x.State, x.seq, x.from = state, t.lastSeq, cornelwall.Incarnation{}
	if state == cornelwall.CrashWithdrawn {
		removeCrash(t.byEndpoint, x.Endpoint, x)
	}
	t.markChanged(x.Task)
}

func (t *Table) removeOldest() {
	x := t.inOrder[0]
	t.inOrder = t.inOrder[1:]
	t.remove(x)
}

// remove removes a crash that is no longer in inOrder.
func (t *Table) remove(x *Record) {
	isX := func(y *Record) bool { return y == x }
	delete(t.byRun, x.RunID)
	removeCrash(t.byEndpoint, x.Endpoint, x)
	b, k := t.byBatch[cornelwall.BatchOf(x.Task)], t.byTask[x.Task]
	b.list, k.list = slices.DeleteFunc(b.list, isX), slices.DeleteFunc(k.list, isX)
	t.markChanged(x.Task)
	if len(k.list) == 0 {
		delete(t.byTask, x.Task)
	}
	if len(b.list) == 0 {
		delete(t.byBatch, cornelwall.BatchOf(x.Task))
	}
}

// markChanged records that the crashes under the runs of a task have changed.
func (t *Table) markChanged(task string) {
	t.byTask[task].stale, t.byBatch[cornelwall.BatchOf(task)].stale = true, true
}

// task returns the crashes of a task with what is concluded from them, or nil if there are none.
func (t *Table) task(task string) *taskCrashes {
	k := t.byTask[task]
	if k != nil && k.stale {
		list := k.countedCrashes()
		k.stale, k.counted, k.suspicion = false, len(list), policy.SuspicionOf(list)
		k.newest = slices.MaxFunc(k.list, func(a, b *Record) int { return a.at.Compare(b.at) }).at
	}
	return k
}

// batch returns the crashes of a batch with what is concluded from them, or nil if there are none.
func (t *Table) batch(batch string) *batchCrashes {
	b := t.byBatch[batch]
	if b != nil && b.stale {
		b.stale, b.inTurn = false, b.mustRunInTurn()
	}
	return b
}

// withheldUntil returns the time until which the crashes of a task withhold it, if they do.
func (k *taskCrashes) withheldUntil() time.Time {
	return k.newest.Add(policy.WithholdingTime(k.counted))
}

// suspicionAt returns what is concluded about the task at a time.
func (k *taskCrashes) suspicionAt(now time.Time) policy.Suspicion {
	if k.suspicion >= policy.OnHold && !now.Before(k.withheldUntil()) {
		return policy.Isolated
	}
	return k.suspicion
}

// isExpired reports whether the crashes of a task need not be kept any more.
func (k *taskCrashes) isExpired(now time.Time) bool {
	retention := minRetention
	if k.suspicion >= policy.OnHold {
		retention = retentionFactor * policy.WithholdingTime(k.counted)
	}
	return now.Sub(k.newest) > retention
}

// countedCrashes returns the crashes that count, those of one boot of an endpoint once.
func (k *taskCrashes) countedCrashes() []policy.Crash {
	var list []policy.Crash
	counted := map[endpointBoot]bool{}
	for _, x := range k.list {
		boot := endpointBoot{x.Endpoint, x.Boot}
		if x.State == cornelwall.CrashWithdrawn || counted[boot] {
			continue
		}
		counted[boot] = true
		list = append(list, policy.Crash{Alone: x.Alone, Confirmed: x.State == cornelwall.CrashConfirmed})
	}
	return list
}

func removeCrash(lists map[string][]*Record, key string, x *Record) {
	list := slices.DeleteFunc(lists[key], func(y *Record) bool { return y == x })
	if len(list) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = list
}

// Expire removes the crashes of tasks that need not be kept any more.
func (t *Table) Expire(now time.Time) {
	expired := map[string]bool{}
	for task := range t.byTask {
		if t.task(task).isExpired(now) {
			expired[task] = true
		}
	}
	if len(expired) == 0 {
		return
	}
	t.inOrder = slices.DeleteFunc(t.inOrder, func(x *Record) bool {
		if expired[x.Task] {
			t.remove(x)
		}
		return expired[x.Task]
	})
}

// Suspicion returns what is concluded about a task.
func (t *Table) Suspicion(now time.Time, task string) policy.Suspicion {
	if k := t.task(task); k != nil {
		return k.suspicionAt(now)
	}
	return policy.Unsuspected
}

// Count returns the number of crashes that count against a task.
func (t *Table) Count(task string) int {
	if k := t.task(task); k != nil {
		return k.counted
	}
	return 0
}

// HasBatch reports whether there is a crash under a run of a batch, which has thus started.
func (t *Table) HasBatch(batch string) bool { return t.byBatch[batch] != nil }

// WithheldTask returns a task of a batch that is withheld, or "" if there is none.
func (t *Table) WithheldTask(now time.Time, batch string) string {
	b := t.byBatch[batch]
	if b == nil {
		return ""
	}
	for _, x := range b.list {
		if t.Suspicion(now, x.Task) == policy.Withheld {
			return x.Task
		}
	}
	return ""
}

// WithheldFor returns for how long a withheld task must not start.
func (t *Table) WithheldFor(now time.Time, task string) time.Duration {
	return t.task(task).withheldUntil().Sub(now)
}

// InTurn reports whether the tasks of a batch have to run one after the other: several endpoints have
// crashed under them, and none of the suspected tasks has been cleared.
func (t *Table) InTurn(batch string) bool {
	b := t.batch(batch)
	return b != nil && b.inTurn
}

func (b *batchCrashes) mustRunInTurn() bool {
	boots := map[endpointBoot]bool{}
	for _, x := range b.list {
		if x.State == cornelwall.CrashWithdrawn {
			return false
		}
		boots[endpointBoot{x.Endpoint, x.Boot}] = true
	}
	return policy.RunInTurn(len(boots))
}

// Clear drops the suspicion of a task, which is done.
func (t *Table) Clear(task string) {
	k := t.byTask[task]
	if k == nil {
		return
	}
	for _, x := range k.list {
		if x.State != cornelwall.CrashWithdrawn {
			t.SetState(x, cornelwall.CrashWithdrawn)
		}
	}
}

// Report returns a crash as it is sent to peers.
func (x *Record) Report(now time.Time) cornelwall.RunCrash {
	rc := x.RunCrash
	rc.Age = max(now.Sub(x.at), 0)
	return rc
}

// LastChange returns the number of the last change that peers are told of. It rises with each.
func (t *Table) LastChange() uint64 { return t.lastSeq }

// News returns what has changed after the given change. What the peer has told itself is left out.
func (t *Table) News(now time.Time, after uint64, to cornelwall.Incarnation) []cornelwall.RunCrash {
	var list []cornelwall.RunCrash
	for _, x := range t.inOrder {
		if x.seq > after && x.from != to {
			list = append(list, x.Report(now))
		}
	}
	return list
}

// NextFind returns the number of a find of a crash under a run: a crash that was withdrawn before is found anew.
func (t *Table) NextFind(id cornelwall.RunID) uint64 {
	x := t.byRun[id]
	switch {
	case x == nil:
		return 0
	case x.State == cornelwall.CrashWithdrawn:
		return x.Find + 1
	}
	return x.Find
}

// OfRun returns the crash under a run, or nil if none is known.
func (t *Table) OfRun(id cornelwall.RunID) *Record { return t.byRun[id] }

// OfTask returns the crashes under the runs of a task as they are sent to peers, withdrawn ones too.
func (t *Table) OfTask(now time.Time, task string) []cornelwall.RunCrash {
	k := t.byTask[task]
	if k == nil {
		return nil
	}
	var list []cornelwall.RunCrash
	for _, x := range k.list {
		list = append(list, x.Report(now))
	}
	return list
}

// AtEndpoint returns the crashes of an endpoint that were not withdrawn.
func (t *Table) AtEndpoint(id string) []*Record { return slices.Clone(t.byEndpoint[id]) }

// Counted returns the crashes that count against a task, those of one boot of an endpoint once.
func (t *Table) Counted(task string) []policy.Crash {
	if k := t.byTask[task]; k != nil {
		return k.countedCrashes()
	}
	return nil
}
