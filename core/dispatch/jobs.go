package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cornelwall"
)

const (
	answerMargin  = 15 * time.Millisecond  // before the caller's deadline, for the answer to arrive
	withdrawTime  = 120 * time.Millisecond // before the deadline, to take back what has not begun
	retryPause    = 5 * time.Millisecond   // before a task that did not start is assigned again
	maxRetryPause = 160 * time.Millisecond
	firstBack     = 500 * time.Millisecond // when a refused caller is to come back
	spreadBack    = time.Second            // over which refused callers are spread
	boostShare    = 0.5                    // of what was left, of which holders are told
	leastWork     = 0.5                    // share of the declared run time that a task surely takes
)

// taskState is how far a task is for its owner.
type taskState int

const (
	taskIdle     taskState = iota // it runs nowhere
	taskAssigned                  // a holder has it
	taskBegun                     // it runs
	taskDone
)

// task is one task of a job that this entry owns.
type task struct {
	job      *job
	step     int
	name     string
	state    taskState
	run      cornelwall.RunID
	holder   cornelwall.Incarnation
	endpoint string // where it runs
	fence    uint64 // of the endpoint then
	since    time.Time
	fails    int
	misses   int // assignments in a row that did not start
	next     time.Time
	avoid    string
	stopped  bool // a run of it was stopped
}

// job is a batch that this entry owns.
type job struct {
	id       string
	queue    cornelwall.Queue
	batch    *cornelwall.BatchJob
	reqs     []uint64
	tasks    []*task
	left     []int // tasks of each step that are not done
	arrived  time.Time
	due      time.Time
	last     time.Time // after which its answer is of little use
	deadline time.Time
	chain    time.Duration // declared run time of its longest chain of steps
	begun    bool          // a task may have run
	closing  bool          // it is about to be given up
	told     float64       // share that was left when holders were told last
}

// declare takes a declaration if it is newer than the one in force.
func (c *Core) declare(d *cornelwall.Declaration) {
	if d.Version <= c.declared.Version {
		return
	}
	c.log("declaration", "version", d.Version, "before", c.declared.Version, "queues", len(d.Queues))
	c.declared = *d
}

// submit takes a batch of a caller, or one more caller of a batch that runs already.
func (c *Core) submit(ev cornelwall.SubmitBatch) {
	refuse := func(end cornelwall.BatchEnd, why cornelwall.Reason, text string) {
		a := cornelwall.BatchAnswer{End: end, Reason: why, Text: text}
		if end == cornelwall.BatchRefused {
			a.Back = c.back(ev.Req)
		}
		c.log("batch-refused", "job", ev.Batch.ID, "end", end, "why", why, "version", c.declared.Version)
		c.emit(cornelwall.Count{Reason: why, N: 1})
		c.emit(cornelwall.ReplyBatch{Req: ev.Req, Answer: a})
	}
	if c.declared.Version == 0 {
		refuse(cornelwall.BatchRefused, cornelwall.ReasonNoProfile, "no declaration is in force yet; come back later")
		return
	}
	q := c.declared.Find(ev.Host, ev.Path)
	if q == nil {
		refuse(cornelwall.BatchUnknown, cornelwall.ReasonNoProfile, fmt.Sprintf("no queue takes %s on %s; check the declaration", ev.Path, ev.Host))
		return
	}
	if err := ev.Batch.Check(); err != nil {
		refuse(cornelwall.BatchInvalid, cornelwall.ReasonContent, err.Error())
		return
	}
	if j := c.jobs[ev.Batch.ID]; j != nil {
		j.reqs = append(j.reqs, ev.Req)
		c.reqs[ev.Req] = j
		c.log("batch-joined", "job", j.id)
		return
	}
	j := c.newJob(q, &ev)
	if why := c.hopeless(j); why != cornelwall.ReasonNone {
		refuse(cornelwall.BatchRefused, why, "the batch cannot be done in time; come back later")
		return
	}
	c.jobs[j.id], c.reqs[ev.Req] = j, j
	c.log("batch", "job", j.id, "queue", q.Name, "version", c.declared.Version, "tasks", len(j.tasks), "left", j.deadline.Sub(c.now), "due", j.due.Sub(c.now))
	c.assignIdle(j)
}

func (c *Core) newJob(q *cornelwall.Queue, ev *cornelwall.SubmitBatch) *job {
	left := ev.Left
	if left <= 0 {
		left = q.Timeout
	}
	j := &job{
		id: ev.Batch.ID, queue: *q, batch: ev.Batch, reqs: []uint64{ev.Req},
		told: 1, arrived: c.now, deadline: c.now.Add(left - answerMargin), left: make([]int, len(ev.Batch.Steps)),
	}
	ends := make([]time.Duration, len(ev.Batch.Steps))
	for i := range ev.Batch.Steps {
		s := &ev.Batch.Steps[i]
		for _, k := range s.After {
			ends[i] = max(ends[i], ends[k])
		}
		ends[i] += s.Estimate
		j.chain = max(j.chain, ends[i])
		j.left[i] = s.Count
		for n := range s.Count {
			j.tasks = append(j.tasks, &task{job: j, step: i, name: fmt.Sprintf("%s.0.%d.%d", j.id, i, n)})
		}
	}
	j.due, j.last = c.now.Add(q.Stretched(j.chain)), c.now.Add(q.Last(j.chain))
	return j
}

// hopeless returns why a batch cannot be done in time, or ReasonNone.
func (c *Core) hopeless(j *job) cornelwall.Reason {
	least, end := j.leastTime(), j.usefulEnd()
	if c.leaving() && c.now.Add(2*least).After(c.stopping.Add(c.cfg.Limits.Grace-stopMargin)) {
		return cornelwall.ReasonStopping
	}
	if c.now.Add(least).After(end) {
		return cornelwall.ReasonTooLate
	}
	if wait := c.expectedWait(j); c.now.Add(wait + j.chain).After(end) {
		return cornelwall.ReasonQueueFull
	}
	return cornelwall.ReasonNone
}

// back returns when a refused caller is to come back; callers are spread.
func (c *Core) back(req uint64) time.Duration {
	return firstBack + time.Duration(req*7919%1000)*spreadBack/1000
}

// newRun returns the identity of a task's next run. Numbers rise over all entries, as
// they begin with the time of day.
func (c *Core) newRun(t *task) cornelwall.RunID {
	c.lastRun = max(c.lastRun, uint64(c.now.UnixMilli()), t.run.Run) + 1
	return cornelwall.RunID{Task: t.name, Run: c.lastRun}
}

// began takes word of where tasks run.
func (c *Core) began(from cornelwall.Incarnation, m *cornelwall.Began) {
	for _, id := range m.Runs {
		t := c.tasks[id]
		if t == nil || m.Fence < t.fence {
			continue
		}
		t.state, t.endpoint, t.fence, t.since = taskBegun, m.Endpoint, m.Fence, c.now
		t.holder, t.misses = from, 0
		t.job.begun = true
		c.boostWaiting(t.job)
	}
}

// endpointTaken takes word that an endpoint has a new holder, which keeps some runs.
func (c *Core) endpointTaken(from cornelwall.Incarnation, m *cornelwall.Taken) {
	for _, id := range m.Kept {
		if t := c.tasks[id]; t != nil && m.Fence > t.fence {
			t.state, t.holder, t.endpoint, t.fence, t.since = taskBegun, from, m.Endpoint, m.Fence, c.now
			t.job.begun = true
		}
	}
	for _, t := range c.sortedTasks() {
		if t.endpoint == m.Endpoint && t.fence < m.Fence && !slices.Contains(m.Kept, t.run) {
			c.over(&cornelwall.OverRun{RunID: t.run, How: cornelwall.RunLapsed, Endpoint: m.Endpoint})
		}
	}
}

func (c *Core) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(c.tasks), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// holderGone ends the runs at a holder that has been silent for so long that they are
// over. A run that has only just come to it is given the same time, as the holder waits
// that long for proof of the owner.
func (c *Core) holderGone(p *peer) {
	for _, t := range c.sortedTasks() {
		if t.holder == p.id && c.now.Sub(t.since) > ownerPatience {
			t.job.begun = true
			c.over(&cornelwall.OverRun{RunID: t.run, How: cornelwall.RunLapsed, Endpoint: t.endpoint})
		}
	}
}

// over takes the end of a run.
func (c *Core) over(o *cornelwall.OverRun) {
	t := c.tasks[o.RunID]
	if t == nil {
		return
	}
	delete(c.tasks, o.RunID)
	j := t.job
	t.state, t.next, t.endpoint, t.fence = taskIdle, c.now, "", 0
	if o.How != cornelwall.RunUnstarted {
		j.begun = true
	}
	switch o.How {
	case cornelwall.RunDone:
		t.state = taskDone
		j.left[t.step]--
	case cornelwall.RunFailed:
		t.fails++
		t.avoid = o.Endpoint
		c.log("task-failed", "task", t.name, "run", o.Run, "endpoint", o.Endpoint, "fails", t.fails, "attempts", j.queue.Attempts, "took", o.Took)
		c.emit(cornelwall.Count{Reason: cornelwall.ReasonTask, Retry: true, N: 1})
	case cornelwall.RunUnstarted:
		t.misses++
		t.next = c.now.Add(min(retryPause<<min(t.misses, 10), maxRetryPause))
		if t.misses == 1 {
			t.next = c.now
		}
		c.emit(cornelwall.Count{Reason: cornelwall.ReasonBusy, Retry: true, N: 1})
	default:
		t.avoid = o.Endpoint
		t.stopped = t.stopped || o.How == cornelwall.RunStopped
		c.log("task-lost", "task", t.name, "run", o.Run, "endpoint", o.Endpoint, "how", o.How)
		c.emit(cornelwall.Count{Reason: cornelwall.ReasonLost, Retry: true, N: 1})
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

// boostWaiting tells holders each time that half of what was left of a job has begun.
func (c *Core) boostWaiting(j *job) {
	rest := j.rest()
	if rest > boostShare*j.told {
		return
	}
	j.told = rest
	byHolder, order := j.byHolder(func(t *task) bool { return t.state == taskAssigned })
	for _, id := range order {
		c.send(id, cornelwall.Message{Boost: &cornelwall.Boost{Runs: byHolder[id], Rest: rest}})
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

// finish answers the callers of a job and stops what still runs of it.
func (c *Core) finish(j *job, a cornelwall.BatchAnswer) {
	delete(c.jobs, j.id)
	c.withdrawTasks(j, false)
	if a.End == cornelwall.BatchRefused || a.End == cornelwall.BatchGivenUp {
		c.emit(cornelwall.Count{Reason: a.Reason, N: 1})
	}
	c.log("batch-end", "job", j.id, "queue", j.queue.Name, "end", a.End, "why", a.Reason, "begun", j.begun, "rest", j.rest(), "took", c.now.Sub(j.arrived), "late", c.now.Sub(j.due))
	for _, req := range j.reqs {
		delete(c.reqs, req)
		c.emit(cornelwall.ReplyBatch{Req: req, Answer: a})
	}
}

// withdrawTasks takes back the tasks of a job, or only those that have not begun.
func (c *Core) withdrawTasks(j *job, waiting bool) {
	byHolder, order := j.byHolder(func(t *task) bool { return t.state == taskAssigned || t.state == taskBegun })
	for _, id := range order {
		if !waiting {
			for _, run := range byHolder[id] {
				delete(c.tasks, run)
			}
		}
		c.send(id, cornelwall.Message{Withdraw: &cornelwall.Withdraw{Runs: byHolder[id], Waiting: waiting}})
	}
}

// callerGone takes note that a caller has left. A batch that nobody waits for is stopped,
// since the caller may send it again elsewhere.
func (c *Core) callerGone(req uint64) {
	j := c.reqs[req]
	if j == nil {
		return
	}
	delete(c.reqs, req)
	j.reqs = slices.DeleteFunc(j.reqs, func(r uint64) bool { return r == req })
	if len(j.reqs) == 0 {
		c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchCancelled, Reason: cornelwall.ReasonCancelled})
	}
}

// cancel gives up a batch at whichever entry owns it.
func (c *Core) cancel(ev cornelwall.CancelBatch) {
	a := cornelwall.BatchAnswer{End: cornelwall.BatchCancelled, Reason: cornelwall.ReasonCancelled}
	c.revoke(ev.ID)
	for _, p := range c.byID {
		c.send(p.id, cornelwall.Message{Revoke: &cornelwall.Revoke{ID: ev.ID}})
	}
	c.emit(cornelwall.ReplyBatch{Req: ev.Req, Answer: a})
}

func (c *Core) revoke(id string) {
	if j := c.jobs[id]; j != nil {
		c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchCancelled, Reason: cornelwall.ReasonCancelled})
	}
}

func (c *Core) fetch(ev cornelwall.FetchBatch) {
	j := c.jobs[ev.ID]
	c.emit(cornelwall.ReplyState{Req: ev.Req, Known: j != nil, Running: j != nil && j.begun})
}

func (c *Core) countWaiting(ev cornelwall.CountWaiting) {
	q := c.declared.Find(ev.Host, ev.Path)
	if q == nil {
		c.emit(cornelwall.ReplyWaiting{Req: ev.Req})
		return
	}
	n := c.waitingByQueue()[q.Name]
	for _, p := range c.peers {
		if c.answers(p) {
			n += p.waiting[q.Name]
		}
	}
	c.emit(cornelwall.ReplyWaiting{Req: ev.Req, Known: true, Count: n})
}

// waitingByQueue returns the number of jobs that have not begun.
func (c *Core) waitingByQueue() map[string]int {
	var n map[string]int
	for _, j := range c.jobs {
		if !j.begun {
			if n == nil {
				n = map[string]int{}
			}
			n[j.queue.Name]++
		}
	}
	return n
}

// checkJobs gives up what cannot be done any more, and assigns again what waits for it.
func (c *Core) checkJobs() {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		limit := j.deadline
		if !j.begun {
			limit = j.usefulEnd().Add(-j.leastTime())
		}
		switch left := limit.Sub(c.now); {
		case c.waking():
		case !j.begun && j.unassigned() && (left <= 0 || j.closing):
			c.finish(j, cornelwall.BatchAnswer{
				End: cornelwall.BatchRefused, Reason: cornelwall.ReasonTooLate, Back: c.back(uint64(c.now.UnixMilli())),
				Text: "the batch could not be done in time and has not run; come back later",
			})
		case left <= 0 && c.now.After(j.deadline):
			c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonDeadline, Text: "the deadline has passed; nothing runs any longer"})
		case j.begun && c.now.Add(j.leastWait()).After(j.usefulEnd()):
			c.finish(j, cornelwall.BatchAnswer{End: cornelwall.BatchGivenUp, Reason: cornelwall.ReasonTooLate, Text: "some tasks have run and the others cannot in time; nothing runs any longer"})
		case !j.begun && !j.closing && left <= withdrawTime:
			j.closing = true
			c.withdrawTasks(j, true)
		default:
			j.closing = j.closing && !j.begun // a task that had begun was not taken back
			c.assignIdle(j)
		}
	}
}

// usefulEnd returns the time after which nobody waits for the job or its answer is of
// little use.
func (j *job) usefulEnd() time.Time {
	if j.last.Before(j.deadline) {
		return j.last
	}
	return j.deadline
}

// leastTime returns the time that the job surely takes.
func (j *job) leastTime() time.Duration { return time.Duration(leastWork * float64(j.chain)) }

// leastWait returns the time that the tasks surely take which do not run yet, or a
// negative one if all run that are left.
func (j *job) leastWait() time.Duration {
	least := -time.Hour
	for _, t := range j.tasks {
		if t.state == taskIdle || t.state == taskAssigned {
			least = max(least, time.Duration(leastWork*float64(j.batch.Steps[t.step].Estimate)))
		}
	}
	return least
}

// unassigned reports whether no holder has a task of the job.
func (j *job) unassigned() bool {
	for _, t := range j.tasks {
		if t.state != taskIdle {
			return false
		}
	}
	return true
}
