package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

const (
	withdrawalWait    = 2 * tickInterval // after a withdrawal, when heartbeats to the holder repeat it
	maxListedWithdraw = 200              // withdrawn runs that one heartbeat lists
)

// pendingEnds tracks the withdrawn runs of answered batches that are not known to have ended. If
// such a batch is submitted again, none of its tasks is assigned before they have.
type pendingEnds struct {
	runs      map[cornelwall.RunID]pendingEnd
	perBatch  map[string]int // number of runs per batch ID
	perHolder map[cornelwall.Incarnation]map[cornelwall.RunID]bool
}

// pendingEnd is a run that was withdrawn when its batch was answered.
type pendingEnd struct {
	batch       string // ID
	holder      cornelwall.Incarnation
	withdrawnAt time.Time
}

func newPendingEnds() pendingEnds {
	return pendingEnds{
		runs: map[cornelwall.RunID]pendingEnd{}, perBatch: map[string]int{}, perHolder: map[cornelwall.Incarnation]map[cornelwall.RunID]bool{},
	}
}

// awaitEnd starts to track a run that was withdrawn when its batch was answered.
func (c *Core) awaitEnd(id cornelwall.RunID, batch string, holder cornelwall.Incarnation) {
	c.pendingEnds.add(id, pendingEnd{batch: batch, holder: holder, withdrawnAt: c.now})
}

// confirmEnd records that a withdrawn run has ended. If it was the last one of its batch and the
// batch has been submitted again meanwhile, the tasks of the batch are assigned.
func (c *Core) confirmEnd(id cornelwall.RunID) {
	e, ok := c.pendingEnds.runs[id]
	if !ok {
		return
	}
	c.pendingEnds.remove(id, e)
	if j := c.jobs[e.batch]; j != nil && c.pendingEnds.perBatch[e.batch] == 0 {
		c.assignTasks(j)
	}
}

// unconfirmed returns the runs that a holder may not know to be withdrawn, earliest withdrawal first, and whether the
// list is complete.
func (e *pendingEnds) unconfirmed(holder cornelwall.Incarnation, now time.Time) (list []cornelwall.RunID, complete bool) {
	for id := range e.perHolder[holder] {
		if now.Sub(e.runs[id].withdrawnAt) >= withdrawalWait {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b cornelwall.RunID) int {
		return cmp.Or(e.runs[a].withdrawnAt.Compare(e.runs[b].withdrawnAt), compareRunID(a, b))
	})
	if len(list) > maxListedWithdraw {
		return list[:maxListedWithdraw], false
	}
	return list, true
}

func (e *pendingEnds) add(id cornelwall.RunID, r pendingEnd) {
	e.runs[id] = r
	e.perBatch[r.batch]++
	if e.perHolder[r.holder] == nil {
		e.perHolder[r.holder] = map[cornelwall.RunID]bool{}
	}
	e.perHolder[r.holder][id] = true
}

func (e *pendingEnds) remove(id cornelwall.RunID, r pendingEnd) {
	delete(e.runs, id)
	if e.perBatch[r.batch]--; e.perBatch[r.batch] == 0 {
		delete(e.perBatch, r.batch)
	}
	delete(e.perHolder[r.holder], id)
	if len(e.perHolder[r.holder]) == 0 {
		delete(e.perHolder, r.holder)
	}
}

// expirePendingEnds stops tracking runs whose end was not confirmed within holderTimeout, the time
// after which the runs at a silent holder have ended.
func (c *Core) expirePendingEnds() {
	for id, e := range c.pendingEnds.runs {
		if c.now.Sub(e.withdrawnAt) > holderTimeout {
			c.pendingEnds.remove(id, e)
		}
	}
}
