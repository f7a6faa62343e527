package dispatch

import (
	"fmt"
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
	boostShare    = 0.9                    // of what was left, of which holders are told
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
	eager    bool // its holder has it only if it could start at once
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
func (c *Core) declare(d *cornelwall.QueueConfig) {
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
			a.RetryAfter = c.back(ev.Req)
		}
		c.log("batch-refused", "job", ev.Batch.ID, "end", end, "why", why, "version", c.declared.Version)
		c.emit(cornelwall.CountReason{Reason: why, N: 1})
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
	c.submitted, c.lastNeed = c.now, ev.Batch.Steps[0].Need
	c.log("batch", "job", j.id, "queue", q.Name, "version", c.declared.Version, "tasks", len(j.tasks), "left", j.deadline.Sub(c.now), "due", j.due.Sub(c.now))
	c.assignIdle(j)
}

func (c *Core) newJob(q *cornelwall.Queue, ev *cornelwall.SubmitBatch) *job {
	left := ev.TimeLeft
	if left <= 0 {
		left = q.Timeout
	}
	j := &job{
		id: ev.Batch.ID, queue: *q, batch: ev.Batch, reqs: []uint64{ev.Req},
		told: 1, arrived: c.now, begun: c.endings.batch[ev.Batch.ID] > 0, deadline: c.now.Add(left - answerMargin), left: make([]int, len(ev.Batch.Steps)),
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
	j.due, j.last = c.now.Add(q.TargetTime(j.chain)), c.now.Add(q.UsefulTime(j.chain))
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

func (c *Core) fetch(ev cornelwall.FetchBatch) {
	j := c.jobs[ev.ID]
	c.emit(cornelwall.ReplyState{Req: ev.Req, Found: j != nil, Running: j != nil && j.begun})
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
	c.emit(cornelwall.ReplyWaiting{Req: ev.Req, Found: true, Count: n})
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
