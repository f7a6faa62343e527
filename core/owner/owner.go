// Package owner holds the jobs of one incarnation: what became of each task, who
// waits for the answer, and the outcome for as long as the ticket lives.
//
// Every task is started at most once. A task leaves the state waiting only by
// [Job.Begin], and returns to it only by [Job.Unstart], for a start that provably
// did not happen.
//
// A definite answer never changes. An answer of unknown is refined once, when the last
// running task has a result. Jobs that did not run are kept as a few bytes each, and
// the results of jobs that are done are dropped, the oldest first, when they take up
// too much memory.
//
// # Usage
//
//	t := owner.NewTable(ticketLife, maxRefusals, maxResults)
//	j := t.Add(job, digest, now, deadline, expires)
//	j.Begin(0)
//	if ended := j.End(0, result); ended {
//		answer := j.Answer
//		t.Settle(j)
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
	Tasks    []Task            // nil once the answer is final
	Accepted time.Time
	Deadline time.Time
	Expires  time.Time // of the ticket
	Waiters  []Waiter
	Answer   cornelwall.Answer // set once the job has ended

	ended       bool
	running     int
	done        int
	resultBytes int // of the results
}

// Ended reports whether the job has an answer and starts no more tasks.
func (j *Job) Ended() bool { return j.ended }

// Running returns the number of tasks that have started and not ended.
func (j *Job) Running() int { return j.running }

// Started reports whether a task of the job has started.
func (j *Job) Started() bool { return j.running+j.done > 0 }

// DoneTasks returns the number of tasks that are done.
func (j *Job) DoneTasks() int { return j.done }

// Start marks a waiting task as started. It reports false if the task must not start.
func (j *Job) Start(i int) bool {
	if j.ended || j.Tasks[i].State != Waiting {
		return false
	}
	j.Tasks[i].State = Running
	j.running++
	return true
}

// UndoStart takes back a start that provably did not happen. It reports whether the answer
// of a job that had ended became final just now.
func (j *Job) UndoStart(i int) bool {
	if j.Tasks[i].State != Running {
		return false
	}
	j.Tasks[i].State = Waiting
	j.Tasks[i].Retries++
	j.running--
	return j.finalize()
}

// End records the result of a running task and ends the job with its last task, or
// with the first that has no result. It reports whether the job ended, or its answer
// became final, just now.
func (j *Job) End(i int, r cornelwall.Result) bool {
	t := &j.Tasks[i]
	if t.State != Running {
		return false
	}
	t.State = Ended
	t.Result = cornelwall.TaskAnswer{Outcome: r.Outcome, Reason: r.Reason}
	j.running--
	if r.Outcome == cornelwall.Done && !j.Answer.Final {
		t.Result.Body = r.Body
		j.done++
	}
	if j.ended {
		return j.finalize()
	}
	if r.Outcome != cornelwall.Done {
		j.Abort(r.Reason, 0, "")
		return true
	}
	j.resultBytes += len(r.Body)
	if j.resultBytes > cornelwall.MaxAnswerBody {
		j.Abort(cornelwall.ReasonTooLarge, 0, "the results are larger than an answer may be; return less or split the job")
		return true
	}
	if j.done < len(j.Tasks) {
		return false
	}
	j.end(cornelwall.Answer{Outcome: cornelwall.Done, Final: true, Tasks: j.results()})
	return true
}

// Abort ends the job without an answer: failed if a task is known to have run, unknown
// if one may have, else not run. Back is the time after which to come back.
func (j *Job) Abort(reason cornelwall.Reason, back time.Duration, text string) {
	if j.ended {
		return
	}
	j.end(j.abortAnswer(cornelwall.Answer{Reason: reason, RetryAfter: cornelwall.Duration(back), Text: text}))
}

// finalize makes the answer of a job final that ended as unknown while tasks were running.
// The answer may still be whole, if every task was running then and is done now.
func (j *Job) finalize() bool {
	if !j.ended || j.running > 0 {
		return false
	}
	if j.Answer.Final {
		j.Tasks = nil
		return false
	}
	if j.done == len(j.Tasks) {
		j.end(cornelwall.Answer{Outcome: cornelwall.Done, Final: true, Tasks: j.results()})
		return true
	}
	j.end(j.abortAnswer(cornelwall.Answer{Reason: j.Answer.Reason, Text: j.Answer.Text}))
	return true
}

// abortAnswer fills in what became of the tasks of a job that has no answer.
func (j *Job) abortAnswer(a cornelwall.Answer) cornelwall.Answer {
	a.Outcome = cornelwall.NotRun
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case Waiting:
			t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.NotRun, Reason: a.Reason}
		case Running:
			t.Result = cornelwall.TaskAnswer{Outcome: cornelwall.Unknown, Reason: a.Reason}
		}
		t.Result.Body = nil
		a.Outcome = addOutcome(a.Outcome, t.Result.Outcome)
	}
	a.Final = a.Outcome.Definite() || j.running == 0
	a.Tasks = nil
	if a.Outcome != cornelwall.NotRun {
		a.Tasks = j.results()
	}
	return a
}

// addOutcome returns the outcome of a job without an answer, given its outcome so far and
// that of one more task.
func addOutcome(job, task cornelwall.Outcome) cornelwall.Outcome {
	switch {
	case job == cornelwall.Failed, task == cornelwall.Done, task == cornelwall.Failed:
		return cornelwall.Failed
	case task == cornelwall.Unknown:
		return cornelwall.Unknown
	}
	return job
}

func (j *Job) results() []cornelwall.TaskAnswer {
	rs := make([]cornelwall.TaskAnswer, len(j.Tasks))
	for i := range j.Tasks {
		rs[i] = j.Tasks[i].Result
		j.Tasks[i].Result.Body = nil
	}
	return rs
}

func (j *Job) end(a cornelwall.Answer) {
	a.Ticket = j.Ticket
	j.ended = true
	j.Answer = a
	j.Spec = nil
	if j.running == 0 {
		j.Tasks = nil
	}
}
