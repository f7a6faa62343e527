package policy

import (
	"math"
	"slices"
	"time"

	"cornelwall"
)

const (
	sameCentreCost  = 1.0   // ms, for another holder in the same data centre
	otherCentreCost = 4.0   // ms, for a holder in another data centre
	staleViewCost   = 8.0   // ms, divided by the places free at another entry, as its report may be outdated
	releaseTime     = 150.0 // ms, assumed wait until an occupied place becomes free
	maxBusyReturns  = 2     // times that a busy holder may return a task before the task waits there
)

// HolderView is an owner's estimate of the free capacity of a holder: what the holder last
// reported, less the tasks assigned to it since.
type HolderView struct {
	Capacity cornelwall.FreeCapacity
	Exact    bool // it is the owner's own capacity
}

// FreePlaces returns how many tasks with the need fit, judged by their cores alone. For a task that
// needs no cores, each endpoint with free capacity counts once.
func (v *HolderView) FreePlaces(need cornelwall.Resources) int { return v.freePlaces(need, 0) }

// freePlaces is FreePlaces on endpoints with slowdowns up to maxPace; 0 means any.
func (v *HolderView) freePlaces(need cornelwall.Resources, maxPace float64) int {
	n := 0
	for i, free := range v.Capacity.Free {
		if !v.isWithin(i, maxPace) {
			continue
		}
		if need.Cores > 0 {
			n += free.Cores / need.Cores
		} else {
			n++
		}
	}
	return n
}

// isWithin reports whether the slowdown of a free endpoint is up to maxPace, where 0 means any. Every
// endpoint of a holder that reports no slowdowns is within.
func (v *HolderView) isWithin(i int, maxPace float64) bool {
	return maxPace == 0 || len(v.Capacity.Paces) != len(v.Capacity.Free) || float64(v.Capacity.Paces[i]) <= 100*maxPace
}

// Reserve deducts a task that is assigned. Like the holder it is best fit: it uses the endpoint
// with the least free cores on which the task fits, if possible one where it is in time.
func (v *HolderView) Reserve(t *IdleTask, estimate time.Duration) {
	best := v.bestFit(t.Need, t.MaxPace)
	if best < 0 {
		best = v.bestFit(t.Need, 0)
	}
	if best >= 0 {
		v.Capacity.Free[best] = v.Capacity.Free[best].Minus(t.Need)
		return
	}
	v.Capacity.Queued = AddQueued(v.Capacity.Queued, t.Class, t.Need, estimate)
}

// bestFit returns the index of the endpoint with the least free cores, among those with slowdowns up to maxPace on which
// a task fits, or -1 if there is none.
func (v *HolderView) bestFit(need cornelwall.Resources, maxPace float64) int {
	best := -1
	for i, free := range v.Capacity.Free {
		if need.Fits(free) && v.isWithin(i, maxPace) && (best < 0 || free.Cores < v.Capacity.Free[best].Cores) {
			best = i
		}
	}
	return best
}

// AddQueued adds a task to the queued work of its class.
func AddQueued(queued []int, class int, need cornelwall.Resources, estimate time.Duration) []int {
	if len(queued) < cornelwall.FreeCapacityClasses { // empty, or from an entry of another version
		queued = append(slices.Clone(queued), make([]int, cornelwall.FreeCapacityClasses-len(queued))...)
	}
	queued[min(max(class, 0), cornelwall.FreeCapacityClasses-1)] += need.Cores * int(estimate.Milliseconds())
	return queued
}

// ExpectedWait estimates how long a task with the need waits, in milliseconds: for a place to
// become free, and for the queued tasks of its own and of higher classes to go first.
func (v *HolderView) ExpectedWait(need cornelwall.Resources, class int) float64 {
	return v.expectedWait(need, class, 0)
}

// expectedWait is ExpectedWait for a place with a slowdown up to maxPace; 0 means any.
func (v *HolderView) expectedWait(need cornelwall.Resources, class int, maxPace float64) float64 {
	ahead := 0
	for k, n := range v.Capacity.Queued {
		if k <= class {
			ahead += n
		}
	}
	if n := v.freePlaces(need, maxPace); n > 0 && ahead == 0 {
		if v.Exact {
			return 0
		}
		return staleViewCost / float64(n)
	}
	if v.Capacity.Total == 0 {
		return math.Inf(1)
	}
	return (float64(need.Cores)*releaseTime + float64(ahead)) / float64(v.Capacity.Total)
}

// HolderOption is a holder that tasks may be assigned to.
type HolderOption struct {
	ID         cornelwall.Incarnation
	View       *HolderView
	IsSelf     bool // it is the owner
	SameCentre bool // it is in the owner's data centre
}

func (o *HolderOption) distanceCost() float64 {
	switch {
	case o.IsSelf:
		return 0
	case o.SameCentre:
		return sameCentreCost
	}
	return otherCentreCost
}

// IdleTask is a task that is to be assigned.
type IdleTask struct {
	Need         cornelwall.Resources
	Class        int
	MissedStarts int     // consecutive assignments that did not start
	MaxPace      float64 // slowdown up to which it is in time if it starts now; 0 if that doesn't matter
}

// maxPace returns the slowdown up to which free places count for the task, or 0 if all count because it is
// late on each of them.
func (t *IdleTask) maxPace(options []HolderOption) float64 {
	for i := range options {
		if options[i].View.freePlaces(t.Need, t.MaxPace) > 0 {
			return t.MaxPace
		}
	}
	return 0
}

// PickHolder returns the holder with the lowest cost for a task, or nil if none has any capacity. Places
// on which the task would be late don't count as free if there are others.
func PickHolder(options []HolderOption, t *IdleTask) *HolderOption {
	maxPace := t.maxPace(options)
	var best *HolderOption
	var bestCost float64
	for i := range options {
		o := &options[i]
		if o.View.Capacity.Total == 0 {
			continue
		}
		cost := o.distanceCost() + o.View.expectedWait(t.Need, t.Class, maxPace)
		if best == nil || cost < bestCost {
			best, bestCost = o, cost
		}
	}
	return best
}

// ReturnIfBusy reports whether a holder is to return the task unless it can start it at once. It does so
// while its report promises a place, at most maxBusyReturns times in a row.
func (t *IdleTask) ReturnIfBusy(o *HolderOption) bool {
	return !o.IsSelf && t.MissedStarts < maxBusyReturns && o.View.freePlaces(t.Need, t.MaxPace) > 0
}

// ShortestWait estimates how long a task waits at the holder with the shortest wait. It is 0 if no
// holder with capacity is known.
func ShortestWait(options []HolderOption, need cornelwall.Resources, class int) time.Duration {
	least := math.Inf(1)
	for i := range options {
		if o := &options[i]; o.View.Capacity.Total > 0 {
			least = min(least, o.View.ExpectedWait(need, class))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return time.Duration(least * float64(time.Millisecond))
}
