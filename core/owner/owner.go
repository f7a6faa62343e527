// Package owner holds the jobs of one incarnation: what became of each task, who
// waits for the answer, and the outcome for as long as the ticket lives.
//
// Every task is started at most once. A task leaves the state waiting only by
// [Job.Begin], and returns to it only by [Job.Unstart], for a start that provably
// did not happen.
//
// # Usage
//
//	t := owner.NewTable()
//	j := t.Add(job, digest, deadline, expires)
//	j.Begin(0)
//	if ended := j.End(0, result); ended {
//		answer := j.Answer
//	}
package owner

import (
	"time"

	"cornelwall"
)

// State is how far a task has come.
type State int

const (
	// Waiting tasks have not started.
	Waiting State = iota
	// Running tasks may have started and have no result.
	Running
	// Ended tasks have a result.
	Ended
)

// Task is one task of a job at its owner.
type Task struct {
	State   State
	Retries int // starts that provably did not happen
	Result  cornelwall.TaskAnswer
}

// Waiter is a request that waits for the end of a job. From is zero if the caller is
// at this entry.
type Waiter struct {
	From cornelwall.Incarnation
	Req  uint64
}

// Job is a job at its owner.
type Job struct {
	Ticket   cornelwall.Ticket
	Digest   uint64
	Profile  string
	Spec     []cornelwall.Task // nil once the job has ended
	Tasks    []Task
	Since    time.Time
	Deadline time.Time
	Expires  time.Time // of the ticket
	Waiters  []Waiter
	Answer   cornelwall.Answer // Final once the job has ended

	running int
	done    int
}

// Ended reports whether the job has its final answer.
func (j *Job) Ended() bool { return j.Answer.Final }

// Running returns the number of tasks that have started and not ended.
func (j *Job) Running() int { return j.running }

// Begun reports whether a task of the job has started.
func (j *Job) Begun() bool { return j.running+j.done > 0 }

// DoneTasks returns the number of tasks that are done.
func (j *Job) DoneTasks() int { return j.done }

// Begin marks a waiting task as started. It reports false if the task must not start.
func (j *Job) Begin(i int) bool {
	if j.Ended() || j.Tasks[i].State != Waiting {
		return false
	}
	j.Tasks[i].State = Running
	j.running++
	return true
}

// Unstart takes back a start that provably did not happen.
func (j *Job) Unstart(i int) {
	if j.Tasks[i].State != Running {
		return
	}
	j.Tasks[i].State = Waiting
	j.Tasks[i].Retries++
	j.running--
}

// End records the result of a running task and ends the job with its last task, or
// with the first that has no result. It reports whether the job ended just now.
func (j *Job) End(i int, r cornelwall.Result) bool {
	t := &j.Tasks[i]
	if t.State != Running {
		return false
	}
	t.State = Ended
	j.running--
	if j.Ended() {
		return false
	}
	t.Result = cornelwall.TaskAnswer{Outcome: r.Outcome, Reason: r.Reason}
	if r.Outcome != cornelwall.Done {
		j.Finish(r.Reason, 0, "")
		return true
	}
	t.Result.Body = r.Body
	j.done++
	if j.done < len(j.Tasks) {
		return false
	}
	j.finish(cornelwall.Answer{Outcome: cornelwall.Done, Tasks: j.results()})
	return true
}

// Finish ends the job without an answer: not run if nothing has started, else failed
// with the outcome of each task. Back is the time after which to come back.
func (j *Job) Finish(reason cornelwall.Reason, back time.Duration, text string) {
	if j.Ended() {
		return
	}
	a := cornelwall.Answer{Outcome: cornelwall.NotRun, Reason: reason, Back: cornelwall.Duration(back), Text: text}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Result.Body = nil
		switch t.State {
		case Waiting:
			t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.NotRun, Reason: reason}
		case Running:
			t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.Unknown, Reason: reason}
			a.Outcome = cornelwall.Failed
		case Ended:
			a.Outcome = cornelwall.Failed
		}
	}
	a.Tasks = j.results()
	j.finish(a)
}

func (j *Job) results() []cornelwall.TaskAnswer {
	rs := make([]cornelwall.TaskAnswer, len(j.Tasks))
	for i := range j.Tasks {
		rs[i] = j.Tasks[i].Result
		j.Tasks[i].Result.Body = nil
	}
	return rs
}

func (j *Job) finish(a cornelwall.Answer) {
	a.Ticket = j.Ticket
	a.Final = true
	j.Answer = a
	j.Spec = nil
}

// Table holds the jobs of one incarnation by the sequence number of their ticket.
type Table struct {
	jobs map[uint64]*Job
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{jobs: map[uint64]*Job{}} }

// Get returns the job of a ticket, or nil.
func (t *Table) Get(seq uint64) *Job { return t.jobs[seq] }

// Add records a job that was accepted.
func (t *Table) Add(spec *cornelwall.Job, digest uint64, now, deadline, expires time.Time) *Job {
	j := &Job{
		Ticket: spec.Ticket, Digest: digest, Profile: spec.Profile,
		Spec: spec.Tasks, Tasks: make([]Task, len(spec.Tasks)),
		Since: now, Deadline: deadline, Expires: expires,
	}
	t.jobs[spec.Ticket.Seq] = j
	return j
}

// Refuse records for good that the job of a ticket does not run.
func (t *Table) Refuse(tk cornelwall.Ticket, digest uint64, expires time.Time, a cornelwall.Answer) *Job {
	j := &Job{Ticket: tk, Digest: digest, Expires: expires}
	a.Outcome = cornelwall.NotRun
	j.finish(a)
	t.jobs[tk.Seq] = j
	return j
}

// Forget drops the job of an expired ticket.
func (t *Table) Forget(seq uint64) { delete(t.jobs, seq) }

// Len returns the number of tickets with a record.
func (t *Table) Len() int { return len(t.jobs) }

// All calls f for each job.
func (t *Table) All(f func(*Job)) {
	for _, j := range t.jobs {
		f(j)
	}
}
