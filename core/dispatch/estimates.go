package dispatch

import (
	"slices"
	"time"
)

// estimateTolerance is the ratio up to which the observed run time of a step may exceed its estimate
// without consequences.
const estimateTolerance = 1.25

// stepEstimate is the estimated run time of the tasks of one step: the one that the caller has
// declared, until tasks have taken longer. It isn't lowered, as the tasks that end first may be the
// shortest, and the others would count as stragglers.
type stepEstimate struct {
	current  time.Duration
	observed []time.Duration // run times of the tasks that are done, in ascending order
}

// observe adds the run time of a task that is done. If the median of these times exceeds the estimate
// by more than estimateTolerance, it becomes the estimate, and observe returns true.
func (e *stepEstimate) observe(took time.Duration) bool {
	i, _ := slices.BinarySearch(e.observed, took)
	e.observed = slices.Insert(e.observed, i, took)
	median := e.observed[(len(e.observed)-1)/2]
	if float64(median) <= estimateTolerance*float64(e.current) {
		return false
	}
	e.current = median
	return true
}

// estimate returns the estimated run time of a step's tasks.
func (j *job) estimate(step int) time.Duration { return j.estimates[step].current }

// setTargets sets the times that depend on how long the steps of a job take.
func (j *job) setTargets() {
	ends := make([]time.Duration, len(j.batch.Steps))
	j.criticalPath = 0
	for i := range j.batch.Steps {
		for _, k := range j.batch.Steps[i].After {
			ends[i] = max(ends[i], ends[k])
		}
		ends[i] += j.estimate(i)
		j.criticalPath = max(j.criticalPath, ends[i])
	}
	j.due = j.submittedAt.Add(j.queue.TargetTime(j.criticalPath))
	j.usefulUntil = j.submittedAt.Add(j.queue.UsefulTime(j.criticalPath))
}

// observeRunTime corrects the targets of a job by the run time of a task that is done. The holders
// at which tasks of the job wait are told.
func (c *Core) observeRunTime(t *task, took time.Duration) {
	j := t.job
	took = min(took, c.now.Sub(j.submittedAt)) // as the holder has reported it
	if j.estimates[t.step].observe(took) {
		j.setTargets()
		c.sendProgress(j, true)
	}
}
