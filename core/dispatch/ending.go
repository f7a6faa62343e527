package dispatch

import (
	"time"

	"cornelwall"
)

// pendingEnds are the runs of batches that have their answer which are not known to be over. A
// batch that is sent again starts none of its tasks before they are.
type pendingEnds struct {
	runs     map[cornelwall.RunID]pendingEnd
	perBatch map[string]int // number of them, by batch
}

// pendingEnd is a run that was withdrawn with its batch.
type pendingEnd struct {
	batch       string
	withdrawnAt time.Time
}

func newPendingEnds() pendingEnds {
	return pendingEnds{runs: map[cornelwall.RunID]pendingEnd{}, perBatch: map[string]int{}}
}

// awaitEnd takes note of a run that was withdrawn with its batch.
func (c *Core) awaitEnd(id cornelwall.RunID, batch string) {
	c.pendingEnds.runs[id] = pendingEnd{batch: batch, withdrawnAt: c.now}
	c.pendingEnds.perBatch[batch]++
}

// confirmEnd takes note that a withdrawn run is over, and lets its batch begin if it has been
// sent again meanwhile.
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

// expirePendingEnds forgets withdrawn runs of which no word has come for as long as an owner waits
// for a silent holder: by then they are over.
func (c *Core) expirePendingEnds() {
	for id, e := range c.pendingEnds.runs {
		if c.now.Sub(e.withdrawnAt) > holderTimeout {
			c.pendingEnds.remove(id, e)
		}
	}
}
