package dispatch

import (
	"time"

	"cornelwall"
)

// pendingEnds tracks the withdrawn runs of answered batches that are not known to have ended. If
// such a batch is submitted again, none of its tasks is assigned before they have.
type pendingEnds struct {
	runs     map[cornelwall.RunID]pendingEnd
	perBatch map[string]int // number of runs per batch ID
}

// pendingEnd is a run that was withdrawn when its batch was answered.
type pendingEnd struct {
	batch       string // ID
	withdrawnAt time.Time
}

func newPendingEnds() pendingEnds {
	return pendingEnds{runs: map[cornelwall.RunID]pendingEnd{}, perBatch: map[string]int{}}
}

// awaitEnd starts to track a run that was withdrawn when its batch was answered.
func (c *Core) awaitEnd(id cornelwall.RunID, batch string) {
	c.pendingEnds.runs[id] = pendingEnd{batch: batch, withdrawnAt: c.now}
	c.pendingEnds.perBatch[batch]++
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

func (e *pendingEnds) remove(id cornelwall.RunID, r pendingEnd) {
	delete(e.runs, id)
	if e.perBatch[r.batch]--; e.perBatch[r.batch] == 0 {
		delete(e.perBatch, r.batch)
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
