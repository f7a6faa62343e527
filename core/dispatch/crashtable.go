package dispatch

import (
	"slices"
	"strings"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	crashTTL          = 10 * time.Minute // for which a crash counts
	maxOrderedCrashes = 64               // in a report that travels among the ordered messages
	maxCrashes        = 4096             // crashes that are kept; the oldest go first
)

// crash is what is known of the crash of an endpoint under a run.
type crash struct {
	cornelwall.RunCrash
	at   time.Time
	seq  uint64                 // of its last change, see crashTable.lastSeq
	from cornelwall.Incarnation // peer that has told of it last; zero if this entry has found it
}

// crashTable holds the crashes of endpoints under runs, of all holders. Every entry has one, since a
// batch may come to any of them next.
type crashTable struct {
	byRun      map[cornelwall.RunID]*crash
	byTask     map[string]*taskCrashes
	byBatch    map[string]*batchCrashes
	byEndpoint map[string][]*crash // those that were not withdrawn
	inOrder    []*crash            // oldest first
	lastSeq    uint64              // rises with each change that peers are told of
}

// taskCrashes are the crashes under the runs of a task, and what is concluded from them.
type taskCrashes struct {
	list      []*crash
	stale     bool // the list has changed since the other fields were determined
	counted   int  // of list; each boot of an endpoint counts once
	suspicion policy.Suspicion
}

// batchCrashes are the crashes under the runs of a batch, and what is concluded from them.
type batchCrashes struct {
	list     []*crash
	stale    bool   // the list has changed since the other fields were determined
	withheld string // a task that is withheld; empty if there is none
	inTurn   bool   // see crashTable.inTurn
}

// endpointBoot is one boot of an endpoint.
type endpointBoot struct {
	id   string
	boot int64
}

func newCrashTable() crashTable {
	return crashTable{
		byRun: map[cornelwall.RunID]*crash{}, byTask: map[string]*taskCrashes{}, byBatch: map[string]*batchCrashes{},
		byEndpoint: map[string][]*crash{},
	}
}

// batchOf returns the ID of the batch of a task.
func batchOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// merge adds a crash, or what is new of it, and reports whether that changes anything. A state is only
// replaced by a later one.
func (t *crashTable) merge(rc *cornelwall.RunCrash, at time.Time, from cornelwall.Incarnation) bool {
	known := t.byRun[rc.RunID]
	if known == nil {
		t.add(&crash{RunCrash: *rc, at: at, from: from})
		return true
	}
	if rc.State <= known.State {
		return false
	}
	t.setState(known, rc.State)
	known.from = from
	return true
}

func (t *crashTable) add(x *crash) {
	if len(t.inOrder) >= maxCrashes {
		t.removeOldest()
	}
	t.lastSeq++
	x.seq = t.lastSeq
	t.byRun[x.RunID] = x
	t.inOrder = append(t.inOrder, x)
	if x.State != cornelwall.CrashWithdrawn {
		t.byEndpoint[x.Endpoint] = append(t.byEndpoint[x.Endpoint], x)
	}
	batch := batchOf(x.Task)
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

// setState sets the state of a crash. Its next reports go to all peers, whoever has told of it.
func (t *crashTable) setState(x *crash, state cornelwall.CrashState) {
	t.lastSeq++
	x.State, x.seq, x.from = state, t.lastSeq, cornelwall.Incarnation{}
	if state == cornelwall.CrashWithdrawn {
		removeCrash(t.byEndpoint, x.Endpoint, x)
	}
	t.markChanged(x.Task)
}

func (t *crashTable) removeOldest() {
	x := t.inOrder[0]
	t.inOrder = t.inOrder[1:]
	isX := func(y *crash) bool { return y == x }
	delete(t.byRun, x.RunID)
	removeCrash(t.byEndpoint, x.Endpoint, x)
	b, k := t.byBatch[batchOf(x.Task)], t.byTask[x.Task]
	b.list, k.list = slices.DeleteFunc(b.list, isX), slices.DeleteFunc(k.list, isX)
	t.markChanged(x.Task)
	if len(k.list) == 0 {
		delete(t.byTask, x.Task)
	}
	if len(b.list) == 0 {
		delete(t.byBatch, batchOf(x.Task))
	}
}

// markChanged records that the crashes under the runs of a task have changed.
func (t *crashTable) markChanged(task string) {
	t.byTask[task].stale, t.byBatch[batchOf(task)].stale = true, true
}

// task returns the crashes of a task with what is concluded from them, or nil if there are none.
func (t *crashTable) task(task string) *taskCrashes {
	k := t.byTask[task]
	if k != nil && k.stale {
		list := k.countedCrashes()
		k.stale, k.counted, k.suspicion = false, len(list), policy.SuspicionOf(list)
	}
	return k
}

// batch returns the crashes of a batch with what is concluded from them, or nil if there are none.
func (t *crashTable) batch(batch string) *batchCrashes {
	b := t.byBatch[batch]
	if b != nil && b.stale {
		b.stale, b.withheld, b.inTurn = false, t.findWithheldTask(b), b.mustRunInTurn()
	}
	return b
}

func (t *crashTable) findWithheldTask(b *batchCrashes) string {
	for _, x := range b.list {
		if t.task(x.Task).suspicion == policy.Withheld {
			return x.Task
		}
	}
	return ""
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

func removeCrash(lists map[string][]*crash, key string, x *crash) {
	list := slices.DeleteFunc(lists[key], func(y *crash) bool { return y == x })
	if len(list) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = list
}

// expire removes the crashes from before a time.
func (t *crashTable) expire(before time.Time) {
	for len(t.inOrder) > 0 && t.inOrder[0].at.Before(before) {
		t.removeOldest()
	}
}

// suspicion returns what is concluded about a task.
func (t *crashTable) suspicion(task string) policy.Suspicion {
	if k := t.task(task); k != nil {
		return k.suspicion
	}
	return policy.Unsuspected
}

// count returns the number of crashes that count against a task.
func (t *crashTable) count(task string) int {
	if k := t.task(task); k != nil {
		return k.counted
	}
	return 0
}

// hasBatch reports whether there is a crash under a run of a batch, which has thus started.
func (t *crashTable) hasBatch(batch string) bool { return t.byBatch[batch] != nil }

// withheldTask returns a task of a batch that is withheld, or "" if there is none.
func (t *crashTable) withheldTask(batch string) string {
	if b := t.batch(batch); b != nil {
		return b.withheld
	}
	return ""
}

// withheldFor returns the time until the first of the crashes that count against a task expires.
func (t *crashTable) withheldFor(now time.Time, task string) time.Duration {
	for _, x := range t.byTask[task].list {
		if x.State != cornelwall.CrashWithdrawn {
			return max(x.at.Add(crashTTL).Sub(now), 0)
		}
	}
	return 0
}

// inTurn reports whether the tasks of a batch have to run one after the other: several endpoints have
// crashed under them, and none of the suspected tasks has been cleared.
func (t *crashTable) inTurn(batch string) bool {
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

// clear drops the suspicion of a task, which is done.
func (t *crashTable) clear(task string) {
	k := t.byTask[task]
	if k == nil {
		return
	}
	for _, x := range k.list {
		if x.State != cornelwall.CrashWithdrawn {
			t.setState(x, cornelwall.CrashWithdrawn)
		}
	}
}

// report returns a crash as it is sent to peers.
func (x *crash) report(now time.Time) cornelwall.RunCrash {
	rc := x.RunCrash
	rc.Age = max(now.Sub(x.at), 0)
	return rc
}

// news returns the changes that a peer has not been sent. What the peer has told itself is left out.
func (t *crashTable) news(now time.Time, p *peer) []cornelwall.RunCrash {
	var list []cornelwall.RunCrash
	for _, x := range t.inOrder {
		if x.seq > p.crashSeq && x.from != p.id {
			list = append(list, x.report(now))
		}
	}
	return list
}
