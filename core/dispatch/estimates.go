package dispatch

import "time"

// estimate returns the estimated run time of a step's tasks.
func (j *job) estimate(step int) time.Duration { return j.estimates[step].Current }

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
	if j.estimates[t.step].Observe(took) {
		j.setTargets()
		c.sendProgress(j, true)
	}
}
