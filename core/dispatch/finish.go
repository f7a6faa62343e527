package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

// finishJob answers the callers of a job and withdraws its remaining runs.
func (c *Core) finishJob(j *job, a cornelwall.BatchAnswer) {
	delete(c.jobs, j.id)
	c.withdrawTasks(j, false)
	if a.End == cornelwall.BatchRefused || a.End == cornelwall.BatchGivenUp {
		c.emit(cornelwall.CountReason{Reason: a.Reason, N: 1})
	}
	c.logEnd(j, a)
	c.leaveOwner(j)
	for _, w := range j.callers {
		c.answerCaller(j, w, a)
	}
}

// logEnd logs the answer to a job and what held it up: how long its last task waited before its last
// start, and how long that run took at which endpoint.
func (c *Core) logEnd(j *job, a cornelwall.BatchAnswer) {
	failed, lost := 0, 0
	for _, t := range j.tasks {
		failed += t.failures
		lost += t.runsLost
	}
	t := j.lastTask()
	startedAt := c.now
	if t.state == taskRunning || t.state == taskDone {
		startedAt = t.lastRun.startedAt
	}
	took := t.lastRun.took
	if t.state == taskRunning {
		took = c.now.Sub(startedAt)
	}
	c.log("batch-end", "job", j.id, "queue", j.queue.Name, "end", a.End, "why", a.Reason, "begun", j.started, "rest", j.remaining(),
		"took", c.now.Sub(j.submittedAt), "late", c.now.Sub(j.due), "waited", startedAt.Sub(j.submittedAt), "ran", took,
		"estimate", j.estimate(t.step), "endpoint", t.lastRun.endpoint, "failed", failed, "lost", lost, "retry", a.RetryAfter)
}

// lastTask returns the task that holds its job up: one that waits, else one that runs, else the one
// that ended last.
func (j *job) lastTask() *task {
	rank := func(t *task) int {
		switch t.state {
		case taskRunning:
			return 1
		case taskDone:
			return 0
		}
		return 2
	}
	last := j.tasks[0]
	for _, t := range j.tasks[1:] {
		if cmp.Or(cmp.Compare(rank(t), rank(last)), t.changedAt.Compare(last.changedAt)) > 0 {
			last = t
		}
	}
	return last
}

// withdrawTasks withdraws the assigned tasks of a job, or only those that have not started.
func (c *Core) withdrawTasks(j *job, onlyWaiting bool) {
	byHolder, order := j.runsByHolder((*task).isAssigned)
	for _, id := range order {
		if !onlyWaiting {
			for _, run := range byHolder[id] {
				delete(c.tasksByRun, run)
				c.awaitEnd(run, j.id, id)
			}
		}
		c.send(id, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: byHolder[id], OnlyWaiting: onlyWaiting}})
	}
}

// cancelOwned cancels a batch if this entry owns it.
func (c *Core) cancelOwned(id string) {
	if j := c.jobs[id]; j != nil {
		c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchCancelled, Reason: cornelwall.ReasonCancelled})
	}
}

// refuseJob refuses a job of which nothing has run, where shed tells whether it makes way for others.
func (c *Core) refuseJob(j *job, shed bool) {
	why := cornelwall.ReasonTooLate
	if shed {
		why = cornelwall.ReasonShed
		c.countShed(j)
	}
	c.finishJob(j, cornelwall.BatchAnswer{
		End: cornelwall.BatchRefused, Reason: why, RetryAfter: c.retryAfter(j, uint64(c.now.UnixMilli())),
		Text: "the batch could not be done in time and has not run; come back later",
	})
}

// checkJobs ends jobs that can't be done in time any more, and assigns the idle tasks of the
// others. A job that has started is given up. One that has not is refused, once its waiting tasks
// are withdrawn.
func (c *Core) checkJobs() {
	if c.resuming() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		c.answerExpiredCallers(j)
		if !c.checkOwnership(j) {
			continue
		}
		b := j.policyBatch()
		b.Crowded = c.cfg.Shed && c.queueLoad().IsCrowded(j.waitingWork())
		switch b.Judge(c.now) {
		case policy.Refuse:
			c.refuseJob(j, j.makesWay || b.MakesWay(c.now))
		case policy.GiveUpAtDeadline:
			c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonDeadline, Text: "the deadline has passed; what still runs is stopped"})
		case policy.GiveUpTooLate:
			c.finishJob(j, cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonTooLate, Text: "some tasks have run and the others cannot in time; what still runs is stopped"})
		case policy.WithdrawWaiting:
			j.refusing, j.makesWay = true, b.MakesWay(c.now)
			c.withdrawTasks(j, true)
		default:
			j.refusing = j.refusing && !j.started // a task that had already started was not withdrawn
			c.assignTasks(j)
		}
	}
}

// policyBatch returns what the admission and the end of a job depend on.
func (j *job) policyBatch() *policy.Batch {
	return &policy.Batch{
		Due: j.due, UsefulUntil: j.usefulUntil, Deadline: j.deadline, CriticalPath: j.criticalPath, LongestUnstarted: j.longestUnstarted(),
		Started: j.started, Unassigned: j.unassigned(), Withdrawn: j.refusing,
	}
}

// longestUnstarted returns the estimated run time of the longest task that has not started. It is
// negative if all have.
func (j *job) longestUnstarted() time.Duration {
	longest := time.Duration(-1)
	for _, t := range j.tasks {
		if t.state == taskIdle || t.state == taskAssigned {
			longest = max(longest, j.estimate(t.step))
		}
	}
	return longest
}

// unassigned reports whether all tasks of the job are idle.
func (j *job) unassigned() bool {
	for _, t := range j.tasks {
		if t.state != taskIdle {
			return false
		}
	}
	return true
}
