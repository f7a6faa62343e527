package dispatch

import (
	"fmt"
	"time"

	"cornelwall"
	"cornelwall/core/policy"
)

const (
	answerMargin      = 15 * time.Millisecond  // before the caller's deadline, so that the answer still arrives
	minRetryBackoff   = 5 * time.Millisecond   // before a task that did not start is assigned again
	maxRetryBackoff   = 160 * time.Millisecond // the backoff doubles with each missed start up to this
	progressThreshold = 0.9                    // of the remaining share last sent to holders; they get an update below it
)

// taskState is the state of a task as its owner knows it.
type taskState int

const (
	taskIdle     taskState = iota // no holder has it
	taskAssigned                  // a holder has it; it is not known to have started
	taskRunning                   // its run has started at an endpoint
	taskDone
)

// task is one task of a job that this entry owns.
type task struct {
	job           *job
	step          int
	name          string
	state         taskState
	run           cornelwall.RunID
	holder        cornelwall.Incarnation
	endpoint      string    // where it runs
	fence         uint64    // under which its holder has the endpoint
	changedAt     time.Time // last change of holder or state
	failures      int
	missedStarts  int       // consecutive assignments that did not start
	retryAt       time.Time // earliest next assignment
	avoidEndpoint string    // where its last run went wrong
	wasStopped    bool      // a run of it was stopped, for any reason; later runs aren't stopped as stragglers
	returnIfBusy  bool      // its holder returns it unless it can start at once
	lastRun       lastRun
	runsLost      int // runs that ended neither by themselves nor before they started
}

// isAssigned reports whether a holder has the task.
func (t *task) isAssigned() bool { return t.state == taskAssigned || t.state == taskRunning }

// lastRun describes the last run of a task that has started, for the log.
type lastRun struct {
	endpoint  string
	startedAt time.Time
	took      time.Duration // 0 if it has not ended
}

// end records the end of the run. Its holder reports how long it took, unless it is silent.
func (r *lastRun) end(now time.Time, result *cornelwall.RunResult) {
	r.took = result.Took
	if r.took == 0 {
		r.took = now.Sub(r.startedAt)
	}
	r.endpoint, r.startedAt = result.Endpoint, now.Add(-r.took)
}

// job is a batch that this entry owns.
type job struct {
	id                string
	queue             cornelwall.Queue
	batch             *cornelwall.BatchJob
	callers           []jobCaller
	tasks             []*task
	unfinished        []int // per step: tasks that are not done
	submittedAt       time.Time
	due               time.Time // target time
	usefulUntil       time.Time // after it the answer is of little use
	deadline          time.Time // latest of those of its callers
	estimates         []policy.StepEstimate
	criticalPath      time.Duration // estimated run time of its longest chain of dependent steps
	started           bool          // a task may have run
	refusing          bool          // its waiting tasks were withdrawn; it is refused once all are back
	makesWay          bool          // its waiting tasks were withdrawn to make way for other batches
	reportedRemaining float64       // remaining share that was last sent to holders
	claim             ownership
}

// handleSubmitBatch admits a batch, or adds a caller to a batch with the same ID that is already
// here.
func (c *Core) handleSubmitBatch(ev cornelwall.SubmitBatch) {
	var j *job // job to admit; nil if the batch is refused before admission
	refuse := func(end cornelwall.BatchEnd, why cornelwall.Reason, text string) {
		if end == cornelwall.BatchRefused && c.mayHaveRun(ev.Batch.ID) {
			end, text = cornelwall.BatchGivenUp, "tasks of an earlier submission of the batch may have run; "+text
		}
		a := cornelwall.BatchAnswer{End: end, Reason: why, Text: text}
		if end == cornelwall.BatchRefused {
			a.RetryAfter = c.retryAfter(j, ev.Req)
		}
		c.answerOnArrival(&ev, j, a)
	}
	if c.queueConfig.Version == 0 {
		refuse(cornelwall.BatchRefused, cornelwall.ReasonNoProfile, "no declaration is in force yet; come back later")
		return
	}
	q := c.queueConfig.Find(ev.Host, ev.Path)
	if q == nil && c.mayLackNewest() {
		refuse(cornelwall.BatchRefused, cornelwall.ReasonStale, fmt.Sprintf("no queue takes %s on %s in declaration %d, and there may be a newer one; come back later", ev.Path, ev.Host, c.queueConfig.Version))
		return
	}
	if q == nil {
		refuse(cornelwall.BatchUnknown, cornelwall.ReasonNoProfile, fmt.Sprintf("no queue takes %s on %s; check the declaration", ev.Path, ev.Host))
		return
	}
	if err := ev.Batch.Check(); err != nil {
		refuse(cornelwall.BatchInvalid, cornelwall.ReasonContent, err.Error())
		return
	}
	if c.isCancelled(ev.Batch.ID) {
		refuse(cornelwall.BatchCancelled, cornelwall.ReasonCancelled, "the batch was cancelled; submit it under another ID")
		return
	}
	if task := c.crashes.WithheldTask(c.now, ev.Batch.ID); task != "" && c.isWithheldAt(task, c.callerDeadline(q, &ev)) {
		c.answerOnArrival(&ev, nil, c.withheldAnswer(task))
		return
	}
	if known := c.jobs[ev.Batch.ID]; known != nil {
		c.joinJob(known, jobCaller{req: ev.Req, deadline: c.callerDeadline(q, &ev)})
		return
	}
	j = c.newJob(q, &ev)
	c.noteDemand(j)
	if why := c.admissionRefusal(j); why != cornelwall.ReasonNone {
		refuse(cornelwall.BatchRefused, why, refusalText(why))
		return
	}
	c.jobs[j.id], c.jobsByReq[ev.Req] = j, j
	c.lastSubmit, c.lastBatchNeed = c.now, ev.Batch.Steps[0].Need
	c.log("batch", "job", j.id, "queue", q.Name, "version", c.queueConfig.Version, "tasks", len(j.tasks), "left", j.deadline.Sub(c.now), "due", j.due.Sub(c.now), "unread", ev.Waited)
	c.claimJob(j)
}

// answerOnArrival answers a submitted batch that is not admitted. Its job is nil if it was not judged.
func (c *Core) answerOnArrival(ev *cornelwall.SubmitBatch, j *job, a cornelwall.BatchAnswer) {
	c.log("batch-refused", "job", ev.Batch.ID, "queue", queueOf(j), "end", a.End, "why", a.Reason, "version", c.queueConfig.Version, "newest", c.newestVersion, "behind", c.behindFor(), "retry", a.RetryAfter)
	c.emit(cornelwall.CountReason{Reason: a.Reason, N: 1})
	c.emit(cornelwall.ReplyBatch{Req: ev.Req, Answer: a})
}

// refusalText returns the text for a caller whose batch is refused on arrival.
func refusalText(why cornelwall.Reason) string {
	switch why {
	case cornelwall.ReasonEvacuated:
		return "all data centres are evacuated; come back later"
	case cornelwall.ReasonStale:
		return "this entry is not on the list of entries, or may have missed cancellations; come back later"
	}
	return "the batch cannot be done in time; come back later"
}

// queueOf returns the queue of a job for the log, or "" if there is no job.
func queueOf(j *job) string {
	if j == nil {
		return ""
	}
	return j.queue.Name
}

// mayHaveRun reports whether tasks of an earlier submission of a batch may have run: their runs may not have ended, or
// endpoints have crashed under them.
func (c *Core) mayHaveRun(batch string) bool {
	return c.pendingEnds.perBatch[batch] > 0 || c.crashes.HasBatch(batch)
}

// newJob returns the job of a submitted batch. It counts as started if tasks of an earlier submission of the batch may have run.
func (c *Core) newJob(q *cornelwall.Queue, ev *cornelwall.SubmitBatch) *job {
	deadline := c.callerDeadline(q, ev)
	j := &job{
		id: ev.Batch.ID, queue: *q, batch: ev.Batch,
		callers:     []jobCaller{{req: ev.Req, deadline: deadline}},
		submittedAt: c.now.Add(-ev.Waited), deadline: deadline,
		started:           c.mayHaveRun(ev.Batch.ID),
		reportedRemaining: 1,
		unfinished:        make([]int, len(ev.Batch.Steps)),
	}
	for i := range ev.Batch.Steps {
		s := &ev.Batch.Steps[i]
		j.estimates = append(j.estimates, policy.StepEstimate{Current: s.Estimate})
		j.unfinished[i] = s.Count
		for n := range s.Count {
			j.tasks = append(j.tasks, &task{job: j, step: i, name: fmt.Sprintf("%s.0.%d.%d", j.id, i, n)})
		}
	}
	j.setTargets()
	return j
}

// admissionRefusal returns the reason to refuse a batch that can't be done in time, or ReasonNone. A batch of which tasks
// may have run is not refused because of the load, as it could only be given up.
func (c *Core) admissionRefusal(j *job) cornelwall.Reason {
	if c.allEvacuated() {
		return cornelwall.ReasonEvacuated
	}
	b := j.policyBatch()
	if c.isStopping() && !b.FitsBefore(c.now, c.stoppingSince.Add(c.cfg.Limits.StopGrace-stopGraceMargin)) {
		return cornelwall.ReasonStopping
	}
	if !j.started && c.catchUpOverdue() {
		return cornelwall.ReasonStale
	}
	switch admission := c.admit(j, b); {
	case admission == policy.RefuseTooLate:
		return cornelwall.ReasonTooLate
	case admission == policy.Admit || j.started:
		return cornelwall.ReasonNone
	case admission == policy.RefuseFull:
		return cornelwall.ReasonQueueFull
	case admission == policy.RefuseShed:
		c.countShed(j)
		return cornelwall.ReasonShed
	}
	return cornelwall.ReasonNone
}

// handleFetchBatch replies with the state of a batch that this entry owns.
func (c *Core) handleFetchBatch(ev cornelwall.FetchBatch) {
	j := c.jobs[ev.ID]
	c.emit(cornelwall.ReplyState{Req: ev.Req, Found: j != nil, Running: j != nil && j.started})
}

// handleCountWaiting replies with the number of batches of a queue that have not started, here and,
// as they last reported, at the responsive peers.
func (c *Core) handleCountWaiting(ev cornelwall.CountWaiting) {
	q := c.queueConfig.Find(ev.Host, ev.Path)
	if q == nil {
		c.log("count-refused", "path", ev.Path, "version", c.queueConfig.Version, "newest", c.newestVersion, "behind", c.behindFor())
		reply := cornelwall.ReplyWaiting{Req: ev.Req}
		if c.mayLackNewest() {
			reply.RetryAfter = c.retryAfter(nil, ev.Req)
		}
		c.emit(reply)
		return
	}
	n := c.waitingByQueue()[q.Name]
	for _, p := range c.peers {
		if c.isResponsive(p) {
			n += p.waitingJobs[q.Name]
		}
	}
	c.emit(cornelwall.ReplyWaiting{Req: ev.Req, Found: true, Count: n})
}

// waitingByQueue returns the number of jobs in each queue of which no task has run.
func (c *Core) waitingByQueue() map[string]int {
	var n map[string]int
	for _, j := range c.jobs {
		if !j.started {
			if n == nil {
				n = map[string]int{}
			}
			n[j.queue.Name]++
		}
	}
	return n
}
