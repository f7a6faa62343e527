package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

// cancellationTTL is how long the record of a cancelled batch is kept. It exceeds the delay of any message, and
// the time in which callers submit a batch again.
const cancellationTTL = time.Minute

// keepsCancellations reports whether this entry records cancellations, and confirms them to its peers.
func (c *Core) keepsCancellations() bool { return c.cfg.Limits.CancelTime > 0 }

// isCancelled reports whether there is a record that a batch was cancelled.
func (c *Core) isCancelled(batch string) bool {
	_, ok := c.cancelled[batch]
	return ok
}

// recordCancellations records cancelled batches, ends those that this entry owns, and stops the runs here of the others. It
// reports whether all are recorded: the table may be full.
func (c *Core) recordCancellations(list []cornelwall.Cancellation) (recorded bool) {
	recorded = true
	found := map[string]bool{}
	for _, x := range list {
		at := c.now.Add(-x.Age)
		before, known := c.cancelled[x.ID]
		switch {
		case x.Age >= cancellationTTL || known && !at.After(before):
			continue
		case !known && len(c.cancelled) >= cornelwall.MaxCancellations:
			recorded = false
		default:
			c.cancelled[x.ID] = at
		}
		if !known {
			found[x.ID] = true
			c.cancelOwned(x.ID)
		}
	}
	c.stopCancelledRuns(found)
	return recorded
}

// stopCancelledRuns ends the runs of cancelled batches here: waiting ones return to their owners, others are stopped.
func (c *Core) stopCancelledRuns(batches map[string]bool) {
	if len(batches) == 0 {
		return
	}
	for _, r := range filterRuns(c.runs, func(r *run) bool { return r.state != runStopping && batches[cornelwall.BatchOf(r.id.Task)] }) {
		c.withdrawRun(r, true)
	}
}

// returnCancelled returns a run of a cancelled batch to its owner with the cancellation, which the owner may not
// know of.
func (c *Core) returnCancelled(owner cornelwall.Incarnation, id cornelwall.RunID) {
	c.log("cancelled-returned", "task", id.Task, "run", id.Run, "owner", owner)
	c.send(owner, cornelwall.Message{BatchCancellation: &cornelwall.BatchCancellation{ID: cornelwall.BatchOf(id.Task)}})
	c.sendResult(owner, cornelwall.RunResult{RunID: id, End: cornelwall.RunUnstarted})
}

// handleBatchCancellation cancels a batch for an entry of an earlier version, or for a holder of its tasks.
func (c *Core) handleBatchCancellation(m *cornelwall.BatchCancellation) {
	if c.keepsCancellations() && cornelwall.IsBatchID(m.ID) {
		c.recordCancellations([]cornelwall.Cancellation{{ID: m.ID}})
	}
	c.cancelOwned(m.ID)
}

// cancellationsSince returns the records of the batches that were cancelled within a time, sorted by ID.
func (c *Core) cancellationsSince(d time.Duration) []cornelwall.Cancellation {
	var list []cornelwall.Cancellation
	for _, id := range slices.Sorted(maps.Keys(c.cancelled)) {
		if age := c.now.Sub(c.cancelled[id]); age <= d && age < cancellationTTL {
			list = append(list, cornelwall.Cancellation{ID: id, Age: age})
		}
	}
	return list
}

// expireCancellations drops the records that are older than cancellationTTL.
func (c *Core) expireCancellations() {
	maps.DeleteFunc(c.cancelled, func(_ string, at time.Time) bool { return c.now.Sub(at) >= cancellationTTL })
	maps.DeleteFunc(c.callerCancels, func(id string, _ bool) bool { return !c.isCancelled(id) })
}
