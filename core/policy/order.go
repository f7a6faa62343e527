package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	classDiscount = 0.25 // a run of class n has 1/(1 + n*classDiscount) of the value of one of class 0
	lateWeight    = 0.2  // value of an answer after its due time, relative to one in time
	// classValueRatio is the ratio of the values of two neighbouring classes where load is shed. A run of the next lower class
	// goes first only if less than 1/classValueRatio of its batch is left to start.
	classValueRatio = 2.5
	starvedValue    = 1 / minRemaining // above the value of any run whose class is not starved
	minRemaining    = 0.02             // lower bound of a remaining share; the value of a run is inverse to it
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
	switch w.TimelinessAt(at) {
	case OnTime:
		return v
	case Late:
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
	return w.Value(w.expectedStart(now, here, share))
}

// expectedStart returns the start of the last of the tasks of a batch, as ValueAmong counts them.
func (w *Waiting) expectedStart(now time.Time, here int, share float64) time.Time {
	ahead := here - 1
	if w.unstartedTasks() > here {
		ahead = here
	}
	return now.Add(time.Duration(share * float64(ahead) * float64(w.Estimate)))
}

// unstartedTasks returns how many tasks of the run's batch have not started, at all holders.
func (w *Waiting) unstartedTasks() int { return int(math.Round(w.Remaining * float64(w.BatchSize))) }

// Timeliness is whether the answer to a batch can be on time.
type Timeliness int

const (
	OnTime  Timeliness = iota
	Late               // after its due time, but still of use
	Useless            // too late to be of use
)

// TimelinessAt returns whether the batch of a run that starts at a time can be on time.
func (w *Waiting) TimelinessAt(at time.Time) Timeliness {
	switch end := at.Add(w.Estimate); {
	case !end.After(w.Due):
		return OnTime
	case !end.After(w.UsefulUntil):
		return Late
	}
	return Useless
}

// Rank is the place of a waiting run in the order of a holder that sheds load.
type Rank struct {
	Value float64 // that is lost per unit of work if the run does not start
	Cores int     // of its need, in thousandths
	Due   time.Time
}

// Compare orders ranks by falling value. Of runs of the same value the large ones go first, as the small ones
// fit beside them, and then those that are due first.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(o.Value, r.Value), cmp.Compare(o.Cores, r.Cores), r.Due.Compare(o.Due))
}

// RankAmong returns the rank of a run that needs a number of cores; here and share are as in ValueAmong. The value
// per unit of work is the same for all sizes of batches, and falls by classValueRatio with each class. It is
// inverse to the remaining share of the batch, as what has already run is lost if the run does not start. A run
// of a starved class that can be on time goes first.
func (w *Waiting) RankAmong(now time.Time, here int, share float64, cores int, starved bool) Rank {
	r := Rank{Cores: cores, Due: w.Due}
	r.Value = math.Pow(classValueRatio, -float64(max(w.Class, 0))) / max(w.Remaining, minRemaining)
	switch timeliness := w.TimelinessAt(w.expectedStart(now, here, share)); {
	case timeliness == Useless:
		r.Value = 0
	case timeliness == Late:
		r.Value *= lateWeight
	case starved:
		r.Value += starvedValue
	}
	return r
}

// targetEnd returns the time by which a run that starts now should end: the due time of its batch or,
// if that is out of reach, the time until which the answer is useful.
func (w *Waiting) targetEnd(now time.Time) time.Time {
	if now.Add(w.Estimate).After(w.Due) {
		return w.UsefulUntil
	}
	return w.Due
}
