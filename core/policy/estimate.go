package policy

import (
	"slices"
	"time"
)

// estimateTolerance is the ratio up to which the observed run time of a step may exceed its estimate
// without consequences.
const estimateTolerance = 1.25

// StepEstimate is the estimated run time of the tasks of one step: the one that the caller has
// declared, until tasks have taken longer. It isn't lowered, as the tasks that end first may be the
// shortest, and the others would count as stragglers.
type StepEstimate struct {
	Current  time.Duration
	observed []time.Duration // run times of the tasks that are done, in ascending order
}

// Observe adds the run time of a task that is done. If the median of these times exceeds the estimate
// by more than estimateTolerance, it becomes the estimate, and Observe returns true.
func (e *StepEstimate) Observe(took time.Duration) bool {
	i, _ := slices.BinarySearch(e.observed, took)
	e.observed = slices.Insert(e.observed, i, took)
	median := e.observed[(len(e.observed)-1)/2]
	if float64(median) <= estimateTolerance*float64(e.Current) {
		return false
	}
	e.Current = median
	return true
}
