package dispatch

import (
	"cmp"
	"slices"

	"cornelwall"
)

// newRun returns the identity of a task's next run. Numbers rise over all entries, as
// they begin with the time of day.
func (c *Core) newRun(t *task) cornelwall.RunID {
	c.lastRun = max(c.lastRun, uint64(c.now.UnixMilli()), t.run.Run) + 1
	return cornelwall.RunID{Task: t.name, Run: c.lastRun}
}

// began takes word of where tasks run. Runs that nobody waits for any more are withdrawn: an
// earlier withdrawal may have gone to a holder that has ended since.
func (c *Core) began(from cornelwall.Incarnation, m *cornelwall.RunsStarted) {
	var unknown []cornelwall.RunID
	for _, id := range m.Runs {
		t := c.tasks[id]
		if t == nil {
			unknown = append(unknown, id)
			continue
		}
		if m.Fence < t.fence {
			continue
		}
		t.state, t.endpoint, t.fence, t.since = taskBegun, m.Endpoint, m.Fence, c.now
		t.holder, t.misses = from, 0
		t.job.begun = true
		c.boostWaiting(t.job)
	}
	if unknown != nil {
		c.send(from, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: unknown, MayHaveStarted: true}})
	}
}

// endpointTaken takes word that an endpoint has a new holder, which keeps some runs.
func (c *Core) endpointTaken(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, id := range m.Kept {
		if t := c.tasks[id]; t != nil && m.Fence > t.fence {
			t.state, t.holder, t.endpoint, t.fence, t.since = taskBegun, from, m.Endpoint, m.Fence, c.now
			t.job.begun = true
		}
	}
	for _, t := range c.tasksThat(func(t *task) bool {
		return t.endpoint == m.Endpoint && t.fence < m.Fence && !slices.Contains(m.Kept, t.run)
	}) {
		c.over(&cornelwall.RunResult{RunID: t.run, End: cornelwall.RunLapsed, Endpoint: m.Endpoint})
	}
}

// tasksThat returns the assigned tasks that fit, in a stable order.
func (c *Core) tasksThat(fits func(*task) bool) []*task {
	var list []*task
	for _, t := range c.tasks {
		if fits(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return list
}

// checkHolders takes the runs at holders that have been silent for long as over.
func (c *Core) checkHolders() {
	for _, t := range c.tasksThat(func(t *task) bool {
		if t.holder == c.cfg.Self || c.now.Sub(t.since) <= ownerPatience {
			return false
		}
		p := c.peers[t.holder]
		return p == nil || p.expired
	}) {
		t.job.begun = true
		c.over(&cornelwall.RunResult{RunID: t.run, End: cornelwall.RunLapsed, Endpoint: t.endpoint})
	}
}

// over takes the end of a run.
func (c *Core) over(o *cornelwall.RunResult) {
	t := c.tasks[o.RunID]
	if t == nil {
		c.runEnded(o.RunID)
		return
	}
	delete(c.tasks, o.RunID)
	j := t.job
	t.state, t.next, t.endpoint, t.fence = taskIdle, c.now, "", 0
	if o.End != cornelwall.RunUnstarted {
		j.begun = true
	}
	switch o.End {
	case cornelwall.RunDone:
		t.state = taskDone
		j.left[t.step]--
	case cornelwall.RunFailed:
		t.fails++
		t.avoid = o.Endpoint
		c.log("task-failed", "task", t.name, "run", o.Run, "endpoint", o.Endpoint, "fails", t.fails, "attempts", j.queue.Attempts, "took", o.Took)
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonTask, Retry: true, N: 1})
	case cornelwall.RunUnstarted:
		t.avoid = cmp.Or(o.Endpoint, t.avoid)
		t.misses++
		t.next = c.now.Add(min(retryPause<<min(t.misses, 10), maxRetryPause))
		if t.misses == 1 {
			t.next = c.now
		}
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonBusy, Retry: true, N: 1})
	default:
		t.avoid = o.Endpoint
		t.stopped = t.stopped || o.End == cornelwall.RunStopped
		c.log("task-lost", "task", t.name, "run", o.Run, "endpoint", o.Endpoint, "how", o.End, "holder", t.holder)
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonLost, Retry: true, N: 1})
	}
	if c.jobs[j.id] != j {
		return // it has its answer
	}
	switch {
	case t.fails >= max(j.queue.Attempts, 1):
		c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchFailed, Reason: cornelwall.ReasonTask, Text: "task " + t.name + " has failed as often as its queue allows"})
	case j.done():
		c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchDone})
	default:
		c.assignIdle(j)
		c.boostWaiting(j)
	}
}

// rest returns the share of the job's tasks that have not begun.
func (j *job) rest() float64 {
	left := 0
	for _, t := range j.tasks {
		if t.state == taskIdle || t.state == taskAssigned {
			left++
		}
	}
	return float64(left) / float64(len(j.tasks))
}

// boostWaiting tells holders where tasks of a job wait each time that a tenth of what was
// left of it has begun.
func (c *Core) boostWaiting(j *job) {
	rest := j.rest()
	if rest > boostShare*j.told {
		return
	}
	j.told = rest
	byHolder, order := j.byHolder(func(t *task) bool { return t.state == taskAssigned && !t.eager })
	for _, id := range order {
		c.send(id, cornelwall.Message{BatchProgress: &cornelwall.BatchProgress{Runs: byHolder[id], Remaining: rest}})
	}
}

// byHolder returns the runs of the tasks that match, by holder, and the holders in order.
func (j *job) byHolder(match func(*task) bool) (runs map[cornelwall.Incarnation][]cornelwall.RunID, order []cornelwall.Incarnation) {
	runs = map[cornelwall.Incarnation][]cornelwall.RunID{}
	for _, t := range j.tasks {
		if !match(t) {
			continue
		}
		if runs[t.holder] == nil {
			order = append(order, t.holder)
		}
		runs[t.holder] = append(runs[t.holder], t.run)
	}
	return runs, order
}

func (j *job) done() bool {
	return !slices.ContainsFunc(j.left, func(n int) bool { return n > 0 })
}
