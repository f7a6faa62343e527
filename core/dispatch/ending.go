package dispatch

import (
	"time"

	"cornelwall"
)

// endings are the runs of batches that have their answer which are not known to be over. A
// batch that is sent again starts none of its tasks before they are.
type endings struct {
	runs  map[cornelwall.RunID]endingRun
	batch map[string]int // number of them, by batch
}

// endingRun is a run that was withdrawn with its batch.
type endingRun struct {
	batch string
	at    time.Time
}

func newEndings() endings {
	return endings{runs: map[cornelwall.RunID]endingRun{}, batch: map[string]int{}}
}

// awaitEnd takes note of a run that was withdrawn with its batch.
func (c *Core) awaitEnd(id cornelwall.RunID, batch string) {
	c.endings.runs[id] = endingRun{batch: batch, at: c.now}
	c.endings.batch[batch]++
}

// runEnded takes note that a withdrawn run is over, and lets its batch begin if it has been
// sent again meanwhile.
func (c *Core) runEnded(id cornelwall.RunID) {
	e, ok := c.endings.runs[id]
	if !ok {
		return
	}
	c.endings.drop(id, e)
	if j := c.jobs[e.batch]; j != nil && c.endings.batch[e.batch] == 0 {
		c.assignIdle(j)
	}
}

func (e *endings) drop(id cornelwall.RunID, r endingRun) {
	delete(e.runs, id)
	if e.batch[r.batch]--; e.batch[r.batch] == 0 {
		delete(e.batch, r.batch)
	}
}

// dropEndings forgets withdrawn runs of which no word has come for as long as an owner waits
// for a silent holder: by then they are over.
func (c *Core) dropEndings() {
	for id, e := range c.endings.runs {
		if c.now.Sub(e.at) > ownerPatience {
			c.endings.drop(id, e)
		}
	}
}
