package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cornelwall"
)

// newRunID returns the identity of a task's next run. Run numbers are based on the wall clock, so
// that they rise from one run to the next across entries too.
func (c *Core) newRunID(t *task) cornelwall.RunID {
	c.lastRunNumber = max(c.lastRunNumber, uint64(c.now.UnixMilli()), t.run.Run) + 1
	return cornelwall.RunID{Task: t.name, Run: c.lastRunNumber}
}

// handleRunsStarted records where tasks run. Runs that no job of this entry waits for are
// withdrawn: an earlier withdrawal may have gone to a holder whose process has ended since.
func (c *Core) handleRunsStarted(from cornelwall.Incarnation, m *cornelwall.RunsStarted) {
	var known, unknown []cornelwall.RunID
	for _, id := range m.Runs {
		t := c.tasksByRun[id]
		if t == nil {
			unknown = append(unknown, id)
			continue
		}
		if m.Fence < t.fence {
			continue
		}
		t.state, t.endpoint, t.fence, t.changedAt = taskRunning, m.Endpoint, m.Fence, c.now
		t.holder, t.missedStarts = from, 0
		known = append(known, id)
		t.lastRun = lastRun{endpoint: m.Endpoint, startedAt: c.now}
		t.job.started = true
		c.sendProgress(t.job, false)
	}
	if m.Confirm && known != nil {
		c.send(from, cornelwall.Message{RunsKnown: &cornelwall.RunsKnown{Endpoint: m.Endpoint, Fence: m.Fence, Runs: known}})
	}
	if unknown != nil {
		c.send(from, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: unknown, MayHaveStarted: true}})
	}
}

// updateTaskHolders records that an endpoint has a new holder. The new holder now has the runs that
// it kept, and runs under older fences that it did not keep have ended.
func (c *Core) updateTaskHolders(from cornelwall.Incarnation, m *cornelwall.EndpointAcquired) {
	for _, id := range m.Kept {
		if t := c.tasksByRun[id]; t != nil && m.Fence > t.fence {
			t.state, t.holder, t.endpoint, t.fence, t.changedAt = taskRunning, from, m.Endpoint, m.Fence, c.now
			t.job.started = true
		}
	}
	for _, t := range c.filterTasks(func(t *task) bool {
		return t.endpoint == m.Endpoint && t.fence < m.Fence && !slices.Contains(m.Kept, t.run)
	}) {
		c.handleRunResult(&cornelwall.RunResult{RunID: t.run, End: cornelwall.RunLapsed, Endpoint: m.Endpoint})
	}
}

// filterTasks returns the assigned tasks that match, sorted by name.
func (c *Core) filterTasks(fits func(*task) bool) []*task {
	var list []*task
	for _, t := range c.tasksByRun {
		if fits(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return list
}

// expireSilentHolders treats the runs at holders that have been silent for holderTimeout, or are no
// longer known, as ended.
func (c *Core) expireSilentHolders() {
	for _, t := range c.filterTasks(func(t *task) bool {
		if t.holder == c.cfg.Self || c.now.Sub(t.changedAt) <= holderTimeout {
			return false
		}
		p := c.peers[t.holder]
		return p == nil || p.runsExpired
	}) {
		t.job.started = true
		c.handleRunResult(&cornelwall.RunResult{RunID: t.run, End: cornelwall.RunLapsed, Endpoint: t.endpoint})
	}
}

// handleRunResult processes the end of a run: the task is done, fails its job or is retried.
func (c *Core) handleRunResult(result *cornelwall.RunResult) {
	t := c.tasksByRun[result.RunID]
	if t == nil {
		c.confirmEnd(result.RunID)
		return
	}
	delete(c.tasksByRun, result.RunID)
	j := t.job
	t.state, t.changedAt, t.retryAt, t.endpoint, t.fence = taskIdle, c.now, c.now, "", 0
	if result.End != cornelwall.RunUnstarted {
		j.started = true
		t.lastRun.end(c.now, result)
	}
	switch result.End {
	case cornelwall.RunDone:
		t.state = taskDone
		c.crashes.Clear(t.name)
		j.unfinished[t.step]--
		c.observeRunTime(t, result.Took)
	case cornelwall.RunFailed:
		t.failures++
		t.avoidEndpoint = result.Endpoint
		c.log("task-failed", "task", t.name, "run", result.Run, "endpoint", result.Endpoint, "fails", t.failures, "attempts", j.queue.Attempts, "took", result.Took)
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonTask, Retry: true, N: 1})
	case cornelwall.RunUnstarted:
		t.avoidEndpoint = cmp.Or(result.Endpoint, t.avoidEndpoint)
		t.missedStarts++
		t.retryAt = c.now.Add(min(minRetryBackoff<<min(t.missedStarts, 10), maxRetryBackoff))
		if t.missedStarts == 1 {
			t.retryAt = c.now
		}
		c.emit(cornelwall.CountReason{Reason: cornelwall.ReasonBusy, Retry: true, N: 1})
	default:
		t.avoidEndpoint = result.Endpoint
		t.wasStopped = t.wasStopped || result.End == cornelwall.RunStopped
		t.runsLost++
		c.log("task-lost", "task", t.name, "run", result.Run, "endpoint", result.Endpoint, "how", result.End, "holder", t.holder)
		c.emit(cornelwall.CountReason{Reason: c.reasonOfLoss(result.RunID), Retry: true, N: 1})
	}
	if c.jobs[j.id] != j {
		return // the job has been answered
	}
	switch {
	case c.giveUpIfWithheld(j):
	case t.failures >= max(j.queue.Attempts, 1):
		c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchFailed, Reason: cornelwall.ReasonTask, Text: "task " + t.name + " has failed as often as its queue allows"})
	case j.done():
		c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchDone})
	default:
		c.assignTasks(j)
		c.sendProgress(j, false)
	}
}

// remaining returns the share of the job's tasks that have not started.
func (j *job) remaining() float64 {
	waiting := 0
	for _, t := range j.tasks {
		if t.state == taskIdle || t.state == taskAssigned {
			waiting++
		}
	}
	return float64(waiting) / float64(len(j.tasks))
}

// sendProgress sends the remaining share and the targets of a job to the holders at which tasks of it
// wait, if the targets have changed or the share has dropped by a tenth since the last report.
func (c *Core) sendProgress(j *job, targetsChanged bool) {
	remaining := j.remaining()
	if remaining > progressThreshold*j.reportedRemaining && !targetsChanged {
		return
	}
	j.reportedRemaining = remaining
	estimates := map[cornelwall.RunID]time.Duration{}
	byHolder, order := j.runsByHolder(func(t *task) bool {
		waits := t.state == taskAssigned && !t.returnIfBusy
		if waits {
			estimates[t.run] = j.estimate(t.step)
		}
		return waits
	})
	for _, id := range order {
		m := &cornelwall.BatchProgress{Runs: byHolder[id], Remaining: remaining, DueIn: j.due.Sub(c.now), UsefulFor: j.usefulUntil.Sub(c.now)}
		for _, run := range m.Runs {
			m.Estimates = append(m.Estimates, estimates[run])
		}
		c.send(id, cornelwall.Message{BatchProgress: m})
	}
}

// runsByHolder returns the runs of the tasks that match, grouped by holder, and the holders in the
// order of the tasks.
func (j *job) runsByHolder(match func(*task) bool) (runs map[cornelwall.Incarnation][]cornelwall.RunID, order []cornelwall.Incarnation) {
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
	return !slices.ContainsFunc(j.unfinished, func(n int) bool { return n > 0 })
}
