package policy

import (
	"math"
	"time"
)

const (
	classDiscount = 0.25 // a run of class n has 1/(1 + n*classDiscount) of the value of one of class 0
	lateWeight    = 0.2  // value of an answer after its due time, relative to one in time
	minRemaining  = 0.02 // lower bound of a remaining share; the value of a run is inverse to it
)

// Waiting is a run that waits to start, as far as its place in the order depends on it.
type Waiting struct {
	Class       int     // priority of its queue; 0 goes first
	Remaining   float64 // share of its batch's tasks that have not started
	BatchSize   int     // tasks of its batch, at all holders
	Estimate    time.Duration
	Due         time.Time // target time of its batch
	UsefulUntil time.Time // after it the answer to its batch is of little use
}

// Value returns the value per unit of work of a run that starts at a time. It is higher for classes
// of high priority, for batches with few tasks left to start and for those that can still be on
// time, and 0 if the answer would come too late to be useful.
func (w *Waiting) Value(at time.Time) float64 {
	v := 1 / ((1 + classDiscount*float64(w.Class)) * max(w.Remaining, minRemaining))
	switch end := at.Add(w.Estimate); {
	case !end.After(w.Due):
		return v
	case !end.After(w.UsefulUntil):
		return lateWeight * v
	}
	return 0
}

// ValueAmong returns the value of a run that may start now while a number of runs of its batch,
// including itself, wait at its holder. A batch is on time only if the last of its tasks is. The run
// is therefore valued as if it started after all others of them, and after one more place has
// become free if tasks of its batch wait at other holders, as these need one too. Share is the
// share of the holder's cores that the run needs.
func (w *Waiting) ValueAmong(now time.Time, here int, share float64) float64 {
	ahead := here - 1
	if w.unstartedTasks() > here {
		ahead = here
	}
	return w.Value(now.Add(time.Duration(share * float64(ahead) * float64(w.Estimate))))
}

// unstartedTasks returns how many tasks of the run's batch have not started, at all holders.
func (w *Waiting) unstartedTasks() int { return int(math.Round(w.Remaining * float64(w.BatchSize))) }

// targetEnd returns the time by which a run that starts now should end: the due time of its batch or,
// if that is out of reach, the time until which the answer is useful.
func (w *Waiting) targetEnd(now time.Time) time.Time {
	if now.Add(w.Estimate).After(w.Due) {
		return w.UsefulUntil
	}
	return w.Due
}
