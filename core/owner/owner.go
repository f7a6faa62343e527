// Package owner holds the jobs of one incarnation: the state of each task, the requests that wait
// for the answer, and the outcome until the ticket expires.
//
// Every task is started at most once. A task leaves the state Waiting only by [Job.Start], and
// returns to it only by [Job.UndoStart], for a start that provably did not happen.
//
// A final answer does not change, with one exception: the results of jobs that are done are dropped,
// the oldest first, when they take up too much memory, and the outcome of such a job becomes
// unknown. An unknown outcome that is not final is replaced when the last running task has ended.
// Jobs that did not run are kept as refusals of a few bytes each.
//
// # Usage
//
//	t := owner.NewTable(ticketTTL, maxRefusals, maxResults)
//	j := t.Add(job, digest, now, deadline, expires)
//	j.Start(0)
//	if ended := j.End(0, result); ended {
//		answer := j.Answer
//		t.Compact(j)
//	}
package owner

import (
	"time"

	"cornelwall"
)

// State is the state of a task.
type State int

const (
	// Waiting tasks have not started.
	Waiting State = iota
	// Running tasks may have started and have no result yet.
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

// Waiter is a request that waits for the answer of a job. From is the entry that forwarded it, and
// zero if the caller is connected to this entry.
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
	resultBytes int // size of the results
}

// Ended reports whether the job has an answer and starts no more tasks.
func (j *Job) Ended() bool { return j.ended }

// Running returns the number of tasks that may have started and have no result yet.
func (j *Job) Running() int { return j.running }

// Started reports whether a task of the job is running or done.
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

// UndoStart returns a task to the state Waiting after a start that provably did not happen. It
// reports whether this made the answer of an ended job final.
func (j *Job) UndoStart(i int) bool {
	if j.Tasks[i].State != Running {
		return false
	}
	j.Tasks[i].State = Waiting
	j.Tasks[i].Retries++
	j.running--
	return j.finalize()
}

// End records the result of a running task. The job ends with its last task, or with the first one
// that is not done. End reports whether the job ended or its answer became final with this call.
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

// Abort ends the job before all tasks are done. Its outcome is failed if a task is known to have
// run, unknown if one may have run, and not run otherwise.
func (j *Job) Abort(reason cornelwall.Reason, retryAfter time.Duration, text string) {
	if j.ended {
		return
	}
	j.end(j.abortAnswer(cornelwall.Answer{Reason: reason, RetryAfter: cornelwall.Duration(retryAfter), Text: text}))
}

// finalize makes the unknown outcome of a job final that was aborted while tasks were running, once
// none is running any more. If all tasks are done by then, so is the job. It reports whether the
// answer became final.
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

// abortAnswer fills in the outcomes of an aborted job and its tasks.
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

// addOutcome returns the outcome of an aborted job, given that of the tasks so far and that of one
// more task.
func addOutcome(job, task cornelwall.Outcome) cornelwall.Outcome {
	switch {
	case job == cornelwall.Failed, task == cornelwall.Done, task == cornelwall.Failed:
		return cornelwall.Failed
	case task == cornelwall.Unknown:
		return cornelwall.Unknown
	}
	return job
}

// results moves the results out of the tasks.
func (j *Job) results() []cornelwall.TaskAnswer {
	rs := make([]cornelwall.TaskAnswer, len(j.Tasks))
	for i := range j.Tasks {
		rs[i] = j.Tasks[i].Result
		j.Tasks[i].Result.Body = nil
	}
	return rs
}

// end sets the answer and drops what is not needed any more.
func (j *Job) end(a cornelwall.Answer) {
	a.Ticket = j.Ticket
	j.ended = true
	j.Answer = a
	j.Spec = nil
	if j.running == 0 {
		j.Tasks = nil
	}
}
