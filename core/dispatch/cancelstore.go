package dispatch

import (
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	// cancelWriteShare is the mean time between two writes of an entry for each entry of the system, so that all together
	// write 100 times a second, a quarter of what the platform's store takes.
	cancelWriteShare       = 10 * time.Millisecond
	cancelWriteLead        = 200 * time.Millisecond // by which writes may be ahead of that rate
	maxCancelWriteInterval = 2 * time.Second        // mean time between two writes of an entry; callers wait for them
	cancelWriteRetry       = 500 * time.Millisecond // after which a write that failed is repeated at the earliest
)

// cancelStoreState holds which cancellations of this entry's callers the platform's store has. A record there outlives
// the loss of all entries.
type cancelStoreState struct {
	callerCancels  map[string]bool // IDs of recorded batches that callers of this entry have cancelled
	storedNumber   uint64          // of ownCancels, up to which the store has them
	storing        bool            // a write has not ended
	storeSentAt    time.Time       // when the last write began
	storePaidUntil time.Time       // the writes so far use up the rate until then
	storeFailed    bool            // the last write did
	storeAgain     bool            // what is stored may have been removed
}

func newCancelStoreState() cancelStoreState {
	return cancelStoreState{callerCancels: map[string]bool{}}
}

// storeCancellations writes the cancellations of this entry's callers to the platform's store if a caller waits for that and
// a write is due. What comes meanwhile is in the next write.
func (c *Core) storeCancellations() {
	due, wanted := c.cancelWriteDue()
	if !wanted || c.now.Before(due) {
		return
	}
	if c.storePaidUntil.Before(c.now) {
		c.storePaidUntil = c.now
	}
	c.storePaidUntil = c.storePaidUntil.Add(c.cancelWriteInterval())
	c.storing, c.storeSentAt = true, c.now
	c.emit(cornelwall.StoreCancellations{Number: c.lastNumber, List: c.callerCancellations(), Keep: cancellationTTL})
}

// cancelWriteDue returns when the next write may begin, and whether one is to.
func (c *Core) cancelWriteDue() (due time.Time, wanted bool) {
	wanted = c.hasUnansweredCancel() && c.storedNumber < c.lastNumber || c.storeAgain
	if !wanted || c.storing || !c.platformUp {
		return time.Time{}, false
	}
	due = c.storePaidUntil.Add(-cancelWriteLead)
	if retry := c.storeSentAt.Add(cancelWriteRetry); c.storeFailed && due.Before(retry) {
		return retry, true
	}
	return due, true
}

// cancelWriteInterval returns the mean time between two writes.
func (c *Core) cancelWriteInterval() time.Duration {
	return min(time.Duration(len(c.peersByID)+1)*cancelWriteShare, maxCancelWriteInterval)
}

// callerCancellations returns the records of the batches that callers of this entry have cancelled, sorted by ID.
func (c *Core) callerCancellations() []cornelwall.Cancellation {
	var list []cornelwall.Cancellation
	for _, id := range slices.Sorted(maps.Keys(c.callerCancels)) {
		at, ok := c.cancelled[id]
		if age := c.now.Sub(at); ok && age < cancellationTTL {
			list = append(list, cornelwall.Cancellation{ID: id, Age: age})
		}
	}
	return list
}

// handleCancellationsStored notes which cancellations the platform's store has.
func (c *Core) handleCancellationsStored(ev cornelwall.CancellationsStored) {
	c.storing, c.storeFailed = false, !ev.Done
	if !ev.Done {
		c.log("cancels-not-stored", "number", ev.Number, "took", c.now.Sub(c.storeSentAt))
		return
	}
	c.storedNumber, c.storeAgain = max(c.storedNumber, ev.Number), false
	c.answerCancellers()
}

// storeAgainAfterOutage has the cancellations stored again, as the store may have removed them while it was away.
func (c *Core) storeAgainAfterOutage() { c.storeAgain = len(c.callerCancels) > 0 }

// readStoredCancellations reads the cancellations that entries have stored if the peers cannot tell for certain what
// this entry has missed: a number of them has not answered.
func (c *Core) readStoredCancellations(open int) {
	if c.storeRead || c.reading {
		return
	}
	doubtful := open == 0 || len(c.answered) > c.complete || c.now.Sub(c.askingAt) >= catchUpReadDelay
	if !doubtful || c.now.Sub(c.readSentAt) < catchUpReadRetry {
		return
	}
	c.reading, c.readSentAt = true, c.now
	c.emit(cornelwall.ReadCancellations{Round: c.round})
}

// handleCancellationsRead records the cancellations that entries have stored.
func (c *Core) handleCancellationsRead(ev cornelwall.CancellationsRead) {
	if ev.Round == c.round {
		c.reading = false
	}
	if !ev.Done || !c.recordCancellations(ev.List) || ev.Round != c.round || !c.mustCatchUp() {
		return
	}
	c.storeRead = true
	c.log("cancels-read", "count", len(ev.List), "took", c.now.Sub(c.readSentAt))
	c.catchUp()
}
